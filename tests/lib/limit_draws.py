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
    AskHolder,
    Fleet,
    NoRateLimit,
    PermitDenied,
    PermitGranted,
    PermitOutcome,
    PermitSchedule,
    PermitSharing,
    RateLimitNamed,
)
from tests.lib.limits import CONTACT_S, TOLD_BEFORE_S, WINDOW_S, allowed

SERVER = "i-1@1"

# One way between entries, and from the arrival of a request to its answer's head.
_WAY_S = (0.0005, 0.005)
_ANSWER_S = (0.02, 0.1)

# How long a holder's answer is waited for, and how often the word is told again.
_WAIT_S = 0.06
_ANNOUNCE_INTERVAL_S = 1.0
_UPKEEP_S = 0.25


@dataclass(frozen=True)
class Limit:
    """What a server names from a time on; ``None`` if nothing."""

    from_s: float
    per_s: float | None


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

    def holds(self, entry: int, at_s: float, *kinds: str) -> bool:
        """Return whether it is one of these kinds, and acts on an entry then."""
        acts = self.entry == entry and self.from_s <= at_s < self.to_s
        return acts and self.kind in kinds


@dataclass(frozen=True)
class Draw:
    """A play's conditions.

    :param wants_per_s: how often all entries together want to send to the server.
    :param skew: how much more the first entry wants than any other.
    :param lost: the share of messages between entries that get lost.
    """

    entries: int
    limits: tuple[Limit, ...]
    wants_per_s: float
    for_s: float = 14.0
    skew: float = 1.0
    lost: float = 0.0
    outages: tuple[Outage, ...] = ()
    seed: int = 1


class Entry:
    """One entry of the product's own parts."""

    def __init__(self, play: Play, number: int) -> None:
        self.play = play
        self.number = number
        self.name = f"entry-{number}"
        self.told_s: float | None = None
        self.forget()

    def forget(self) -> None:
        """Start anew."""
        self.limits = AdvertisedLimits()
        self.sharing = PermitSharing(self.play.rng)
        self.tell_due_s = float("-inf")

    @property
    def fleet(self) -> Fleet:
        names = tuple(e.name for e in self.play.entries if e is not self)
        return Fleet(self.name, names, len(self.play.entries))

    def want(self) -> None:
        """Have a request that would go to the server."""
        self._look_for_permit(set())

    def _look_for_permit(self, asked: set[str]) -> None:
        play = self.play
        per_s = self.limits.per_s(SERVER)
        if per_s is None:
            share = self.limits.share(SERVER, play.now_s)
            if play.rng.random() < share:
                play.send(self)
            return
        step = self.sharing.step(SERVER, per_s, self.fleet, play.now_s, 0.0)
        match step:
            case PermitGranted():
                play.send(self)
            case AskHolder(name=name) if name not in asked:
                self._ask(name, {*asked, name})

    def _ask(self, name: str, asked: set[str]) -> None:
        play = self.play
        holder = play.by_name[name]
        answered = False

        def at_holder() -> None:
            outcome = holder.asked(self)
            play.pass_on(holder, self, lambda: back(outcome))

        def back(outcome: PermitOutcome) -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            if isinstance(outcome, PermitGranted):
                play.send(self)
            else:
                self.sharing.denied(SERVER, name, outcome.wait_s, play.now_s)
                self._look_for_permit(asked)

        def late() -> None:
            nonlocal answered
            if not answered:
                answered = True
                self.sharing.unanswered(SERVER, name, play.now_s)
                self._look_for_permit(asked)

        play.pass_on(self, holder, at_holder)
        play.at(play.now_s + _WAIT_S, late)

    def asked(self, by: Entry) -> PermitOutcome:
        """Answer another entry."""
        self.hear(by.limits.per_s(SERVER), by.word_s)
        per_s = self.limits.per_s(SERVER)
        if per_s is None:
            return PermitGranted()
        return self.sharing.asked(SERVER, per_s, self.fleet, self.play.now_s, 0.0)

    @property
    def word_s(self) -> float:
        """When the newest known word was given."""
        return self.play.now_s - self.limits.word_age_s(SERVER, self.play.now_s)

    def hear(self, per_s: float | None, given_s: float) -> None:
        """Take another entry's word."""
        self.limits.announced(SERVER, per_s, given_s)
        self.tell_due_s = max(self.tell_due_s, given_s + _ANNOUNCE_INTERVAL_S)

    def answered(self, named: float | None, sent_s: float) -> None:
        """Take the server's answer."""
        play = self.play
        word = NoRateLimit() if named is None else RateLimitNamed(named)
        change = self.limits.observe(SERVER, word, sent_s, play.now_s)
        if named is not None and self.told_s is None:
            self.told_s = play.now_s
        if change is None and (named is None or play.now_s < self.tell_due_s):
            return
        self.tell_due_s = play.now_s + _ANNOUNCE_INTERVAL_S
        per_s, given_s = self.limits.per_s(SERVER), play.now_s
        for other in play.entries:
            if other is not self:
                play.tell(self, other, per_s, given_s)


class AloneEntry(Entry):
    """An entry that keeps an equal part of the limit by itself."""

    def forget(self) -> None:
        """Start anew."""
        super().forget()
        self.schedule = PermitSchedule(self.play.now_s)

    def _look_for_permit(self, asked: set[str]) -> None:
        per_s = self.limits.per_s(SERVER)
        play = self.play
        if per_s is not None:
            part = max(0.25, 0.95 * per_s) / len(play.entries)
            outcome = self.schedule.take(play.now_s, part, 1.0, 0.0)
            if isinstance(outcome, PermitDenied):
                return
        play.send(self)


