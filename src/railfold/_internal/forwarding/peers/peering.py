"""What entries share: who they are, which requests are held back, and what arrives.

News goes from entry to entry in datagrams, which works while the store is out; the
store keeps what must outlast them, and reaches entries that are cut off from each
other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from railfold._internal import clock
from railfold._internal.decisions.leadership import Leadership
from railfold._internal.decisions.peers import Peer, PeerView
from railfold._internal.forwarding.adapter import PlatformAdapter
from railfold._internal.forwarding.fleet_limits import FleetLimits
from railfold._internal.forwarding.peers.arrival_exchange import ArrivalExchange
from railfold._internal.forwarding.peers.load_exchange import LoadExchange
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_list_sync import PeerListSync
from railfold._internal.forwarding.peers.peer_messages import (
    ArrivalsNotice,
    BackoffNotice,
    CrashesNotice,
    DomainLoadNotice,
    EntryStarted,
    LeadershipReleased,
    LeavingNotice,
    LoadContributionNotice,
    LoadSumNotice,
    PeerMessage,
    PermitReply,
    PermitRequest,
    PlacementLeaderNotice,
    ProofReply,
    ProofRequest,
    RateLimitNotice,
    SuccessNotice,
    TrialNotRun,
    TrialStarted,
)
from railfold._internal.forwarding.peers.proof_refresher import ProofRefresher
from railfold._internal.forwarding.quarantine.request_quarantine import (
    RequestQuarantine,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.settings import ForwardingSettings
from railfold._internal.forwarding.store.feeds import QuarantineFeed
from railfold._internal.store.follower import FollowerPace, StreamFollower
from railfold._internal.supervision.supervisor import ChildSpec

__all__ = ["Peering"]

# Records come rarely, and a read that waits is answered at once. Four reads an entry
# and minute are a twentieth of its calls for the lease of placement.
_READ_WAIT_S = 15.0

# Records in quick succession are read in batches.
_READ_INTERVAL_S = 0.25

_MAX_BACKOFF_S = 2.0


class Peering:
    """The parts by which an entry shares knowledge with others.

    :param store_reachable: set while the store answers others' reads.
    :param on_quarantine_known: called when all that the store holds was read once.
    :param fleet_limits: this entry's part of what all may do.
    :param on_leadership_released: takes the member id under which another entry placed
        layers, and doesn't any more.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        adapter: PlatformAdapter,
        router: Router,
        leadership: Leadership,
        store_reachable: asyncio.Event,
        on_quarantine_known: Callable[[], None],
        fleet_limits: FleetLimits,
        on_epoch: Callable[[int], None],
        proofs: ProofRefresher,
        on_leadership_released: Callable[[str], None],
    ) -> None:
        self._proofs = proofs
        self._name = settings.name
        self._on_leadership_released = on_leadership_released
        self._rate_limits = router.limits
        self._backoffs = router.backoffs
        self._statements = router.statements
        self._configured_key = settings.peer_key
        self._channel: PeerChannel | None = None
        self._peer_list_sync: PeerListSync | None = None
        self._arrival_exchange: ArrivalExchange | None = None
        self._load_exchange: LoadExchange | None = None
        self.quarantine = RequestQuarantine(
            router,
            adapter.new_log(),
            adapter.quarantine_stream,
            self._broadcast,
            stores_key=settings.peer_key is None,
        )
        if settings.peers is not None:
            started_at_ms = int(clock.unix_time_s() * 1000)
            own = Peer(
                settings.name, settings.peers, started_at_ms, settings.failure_domain
            )
            view = PeerView(own)
            self._channel = PeerChannel(
                settings.peers, view, router.metrics, router.rng, self._on_message
            )
            proofs.set_channel(self._channel)
            router.limits.use(settings.name, self._channel)
            router.backoffs.use(settings.name, self._channel)
            router.statements.use(self._channel)
            self._peer_list_sync = PeerListSync(
                view,
                adapter.new_log(),
                adapter.entries_stream,
                router.metrics,
                router.rng,
                self._broadcast,
                fleet_limits.listed,
            )
            self._arrival_exchange = ArrivalExchange(
                settings.name, router, leadership, self._channel
            )
            self._load_exchange = LoadExchange(settings.name, router, self._channel)
        if self._configured_key is not None:
            self._set_key(self._configured_key)
        self._follower = StreamFollower(
            adapter.new_log(),
            adapter.quarantine_stream,
            QuarantineFeed(self.quarantine, self._on_stored_key, on_quarantine_known),
            router.metrics,
            FollowerPace(_READ_WAIT_S, _READ_INTERVAL_S, _MAX_BACKOFF_S),
            reachable=store_reachable,
            on_epoch=on_epoch,
        )

    def children(self) -> list[ChildSpec]:
        """Return what runs as long as the entry does."""
        children = [
            ChildSpec("quarantine records", self._follower.run),
            ChildSpec("quarantine", self.quarantine.run),
        ]
        if self._channel is not None:
            children.append(ChildSpec("peer channel", self._channel.run))
        if self._peer_list_sync is not None:
            children.append(ChildSpec("peers", self._peer_list_sync.run))
        if self._arrival_exchange is not None:
            children.append(ChildSpec("arrivals", self._arrival_exchange.run))
        if self._load_exchange is not None:
            children.append(ChildSpec("load", self._load_exchange.run))
        return children

    def log_went_back(self) -> None:
        """The store may have lost what entries wrote of late."""
        self.quarantine.log_went_back()
        if self._peer_list_sync is not None:
            self._peer_list_sync.log_went_back()

    async def leave(self) -> None:
        """The entry ends as planned."""
        if self._peer_list_sync is not None:
            await self._peer_list_sync.leave()

    def announce_leadership_released(self, member: str) -> None:
        """Tell others that this entry places layers no more, under this member id."""
        self._broadcast(LeadershipReleased(self._name, member))

    def _on_stored_key(self, key: bytes) -> None:
        if self._configured_key is None:
            self._set_key(key)

    def _set_key(self, key: bytes) -> None:
        self.quarantine.set_key(key)
        if self._channel is not None:
            self._channel.set_key(key)
        if self._peer_list_sync is not None:
            self._peer_list_sync.channel_ready()

    def _broadcast(self, message: PeerMessage) -> None:
        if self._channel is not None:
            self._channel.broadcast(message)

    def _on_message(self, message: PeerMessage) -> None:
        match message:
            case CrashesNotice():
                self.quarantine.crashes_received(message)
            case SuccessNotice():
                self.quarantine.success_received(message)
            case TrialStarted():
                self.quarantine.trial_start_received(message)
            case TrialNotRun():
                self.quarantine.trial_withdrawal_received(message)
            case RateLimitNotice():
                self._rate_limits.record_notice(message)
            case PermitRequest():
                self._rate_limits.permit_asked(message)
            case PermitReply():
                self._rate_limits.permit_replied(message)
            case BackoffNotice():
                self._backoffs.record_notice(message)
            case LeavingNotice():
                self._statements.record_leaving_notice(message)
            case _:
                self._on_entry_message(message)

    def _on_entry_message(self, message: PeerMessage) -> None:
        """Take what an entry says of itself."""
        match message:
            case EntryStarted():
                if self._peer_list_sync is not None:
                    self._peer_list_sync.entry_started(message)
            case PlacementLeaderNotice():
                if self._arrival_exchange is not None:
                    self._arrival_exchange.leader_announced(message)
            case LeadershipReleased():
                self._on_leadership_released(message.member)
            case ArrivalsNotice():
                if self._arrival_exchange is not None:
                    self._arrival_exchange.arrivals_received(message)
            case ProofRequest():
                self._proofs.question_received(message)
            case ProofReply():
                self._proofs.reply_received(message)
            case LoadContributionNotice() | LoadSumNotice() | DomainLoadNotice():
                if self._load_exchange is not None:
                    self._load_exchange.message_received(message)
