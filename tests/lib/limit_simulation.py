"""Simulation of entries that share a backend server's rate limit, without a network.

Entries have requests for the server at random times. Messages between entries take
milliseconds and may be lost. Entries freeze, restart, and are cut off from the others.
The server advertises its limit in each answer.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from railfold._internal.decisions.rate_limits import (
    AdvertisedLimits,
    AskIssuer,
    KnownEntries,
    NoRateLimit,
    PermitDenied,
    PermitGranted,
    PermitOutcome,
    PermitSchedule,
    PermitSharing,
    RateLimitAdvertised,
)
from tests.lib.limits import NOTIFIED_BEFORE_S, SETTLING_S, WINDOW_S, allowed_requests

SERVER = "i-1@1"

# Delay of a message between entries, and time from the arrival of a request at the
# server to the arrival of the answer's head at the entry.
_MESSAGE_DELAY_RANGE_S = (0.0005, 0.005)
_ANSWER_DELAY_RANGE_S = (0.02, 0.1)

# Time limit of an issuer's answer, interval of reports to the other entries, and
# interval of the entries' upkeep.
_PERMIT_REPLY_TIMEOUT_S = 0.06
_REPORT_INTERVAL_S = 1.0
_UPKEEP_INTERVAL_S = 0.25


@dataclass(frozen=True)
class Limit:
    """The limit that the server advertises from a time on; ``None`` for no limit."""

    from_s: float
    limit_per_s: float | None


@dataclass(frozen=True)
class Outage:
    """A period in which an entry doesn't work as usual.

    :param entry: the number of the entry.
    :param kind: ``"frozen"``, ``"restarted"`` (it loses its state), ``"cut"`` (no
        message passes between it and another entry) or ``"gone"`` (it has stopped, but
        the other entries still list it).
    """

    entry: int
    kind: str
    from_s: float
    to_s: float

    def applies(self, entry: int, at_s: float, *kinds: str) -> bool:
        """Return whether an outage of these kinds affects an entry at a time."""
        in_effect = self.entry == entry and self.from_s <= at_s < self.to_s
        return in_effect and self.kind in kinds


@dataclass(frozen=True)
class Scenario:
    """Conditions of a simulation.

    :param entries: number of entries.
    :param demand_per_s: requests a second for the server, over all entries.
    :param skew: demand of the first entry in relation to that of each other entry.
    :param loss_share: share of messages between entries that are lost.
    """

    entries: int
    limits: tuple[Limit, ...]
    demand_per_s: float
    duration_s: float = 14.0
    skew: float = 1.0
    loss_share: float = 0.0
    outages: tuple[Outage, ...] = ()
    seed: int = 1


class Entry:
    """An entry, made of the classes under test."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.name = f"entry-{number}"
        self.notified_s: float | None = None
        self.reset()

    def reset(self) -> None:
        """Lose all state, as in a restart."""
        self.limits = AdvertisedLimits()
        self.sharing = PermitSharing(self.simulation.rng)
        self.report_due_s = float("-inf")

    @property
    def known_entries(self) -> KnownEntries:
        names = tuple(e.name for e in self.simulation.entries if e is not self)
        return KnownEntries(self.name, names, len(self.simulation.entries))

    def request_send(self) -> None:
        """Get a client's request for the server, and send it if there is a permit."""
        self._seek_permit(set())

    def _seek_permit(self, asked_names: set[str]) -> None:
        simulation = self.simulation
        limit_per_s = self.limits.limit_per_s(SERVER)
        if limit_per_s is None:
            traffic_share = self.limits.traffic_share(SERVER, simulation.now_s)
            if simulation.rng.random() < traffic_share:
                simulation.send(self)
            return
        decision = self.sharing.request_permit(
            SERVER, limit_per_s, self.known_entries, simulation.now_s, 0.0
        )
        match decision:
            case PermitGranted():
                simulation.send(self)
            case AskIssuer(name=name) if name not in asked_names:
                self._ask_issuer(name, {*asked_names, name})

    def _ask_issuer(self, name: str, asked_names: set[str]) -> None:
        simulation = self.simulation
        issuer = simulation.by_name[name]
        answered = False

        def on_request() -> None:
            outcome = issuer.answer_peer(self)
            simulation.deliver(issuer, self, lambda: on_reply(outcome))

        def on_reply(outcome: PermitOutcome) -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            if isinstance(outcome, PermitGranted):
                simulation.send(self)
            else:
                self.sharing.record_denial(
                    SERVER, name, outcome.wait_s, simulation.now_s
                )
                self._seek_permit(asked_names)

        def on_timeout() -> None:
            nonlocal answered
            if not answered:
                answered = True
                self.sharing.record_no_answer(SERVER, name, simulation.now_s)
                self._seek_permit(asked_names)

        simulation.deliver(self, issuer, on_request)
        simulation.call_at(simulation.now_s + _PERMIT_REPLY_TIMEOUT_S, on_timeout)

    def answer_peer(self, peer: Entry) -> PermitOutcome:
        """Answer another entry that asks for a permit."""
        self.receive_report(peer.limits.limit_per_s(SERVER), peer.latest_report_s)
        limit_per_s = self.limits.limit_per_s(SERVER)
        if limit_per_s is None:
            return PermitGranted()
        return self.sharing.answer_peer(
            SERVER, limit_per_s, self.known_entries, self.simulation.now_s, 0.0
        )

    @property
    def latest_report_s(self) -> float:
        """When the latest known report about the limit was received."""
        return self.simulation.now_s - self.limits.report_age_s(
            SERVER, self.simulation.now_s
        )

    def receive_report(self, limit_per_s: float | None, reported_s: float) -> None:
        """Record another entry's report about the limit."""
        self.limits.observe_peer(SERVER, limit_per_s, reported_s)
        self.report_due_s = max(self.report_due_s, reported_s + _REPORT_INTERVAL_S)

    def receive_answer(self, advertised_per_s: float | None, sent_s: float) -> None:
        """Record an answer of the server, and report its limit to the other entries."""
        simulation = self.simulation
        header = (
            NoRateLimit()
            if advertised_per_s is None
            else RateLimitAdvertised(advertised_per_s)
        )
        change = self.limits.observe(SERVER, header, sent_s, simulation.now_s)
        if advertised_per_s is not None and self.notified_s is None:
            self.notified_s = simulation.now_s
        if change is None and (
            advertised_per_s is None or simulation.now_s < self.report_due_s
        ):
            return
        self.report_due_s = simulation.now_s + _REPORT_INTERVAL_S
        limit_per_s, reported_s = self.limits.limit_per_s(SERVER), simulation.now_s
        for receiver in simulation.entries:
            if receiver is not self:
                simulation.send_report(self, receiver, limit_per_s, reported_s)


