"""Plays of entries that share a backend server's rate limit, without a network.

Each entry wants to send at times drawn by chance; messages between entries take
milliseconds and may be lost; entries freeze, start again, and are cut off from the
others. The server names its limit in all its answers.
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

# One way between entries, and from the arrival of a request to its answer's head.
_MESSAGE_DELAY_RANGE_S = (0.0005, 0.005)
_ANSWER_DELAY_RANGE_S = (0.02, 0.1)

# How long a holder's answer is waited for, and how often the word is told again.
_PERMIT_REPLY_TIMEOUT_S = 0.06
_REPORT_INTERVAL_S = 1.0
_UPKEEP_INTERVAL_S = 0.25


@dataclass(frozen=True)
class Limit:
    """What a server names from a time on; ``None`` if nothing."""

    from_s: float
    limit_per_s: float | None


@dataclass(frozen=True)
class Outage:
    """An entry that is away for some time.

    :param kind: ``"frozen"``, ``"restarted"`` (it forgets all), ``"cut"`` (no message
        passes between it and another entry) or ``"gone"`` (dead, on the others' list).
    """

    entry: int
    kind: str
    from_s: float
    to_s: float

    def applies(self, entry: int, at_s: float, *kinds: str) -> bool:
        """Return whether it is one of these kinds, and acts on an entry then."""
        in_effect = self.entry == entry and self.from_s <= at_s < self.to_s
        return in_effect and self.kind in kinds


@dataclass(frozen=True)
class Scenario:
    """A play's conditions.

    :param demand_per_s: how often all entries together want to send to the server.
    :param skew: how much more the first entry wants than any other.
    :param loss_share: the share of messages between entries that get lost.
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
    """One entry of the product's own parts."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.name = f"entry-{number}"
        self.notified_s: float | None = None
        self.reset()

    def reset(self) -> None:
        """Start anew."""
        self.limits = AdvertisedLimits()
        self.sharing = PermitSharing(self.simulation.rng)
        self.report_due_s = float("-inf")

    @property
    def known_entries(self) -> KnownEntries:
        names = tuple(e.name for e in self.simulation.entries if e is not self)
        return KnownEntries(self.name, names, len(self.simulation.entries))

    def request_send(self) -> None:
        """Have a request that would go to the server."""
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
        """Answer another entry."""
        self.receive_report(peer.limits.limit_per_s(SERVER), peer.latest_report_s)
        limit_per_s = self.limits.limit_per_s(SERVER)
        if limit_per_s is None:
            return PermitGranted()
        return self.sharing.answer_peer(
            SERVER, limit_per_s, self.known_entries, self.simulation.now_s, 0.0
        )

    @property
    def latest_report_s(self) -> float:
        """When the newest known word was given."""
        return self.simulation.now_s - self.limits.report_age_s(
            SERVER, self.simulation.now_s
        )

    def receive_report(self, limit_per_s: float | None, reported_s: float) -> None:
        """Take another entry's word."""
        self.limits.observe_peer(SERVER, limit_per_s, reported_s)
        self.report_due_s = max(self.report_due_s, reported_s + _REPORT_INTERVAL_S)

    def receive_answer(self, advertised_per_s: float | None, sent_s: float) -> None:
        """Take the server's answer."""
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
    """An entry that keeps an equal part of the limit by itself."""

    def reset(self) -> None:
        """Start anew."""
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
    """A run of one draw."""

    scenario: Scenario
    entry_type: type[Entry] = Entry
    now_s: float = 0.0
    arrivals: list[tuple[float, int]] = field(default_factory=list)
    demand_times_s: list[float] = field(default_factory=list)
    message_count: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Make the entries."""
        self.rng = random.Random(self.scenario.seed)
        self.entries = [self.entry_type(self, n) for n in range(self.scenario.entries)]
        self.by_name = {entry.name: entry for entry in self.entries}

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def run(self) -> Simulation:
        """Play to the end."""
        scenario = self.scenario
        weights = [scenario.skew, *[1.0] * (scenario.entries - 1)]
        at_s = 0.0
        while (
            at_s := at_s + self.rng.expovariate(scenario.demand_per_s)
        ) < scenario.duration_s:
            self.demand_times_s.append(at_s)
            (entry,) = self.rng.choices(self.entries, weights)
            self.call_at(
                at_s, lambda entry=entry: self._run_if_up(entry, entry.request_send)
            )  # type: ignore[misc]
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
        """Let something happen at another entry once a message has reached it."""
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
        """Tell another entry a word."""
        self.deliver(
            sender, receiver, lambda: receiver.receive_report(limit_per_s, reported_s)
        )

    def limit_at(self, at_s: float) -> float | None:
        """Return what the server names at a time."""
        advertised_per_s = None
        for limit in self.scenario.limits:
            if limit.from_s <= at_s:
                advertised_per_s = limit.limit_per_s
        return advertised_per_s

    def send(self, entry: Entry) -> None:
        """Let a request reach the server, and its answer the entry."""
        self.arrivals.append((self.now_s, entry.number))
        advertised_per_s, sent_s = self.limit_at(self.now_s), self.now_s
        answer_s = self.now_s + self.rng.uniform(*_ANSWER_DELAY_RANGE_S)
        self.call_at(
            answer_s,
            lambda: self._run_if_up(
                entry, lambda: entry.receive_answer(advertised_per_s, sent_s)
            ),
        )

    # What came of it

    def _is_excused(self, entry: int, at_s: float) -> bool:
        return any(
            o.entry == entry and o.from_s <= at_s < o.to_s + SETTLING_S
            for o in self.scenario.outages
        )

    def max_excess(self) -> float:
        """Return by how many requests the fullest window is over what is allowed."""
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
        """Return the highest limit of a window."""
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
        """Return which share of the wishes to send between two times led to one."""
        demands = sum(1 for at_s in self.demand_times_s if from_s <= at_s < to_s)
        return self.received_per_s(from_s, to_s) * (to_s - from_s) / demands

    def received_per_s(self, from_s: float, to_s: float) -> float:
        """Return how many requests a second the server got between two times."""
        received = sum(1 for at_s, _ in self.arrivals if from_s <= at_s < to_s)
        return received / (to_s - from_s)
