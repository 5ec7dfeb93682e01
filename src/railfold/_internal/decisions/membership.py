"""Which agents an entry may route to.

Three sources speak of an agent, in this order of authority: the agent's own
word over its link, the state of the link, and the platform's host list, which
lags. An agent that says it is draining gets no new work whatever the list
says; an agent whose link is down gets none either. The list adds hosts to dial
and marks those that are leaving, which get no new work; a linked host that is
missing from it goes on serving, since the list may be wrong or empty.
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
    """A host as the platform's list has it; ``address`` is its agent's."""

    host: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class HostListReceived:
    """A new copy of the platform's list."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to an agent was handshaken."""

    host: str
    address: str
    incarnation: int
    failure_domain: str
    region: str


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to one incarnation of an agent ended."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class AgentReport:
    """An agent's own word, from a heartbeat.

    :param owned: how many of its ``sequences`` are this entry's.
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
    """What an event changed.

    :param connect: hosts to open a link to.
    :param disconnect: hosts whose link is no longer wanted.
    :param lost: hosts whose work in flight is lost.
    """

    connect: tuple[ListedHost, ...] = ()
    disconnect: tuple[str, ...] = ()
    lost: frozenset[str] = frozenset()


@dataclass(slots=True)
class Member:
    """What an entry knows of one linked agent.

    :param own_sequences: this entry's own sequences there now, which it knows exactly.
    :param other_sequences: sequences of other entries there, by the last report.
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
        """Whether new work may go there."""
        return self.state == "serving" and not self.suspect and not self.leaving

    @property
    def displayed_state(self) -> str:
        """What operators see: the agent's own state, or why it gets no work."""
        if self.suspect:
            return "suspect"
        if self.leaving and self.state == "serving":
            return "leaving"
        return self.state

    @property
    def load(self) -> int:
        """Sequences there, as well as it is known."""
        return self.own_sequences + self.other_sequences


class MembershipView:
    """One entry's view of all agents."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedHost] = {}
        self._members: dict[str, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, host: str) -> Member | None:
        """Return the linked agent at ``host``."""
        return self._members.get(host)

    def apply(self, event: MembershipEvent) -> MembershipChange:
        """Take one event; return what changed."""
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
        # A host that is off the list may still finish what it has: only hang
        # up once its own word or its link has ended that.
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
        return MembershipChange(lost=frozenset({host}))

    def stages(
        self, model: str, version: str, placed: dict[str, LayerRange]
    ) -> list[Replica]:
        """Return replicas of a model that are placed and read back as loaded.

        :param placed: host to layer range, from the configuration.
        """
        found: list[Replica] = []
        for host, layers in placed.items():
            member = self._members.get(host)
            if member is None or not member.routable:
                continue
            if Loaded(model, version, layers) in member.loaded:
                found.append(_replica(member, layers))
        return found

    def service_replicas(self, service: str, hosts: list[str]) -> list[Replica]:
        """Return replicas of a plain service among ``hosts``."""
        members = (self._members.get(host) for host in hosts)
        return [
            _replica(member, LayerRange(0, 0))
            for member in members
            if member is not None and member.routable and service in member.services
        ]

    def count_own(self, stages: Iterable[Stage], change: int) -> None:
        """Count own work that begins (``change`` 1) or ends (-1) at ``stages``."""
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
