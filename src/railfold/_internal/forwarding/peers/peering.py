"""Sets up what an entry shares with the others, and dispatches their messages.

Entries share the list of entries, held-back requests, load and arrival rates. They send
each other datagrams, which works while the store is unavailable. The store keeps the
records that must survive restarts of entries, and reaches entries that can't reach each
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

# How long a read of the quarantine's records waits for a new one. Records are rare, and
# a waiting read is answered as soon as there is one. With four reads per minute, an
# entry calls the store 20 times less often than for its placement lease.
_READ_WAIT_S = 15.0

# The shortest interval between reads, so that records in quick succession are read in
# batches.
_READ_INTERVAL_S = 0.25

_MAX_BACKOFF_S = 2.0


class Peering:
    """The components by which an entry exchanges information with the others.

    :param store_reachable: set while the store answers other reads of this entry.
    :param on_quarantine_known: called once all held-back contents were read from the
        store.
    :param fleet_limits: gets the number of listed entries.
    :param on_epoch: called with the epoch of the store's log after each read.
    :param proofs: gets the channel to the other entries.
    :param on_leadership_released: called with the member id of an entry that no longer
        places layers.
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
        self._answer_headers = router.answer_headers
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
        if settings.peer_address is not None:
            started_at_ms = int(clock.unix_time_s() * 1000)
            own = Peer(
                settings.name,
                settings.peer_address,
                started_at_ms,
                settings.failure_domain,
            )
            view = PeerView(own)
            self._channel = PeerChannel(
                settings.peer_address,
                view,
                router.metrics,
                router.rng,
                self._on_message,
            )
            proofs.set_channel(self._channel)
            router.limits.set_channel(settings.name, self._channel)
            router.backoffs.set_channel(settings.name, self._channel)
            router.answer_headers.set_channel(self._channel)
            self._peer_list_sync = PeerListSync(
                view,
                adapter.new_log(),
                adapter.entries_stream,
                router.metrics,
                router.rng,
                self._broadcast,
                fleet_limits.set_listed_entries,
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
        """Return the children that run as long as the entry does."""
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
        """Write records again, since the store may have lost recent ones."""
        self.quarantine.log_went_back()
        if self._peer_list_sync is not None:
            self._peer_list_sync.log_went_back()

    async def leave(self) -> None:
        """Remove this entry from the list of entries, since it stops as planned."""
        if self._peer_list_sync is not None:
            await self._peer_list_sync.leave()

    def announce_leadership_released(self, member: str) -> None:
        """Announce that this entry, as this member, no longer places layers."""
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
                self._rate_limits.answer_permit_request(message)
            case PermitReply():
                self._rate_limits.record_permit_reply(message)
            case BackoffNotice():
                self._backoffs.record_notice(message)
            case LeavingNotice():
                self._answer_headers.record_leaving_notice(message)
            case _:
                self._on_entry_message(message)

    def _on_entry_message(self, message: PeerMessage) -> None:
        """Process a message about its sender, rather than about requests or servers."""
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