@dataclass
class Play:
    """A run of one draw."""

    draw: Draw
    kind: type[Entry] = Entry
    now_s: float = 0.0
    arrivals: list[tuple[float, int]] = field(default_factory=list)
    wants_s: list[float] = field(default_factory=list)
    messages: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _count: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Make the entries."""
        self.rng = random.Random(self.draw.seed)
        self.entries = [self.kind(self, n) for n in range(self.draw.entries)]
        self.by_name = {entry.name: entry for entry in self.entries}

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (at_s, next(self._count), action))

    def run(self) -> Play:
        """Play to the end."""
        draw = self.draw
        weights = [draw.skew, *[1.0] * (draw.entries - 1)]
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(draw.wants_per_s)) < draw.for_s:
            self.wants_s.append(at_s)
            (entry,) = self.rng.choices(self.entries, weights)
            self.at(at_s, lambda entry=entry: self._if_up(entry, entry.want))  # type: ignore[misc]
        for outage in draw.outages:
            if outage.kind == "restarted":
                self.at(outage.to_s, self.entries[outage.entry].forget)
        for tick in range(int(draw.for_s / _UPKEEP_S)):
            self.at(tick * _UPKEEP_S, self._upkeep)
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self

    def _upkeep(self) -> None:
        for entry in self.entries:
            if not self._is(entry, "frozen", "gone", "restarted"):
                entry.limits.lapse(self.now_s, len(self.entries))

    def _is(self, entry: Entry, *kinds: str) -> bool:
        return any(
            outage.holds(entry.number, self.now_s, *kinds)
            for outage in self.draw.outages
        )

    def _if_up(self, entry: Entry, action: Callable[[], None]) -> None:
        if self._is(entry, "gone", "restarted"):
            return
        frozen = [
            o for o in self.draw.outages if o.holds(entry.number, self.now_s, "frozen")
        ]
        if frozen:
            self.at(frozen[0].to_s, action)
        else:
            action()

    def pass_on(self, one: Entry, other: Entry, action: Callable[[], None]) -> None:
        """Let something happen at another entry once a message has reached it."""
        self.messages += 1
        cut = self._is(one, "cut") or self._is(other, "cut")
        if cut or self.rng.random() < self.draw.lost:
            return
        at_s = self.now_s + self.rng.uniform(*_WAY_S)
        self.at(at_s, lambda: self._if_up(other, action))

    def tell(
        self, one: Entry, other: Entry, per_s: float | None, given_s: float
    ) -> None:
        """Tell another entry a word."""
        self.pass_on(one, other, lambda: other.hear(per_s, given_s))

    def named(self, at_s: float) -> float | None:
        """Return what the server names at a time."""
        named = None
        for limit in self.draw.limits:
            if limit.from_s <= at_s:
                named = limit.per_s
        return named

    def send(self, entry: Entry) -> None:
        """Let a request reach the server, and its answer the entry."""
        self.arrivals.append((self.now_s, entry.number))
        named, sent_s = self.named(self.now_s), self.now_s
        answer_s = self.now_s + self.rng.uniform(*_ANSWER_S)
        self.at(
            answer_s, lambda: self._if_up(entry, lambda: entry.answered(named, sent_s))
        )

    # What came of it

    def _excused(self, entry: int, at_s: float) -> bool:
        return any(
            o.entry == entry and o.from_s <= at_s < o.to_s + CONTACT_S
            for o in self.draw.outages
        )

    def most_over(self) -> float:
        """Return by how many requests the fullest window is over what is allowed."""
        first_s = min(limit.from_s for limit in self.draw.limits)
        counted = [
            at_s
            for at_s, number in sorted(self.arrivals)
            if (told_s := self.entries[number].told_s) is not None
            and told_s + TOLD_BEFORE_S <= at_s
            and self.named(at_s) is not None
            and not self._excused(number, at_s)
        ]
        worst = float("-inf")
        for end_s in counted:
            if end_s < first_s + CONTACT_S:
                continue
            since_s = end_s - WINDOW_S
            got = sum(1 for at_s in counted if since_s < at_s <= end_s)
            worst = max(worst, got - allowed(self._highest(since_s, end_s)))
        return worst

    def _highest(self, from_s: float, to_s: float) -> float:
        """Return the highest limit of a window."""
        named = [limit.per_s for limit in self.draw.limits if limit.from_s <= to_s]
        inside = [
            limit.per_s or 0.0
            for limit in self.draw.limits
            if from_s <= limit.from_s <= to_s
        ]
        before = [
            limit.per_s or 0.0 for limit in self.draw.limits if limit.from_s < from_s
        ]
        return max([*inside, *before[-1:], *([] if named else [0.0])])

    def got_share(self, from_s: float, to_s: float) -> float:
        """Return which share of the wishes to send between two times led to one."""
        wants = sum(1 for at_s in self.wants_s if from_s <= at_s < to_s)
        return self.got_per_s(from_s, to_s) * (to_s - from_s) / wants

    def got_per_s(self, from_s: float, to_s: float) -> float:
        """Return how many requests a second the server got between two times."""
        got = sum(1 for at_s, _ in self.arrivals if from_s <= at_s < to_s)
        return got / (to_s - from_s)
