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
from railfold._internal.forwarding.peers.peer_keeper import PeerKeeper
from railfold._internal.forwarding.peers.peer_messages import (
    ArrivalsNotice,
    BackoffNotice,
    ContentCleared,
    CrashesNotice,
    DomainLoadNotice,
    EntryStarted,
    LeadershipReleased,
    LeavingNotice,
    LoadPartNotice,
    LoadSumNotice,
    PeerMessage,
    PermitReply,
    PermitRequest,
    PlacementLed,
    ProofReply,
    ProofRequest,
    RateLimitNotice,
    TrialBegun,
    TrialNotRun,
)
from railfold._internal.forwarding.peers.proof_keeper import ProofKeeper
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
_WAIT_S = 15.0

# Records in quick succession are read in batches.
_INTERVAL_S = 0.25

_MAX_BACKOFF_S = 2.0


class Peering:
    """The parts by which an entry shares knowledge with others.

    :param reachable: set while the store answers others' reads.
    :param on_known: called when all that the store holds was read once.
    :param fleet_limits: this entry's part of what all may do.
    :param on_leadership_stopped: takes the member id under which another entry placed
        layers, and doesn't any more.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        adapter: PlatformAdapter,
        router: Router,
        leadership: Leadership,
        reachable: asyncio.Event,
        on_known: Callable[[], None],
        fleet_limits: FleetLimits,
        on_epoch: Callable[[int], None],
        proofs: ProofKeeper,
        on_leadership_stopped: Callable[[str], None],
    ) -> None:
        self._proofs = proofs
        self._name = settings.name
        self._on_leadership_stopped = on_leadership_stopped
        self._limits = router.limits
        self._backoffs = router.backoffs
        self._statements = router.statements
        self._given_key = settings.peer_key
        self._channel: PeerChannel | None = None
        self._keeper: PeerKeeper | None = None
        self._arrivals: ArrivalExchange | None = None
        self._load: LoadExchange | None = None
        self.quarantine = RequestQuarantine(
            router,
            adapter.new_log(),
            adapter.quarantine_stream,
            self._tell,
            keeps_key=settings.peer_key is None,
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
            proofs.use(self._channel)
            router.limits.use(settings.name, self._channel)
            router.backoffs.use(settings.name, self._channel)
            router.statements.use(self._channel)
            self._keeper = PeerKeeper(
                view,
                adapter.new_log(),
                adapter.entries_stream,
                router.metrics,
                router.rng,
                self._tell,
                fleet_limits.set_listed_entries,
            )
            self._arrivals = ArrivalExchange(
                settings.name, router, leadership, self._channel
            )
            self._load = LoadExchange(settings.name, router, self._channel)
        if self._given_key is not None:
            self._use_key(self._given_key)
        self._follower = StreamFollower(
            adapter.new_log(),
            adapter.quarantine_stream,
            QuarantineFeed(self.quarantine, self._on_stored_key, on_known),
            router.metrics,
            FollowerPace(_WAIT_S, _INTERVAL_S, _MAX_BACKOFF_S),
            reachable=reachable,
            on_epoch=on_epoch,
        )

    def children(self) -> list[ChildSpec]:
        """Return what runs as long as the entry does."""
        found = [
            ChildSpec("quarantine records", self._follower.run),
            ChildSpec("quarantine", self.quarantine.run),
        ]
        if self._channel is not None:
            found.append(ChildSpec("peer channel", self._channel.run))
        if self._keeper is not None:
            found.append(ChildSpec("peers", self._keeper.run))
        if self._arrivals is not None:
            found.append(ChildSpec("arrivals", self._arrivals.run))
        if self._load is not None:
            found.append(ChildSpec("load", self._load.run))
        return found

    def log_went_back(self) -> None:
        """The store may have lost what entries wrote of late."""
        self.quarantine.log_went_back()
        if self._keeper is not None:
            self._keeper.log_went_back()

    async def leave(self) -> None:
        """The entry ends as planned."""
        if self._keeper is not None:
            await self._keeper.leave()

    def tell_leadership_stopped(self, member: str) -> None:
        """Tell others that this entry places layers no more, under this member id."""
        self._tell(LeadershipReleased(self._name, member))

    def _on_stored_key(self, key: bytes) -> None:
        if self._given_key is None:
            self._use_key(key)

    def _use_key(self, key: bytes) -> None:
        self.quarantine.set_key(key)
        if self._channel is not None:
            self._channel.set_key(key)
        if self._keeper is not None:
            self._keeper.may_tell()

    def _tell(self, message: PeerMessage) -> None:
        if self._channel is not None:
            self._channel.tell(message)

    def _on_message(self, message: PeerMessage) -> None:
        match message:
            case CrashesNotice():
                self.quarantine.take_crashes(message)
            case ContentCleared():
                self.quarantine.take_success(message)
            case TrialBegun():
                self.quarantine.take_trial_begun(message)
            case TrialNotRun():
                self.quarantine.take_trial_not_run(message)
            case RateLimitNotice():
                self._limits.record_notice(message)
            case PermitRequest():
                self._limits.permit_asked(message)
            case PermitReply():
                self._limits.permit_replied(message)
            case BackoffNotice():
                self._backoffs.record_notice(message)
            case LeavingNotice():
                self._statements.record_leaving_notice(message)
            case _:
                self._on_message_of_entries(message)

    def _on_message_of_entries(self, message: PeerMessage) -> None:
        """Take what an entry says of itself."""
        match message:
            case EntryStarted():
                if self._keeper is not None:
                    self._keeper.started(message)
            case PlacementLed():
                if self._arrivals is not None:
                    self._arrivals.led(message)
            case LeadershipReleased():
                self._on_leadership_stopped(message.member)
            case ArrivalsNotice():
                if self._arrivals is not None:
                    self._arrivals.told(message)
            case ProofRequest():
                self._proofs.asked(message)
            case ProofReply():
                self._proofs.told(message)
            case LoadPartNotice() | LoadSumNotice() | DomainLoadNotice():
                if self._load is not None:
                    self._load.received(message)
