"""Keep track of the agents that an entry may send work to.

There are three sources of an agent's state, in order of precedence: the agent's own
reports over its link, the state of the link, and the platform's host list, which lags
behind. An agent that reports that it is draining gets no new work, whatever the list
contains, and neither does an agent whose link is down. The list names the hosts to
connect to and marks those that are leaving, which get no new work. A connected host
that is missing from the list keeps serving, since the list may be wrong or empty.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from railfold._internal.core import LayerRange, Loaded, Stage
from railfold._internal.decisions.planner import Replica

__all__ = [
    "AgentReport",
    "HostListReceived",
    "LinkDown",
    "LinkUp",
    "ListedHost",
    "Member",
    "MembershipChange",
    "MembershipEvent",
    "MembershipView",
    "ProbeUnanswered",
]


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the platform's list.

    :param address: address of the host's agent.
    :param leaving: whether the platform is about to remove the host.
    """

    host: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class HostListReceived:
    """A new copy of the platform's host list arrived."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to an agent completed its handshake."""

    host: str
    address: str
    incarnation: int
    failure_domain: str
    region: str


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to one incarnation of an agent closed."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class AgentReport:
    """An agent's report of its own state, from a heartbeat.

    :param sequences: number of open sequences at the agent.
    :param owned: how many of ``sequences`` belong to this entry.
    :param step_ms: recent mean duration of an engine step.
    """

    host: str
    incarnation: int
    state: str
    sequences: int
    owned: int
    max_sequences: int
    step_ms: float
    loaded: tuple[Loaded, ...]
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ProbeUnanswered:
    """An agent didn't answer a probe in time; its link may still be open."""

    host: str
    incarnation: int


MembershipEvent = HostListReceived | LinkUp | LinkDown | AgentReport | ProbeUnanswered


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """Consequences of a membership event.

    :param connect: hosts to open a link to.
    :param disconnect: hosts to stop connecting to.
    :param lost: hosts whose work in flight is lost.
    :param suspected: hosts that are silent; their work may still go on.
    """

    connect: tuple[ListedHost, ...] = ()
    disconnect: tuple[str, ...] = ()
    lost: frozenset[str] = frozenset()
    suspected: frozenset[str] = frozenset()


@dataclass(slots=True)
class Member:
    """An entry's knowledge of one connected agent.

    :param suspect: whether the agent missed a probe and hasn't reported since.
    :param leaving: whether the host list marks the agent's host as leaving.
    :param own_sequences: exact number of this entry's sequences at the agent.
    :param other_sequences: number of other entries' sequences in the last report.
    """

    host: str
    address: str
    incarnation: int
    failure_domain: str
    region: str
    state: str = "unknown"
    suspect: bool = False
    leaving: bool = False
    own_sequences: int = 0
    other_sequences: int = 0
    max_sequences: int = 0
    step_ms: float = 1.0
    loaded: tuple[Loaded, ...] = ()
    services: frozenset[str] = field(default_factory=frozenset)

    @property
    def routable(self) -> bool:
        """Whether the agent may get new work."""
        return self.state == "serving" and not self.suspect and not self.leaving

    def usable(self, *, awaited: bool) -> bool:
        """Return whether the agent is routable, or silent if ``awaited``."""
        return self.routable or (
            awaited and self.state == "serving" and not self.leaving
        )

    @property
    def displayed_state(self) -> str:
        """The state shown to operators: as reported, or why the agent gets no work."""
        if self.suspect:
            return "suspect"
        if self.leaving and self.state == "serving":
            return "leaving"
        return self.state

    @property
    def load(self) -> int:
        """Number of sequences at the agent, as far as this entry knows."""
        return self.own_sequences + self.other_sequences