class EqualShareEntry(Entry):
    """An entry that uses an equal share of the limit without asking other entries."""

    def reset(self) -> None:
        """Lose all state, as in a restart."""
        super().reset()
        self.schedule = PermitSchedule(self.simulation.now_s)

    def _seek_permit(self, asked_names: set[str]) -> None:
        limit_per_s = self.limits.limit_per_s(SERVER)
        simulation = self.simulation
        if limit_per_s is not None:
            share_per_s = max(0.25, 0.95 * limit_per_s) / len(simulation.entries)
            outcome = self.schedule.take(simulation.now_s, share_per_s, 1.0, 0.0)
            if isinstance(outcome, PermitDenied):
                return
        simulation.send(self)


@dataclass
class Simulation:
    """A run of one scenario."""

    scenario: Scenario
    entry_type: type[Entry] = Entry
    now_s: float = 0.0
    arrivals: list[tuple[float, int]] = field(default_factory=list)
    demand_times_s: list[float] = field(default_factory=list)
    message_count: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Create the entries."""
        self.rng = random.Random(self.scenario.seed)
        self.entries = [self.entry_type(self, n) for n in range(self.scenario.entries)]
        self.by_name = {entry.name: entry for entry in self.entries}

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def run(self) -> Simulation:
        """Run the scenario to its end."""
        scenario = self.scenario
        weights = [scenario.skew, *[1.0] * (scenario.entries - 1)]
        at_s = 0.0
        while (
            at_s := at_s + self.rng.expovariate(scenario.demand_per_s)
        ) < scenario.duration_s:
            self.demand_times_s.append(at_s)
            (entry,) = self.rng.choices(self.entries, weights)
            self.call_at(
                at_s,
                lambda entry=entry: self._run_if_up(entry, entry.request_send),  # type: ignore[misc]
            )
        for outage in scenario.outages:
            if outage.kind == "restarted":
                self.call_at(outage.to_s, self.entries[outage.entry].reset)
        for tick in range(int(scenario.duration_s / _UPKEEP_INTERVAL_S)):
            self.call_at(tick * _UPKEEP_INTERVAL_S, self._upkeep)
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self

    def _upkeep(self) -> None:
        for entry in self.entries:
            if not self._is_in_outage(entry, "frozen", "gone", "restarted"):
                entry.limits.lapse_unconfirmed(self.now_s, len(self.entries))

    def _is_in_outage(self, entry: Entry, *kinds: str) -> bool:
        return any(
            outage.applies(entry.number, self.now_s, *kinds)
            for outage in self.scenario.outages
        )

    def _run_if_up(self, entry: Entry, action: Callable[[], None]) -> None:
        if self._is_in_outage(entry, "gone", "restarted"):
            return
        frozen = [
            o
            for o in self.scenario.outages
            if o.applies(entry.number, self.now_s, "frozen")
        ]
        if frozen:
            self.call_at(frozen[0].to_s, action)
        else:
            action()

    def deliver(
        self, sender: Entry, receiver: Entry, action: Callable[[], None]
    ) -> None:
        """Send a message that causes an action at its receiver, unless it is lost."""
        self.message_count += 1
        cut = self._is_in_outage(sender, "cut") or self._is_in_outage(receiver, "cut")
        if cut or self.rng.random() < self.scenario.loss_share:
            return
        at_s = self.now_s + self.rng.uniform(*_MESSAGE_DELAY_RANGE_S)
        self.call_at(at_s, lambda: self._run_if_up(receiver, action))

    def send_report(
        self,
        sender: Entry,
        receiver: Entry,
        limit_per_s: float | None,
        reported_s: float,
    ) -> None:
        """Send a report about the limit from one entry to another."""
        self.deliver(
            sender, receiver, lambda: receiver.receive_report(limit_per_s, reported_s)
        )

    def limit_at(self, at_s: float) -> float | None:
        """Return the limit that the server advertises at a time."""
        advertised_per_s = None
        for limit in self.scenario.limits:
            if limit.from_s <= at_s:
                advertised_per_s = limit.limit_per_s
        return advertised_per_s

    def send(self, entry: Entry) -> None:
        """Send a request of an entry to the server, and schedule its answer."""
        self.arrivals.append((self.now_s, entry.number))
        advertised_per_s, sent_s = self.limit_at(self.now_s), self.now_s
        answer_s = self.now_s + self.rng.uniform(*_ANSWER_DELAY_RANGE_S)
        self.call_at(
            answer_s,
            lambda: self._run_if_up(
                entry, lambda: entry.receive_answer(advertised_per_s, sent_s)
            ),
        )

    # Results

    def _is_excused(self, entry: int, at_s: float) -> bool:
        return any(
            o.entry == entry and o.from_s <= at_s < o.to_s + SETTLING_S
            for o in self.scenario.outages
        )

    def max_excess(self) -> float:
        """Return by how many requests the fullest window exceeds what is allowed."""
        first_limit_s = min(limit.from_s for limit in self.scenario.limits)
        counted = [
            at_s
            for at_s, number in sorted(self.arrivals)
            if (notified_s := self.entries[number].notified_s) is not None
            and notified_s + NOTIFIED_BEFORE_S <= at_s
            and self.limit_at(at_s) is not None
            and not self._is_excused(number, at_s)
        ]
        worst = float("-inf")
        for end_s in counted:
            if end_s < first_limit_s + SETTLING_S:
                continue
            since_s = end_s - WINDOW_S
            received = sum(1 for at_s in counted if since_s < at_s <= end_s)
            worst = max(
                worst, received - allowed_requests(self._highest_limit(since_s, end_s))
            )
        return worst

    def _highest_limit(self, from_s: float, to_s: float) -> float:
        """Return the highest limit that was advertised in or right before a window."""
        limits_so_far = [
            limit.limit_per_s for limit in self.scenario.limits if limit.from_s <= to_s
        ]
        inside = [
            limit.limit_per_s or 0.0
            for limit in self.scenario.limits
            if from_s <= limit.from_s <= to_s
        ]
        before = [
            limit.limit_per_s or 0.0
            for limit in self.scenario.limits
            if limit.from_s < from_s
        ]
        return max([*inside, *before[-1:], *([] if limits_so_far else [0.0])])

    def sent_share(self, from_s: float, to_s: float) -> float:
        """Return the share of the requests between two times that were sent."""
        demands = sum(1 for at_s in self.demand_times_s if from_s <= at_s < to_s)
        return self.received_per_s(from_s, to_s) * (to_s - from_s) / demands

    def received_per_s(self, from_s: float, to_s: float) -> float:
        """Return the rate at which the server got requests between two times."""
        received = sum(1 for at_s, _ in self.arrivals if from_s <= at_s < to_s)
        return received / (to_s - from_s)