class MembershipView:
    """One entry's view of all agents."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedHost] = {}
        self._members: dict[str, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, host: str) -> Member | None:
        """Return the connected agent at ``host``, or None."""
        return self._members.get(host)

    def apply(self, event: MembershipEvent) -> MembershipChange:
        """Process one event; return its consequences."""
        match event:
            case HostListReceived(hosts=hosts):
                return self._on_host_list(hosts)
            case LinkUp():
                return self._on_link_up(event)
            case LinkDown(host=host, incarnation=incarnation):
                return self._on_link_down(host, incarnation)
            case AgentReport():
                self._on_report(event)
                return MembershipChange()
            case ProbeUnanswered(host=host, incarnation=incarnation):
                return self._on_probe_unanswered(host, incarnation)

    def _on_host_list(self, hosts: tuple[ListedHost, ...]) -> MembershipChange:
        listed = {h.host: h for h in hosts}
        known = self._listed
        self._listed = listed
        for member in self._members.values():
            member.leaving = self._is_leaving(member.host)
        connect = tuple(
            h
            for name, h in listed.items()
            if name not in known or known[name].address != h.address
        )
        # A connected host that is no longer listed may still finish its work: it is
        # only given up once the agent itself or a failure has closed the link.
        unlisted = tuple(
            name for name in known if name not in listed and name not in self._members
        )
        return MembershipChange(connect=connect, disconnect=unlisted)

    def _on_link_up(self, event: LinkUp) -> MembershipChange:
        known = self._members.get(event.host)
        if known is not None and known.incarnation > event.incarnation:
            return MembershipChange()
        self._members[event.host] = Member(
            event.host,
            event.address,
            event.incarnation,
            event.failure_domain,
            event.region,
            leaving=self._is_leaving(event.host),
        )
        if known is None or known.incarnation == event.incarnation:
            return MembershipChange()
        return MembershipChange(lost=frozenset({event.host}))

    def _on_link_down(self, host: str, incarnation: int) -> MembershipChange:
        known = self._members.get(host)
        if known is None or known.incarnation != incarnation:
            return MembershipChange()
        del self._members[host]
        disconnect = () if host in self._listed else (host,)
        return MembershipChange(disconnect=disconnect, lost=frozenset({host}))

    def _is_leaving(self, host: str) -> bool:
        listed = self._listed.get(host)
        return listed is not None and listed.leaving

    def _on_report(self, event: AgentReport) -> None:
        member = self._members.get(event.host)
        if member is None or member.incarnation != event.incarnation:
            return
        member.state = event.state
        member.suspect = False
        member.other_sequences = max(0, event.sequences - event.owned)
        member.max_sequences = event.max_sequences
        member.step_ms = max(0.01, event.step_ms)
        member.loaded = event.loaded
        member.services = frozenset(event.services)

    def _on_probe_unanswered(self, host: str, incarnation: int) -> MembershipChange:
        member = self._members.get(host)
        if member is None or member.incarnation != incarnation:
            return MembershipChange()
        member.suspect = True
        return MembershipChange(suspected=frozenset({host}))

    def stages(
        self,
        model: str,
        version: str,
        placed: dict[str, LayerRange],
        *,
        awaited: bool = False,
    ) -> list[Replica]:
        """Return the replicas that report the model's placed layers as loaded.

        :param placed: layer range per host, from the configuration.
        :param awaited: whether to include silent agents, which may go on.
        """
        found: list[Replica] = []
        for host, layers in placed.items():
            member = self._members.get(host)
            if member is None or not member.usable(awaited=awaited):
                continue
            if Loaded(model, version, layers) in member.loaded:
                found.append(_replica(member, layers))
        return found

    def service_replicas(
        self, service: str, hosts: list[str], *, awaited: bool = False
    ) -> list[Replica]:
        """Return the replicas of a plain service among ``hosts``.

        :param awaited: whether to include silent agents, which may go on.
        """
        members = (self._members.get(host) for host in hosts)
        return [
            _replica(member, LayerRange(0, 0))
            for member in members
            if member is not None
            and member.usable(awaited=awaited)
            and service in member.services
        ]

    def count_own(self, stages: Iterable[Stage], change: int) -> None:
        """Add ``change`` to the count of this entry's sequences at ``stages``.

        :param change: 1 if a sequence begins there, -1 if one ends.
        """
        for stage in stages:
            member = self._members.get(stage.host)
            if member is not None and member.incarnation == stage.incarnation:
                member.own_sequences = max(0, member.own_sequences + change)


def _replica(member: Member, layers: LayerRange) -> Replica:
    return Replica(
        Stage(member.host, member.address, member.incarnation, layers),
        member.failure_domain,
        member.region,
        in_flight=member.load,
        capacity=member.max_sequences,
        step_ms=member.step_ms,
    )
