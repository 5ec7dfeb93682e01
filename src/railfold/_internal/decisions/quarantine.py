"""Which requests are held back because each backend server that runs them ends.

A request is recognized by its content (a digest): each attempt of a client has an id
of its own and may come to any entry. What entries saw is a set of crashes for each
content, which they exchange and join: the same set leads to the same verdict
everywhere, in whatever order its parts arrive, and a lost part comes with the next one.

Most that runs where a backend server ends is innocent. So a crash counts

- only for requests that had just begun there (the caller sees to that);
- once, if several servers end at the same moment, as with a rack;
- for a content that ran well shortly before, as one that many clients send does, only
  if the run began after the crash counted before: whatever ends many servers within a
  second ends runs of such a content at each of them;
- only if no other content that is held back ended under the same server.

A run to a good end clears a content of all crashes before. One that is held back is
tried again after a time that doubles, by one entry at a time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "UNKNOWN_VERSION",
    "Content",
    "Crash",
    "Quarantine",
    "QuarantineChange",
    "QuarantineState",
    "Standing",
]

# Of a server that ended before its registration was read, or doesn't tell it.
UNKNOWN_VERSION = ""


# So many servers may end under a request before it is held back. Two are as many as a
# single attempt of a client may cost with its entry's own retry, and as an innocent
# request meets that goes from one failing server to the next.
_CRASHES_TO_HOLD = 3

# How long a content is held back at first, and at most. A trial costs a server's work
# for the seconds of its restart: one in ten minutes is 1 in 200 of its time.
_HOLD_S = 600.0
_HOLD_MOST_S = 24 * 3600.0

# One trial at a time, which has ended well or badly after this time; a client may also
# have left.
_TRIAL_S = 30.0

# Crashes further back than this say nothing of a request that comes now.
_FORGET_S = 600.0

# Entries tell each other how long ago a run began, and agree on it to this: the time
# that a message takes between two hosts of neighbouring regions.
_SKEW_S = 0.02

# Servers that end closer together than this end of one cause: of a rack's or a domain's
# servers all connections are reset within some milliseconds. What ends one server some
# time after it has begun to run there, and was sent again, takes longer.
_SAME_MOMENT_S = 0.03

# A content that ran well within this time is one that clients send often, or that
# engines ran before their software changed.
_WELL_S = 60.0

# Bounds of memory: contents, some 2 KB each at most, and crashes of each.
_CONTENTS_KEPT = 1000
_CRASHES_KEPT = 16
_WELL_KEPT = 4096


class QuarantineState(Enum):
    """What is believed of a content."""

    SUSPECTED = "suspected"  # Servers ended under it; it still runs.
    HELD_BACK = "held back"  # It is refused.
    ON_TRIAL = (
        "on trial"  # One run is let through, to see whether it still ends servers.
    )
    CLEARED = (
        "cleared"  # It ran to a good end, or another content explains its crashes.
    )
    LIFTED = "lifted"  # The operator, or new software, let it run again.


class Standing(Enum):
    """What may be done with a request now."""

    FREE = "free"
    HELD = "held"
    MAY_BE_TRIED = "may be tried"


@dataclass(frozen=True, slots=True)
class Content:
    """What requests with the same path, caller and body are known by.

    :param digest: a keyed hash of them.
    """

    digest: str
    service: str
    route: str
    workspace: str


@dataclass(frozen=True, slots=True)
class Crash:
    """A backend server that ended while a request had just begun there.

    :param server_id: the incarnation that ended.
    :param began_s: when the request was sent there.
    :param ended_s: when it was cut off there.
    :param version: of the software and the model that ran there.
    :param after_event: the event after which the run resumed a stream; 0 if it didn't.
    """

    server_id: str
    began_s: float
    ended_s: float
    version: str = UNKNOWN_VERSION
    after_event: int = 0

    @property
    def order(self) -> tuple[float, float, int]:
        """By when it ended, the first one first."""
        return (self.ended_s, self.began_s, self.after_event)


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A change of what is believed of a content, with what it follows from.

    :param was_held: whether it is or was held back.
    :param held_s: when it was held back last.
    :param holds: how often it was in a row.
    :param until_s: when it may be tried again.
    """

    content: Content
    state: QuarantineState
    crashes: tuple[Crash, ...]
    reason: str
    was_held: bool = False
    held_s: float = 0.0
    holds: int = 0
    until_s: float = 0.0


@dataclass(slots=True)
class _Record:
    """What is known of one content.

    :param holds: how often it was held back in a row.
    :param held_s: when it was held back last; nothing if it isn't.
    """

    content: Content
    crashes: dict[str, Crash] = field(default_factory=dict)
    holds: int = 0
    held_s: float | None = None
    trial_until_s: float = float("-inf")
    last_s: float = float("-inf")

    @property
    def held_until_s(self) -> float:
        """When it may be tried again."""
        if self.held_s is None:
            return float("-inf")
        return self.held_s + min(_HOLD_MOST_S, _HOLD_S * 2.0 ** min(20, self.holds - 1))

    @property
    def newest_crashes(self) -> tuple[Crash, ...]:
        """The crashes, oldest first."""
        return tuple(
            sorted(self.crashes.values(), key=lambda c: (c.order, c.server_id))
        )

    @property
    def versions(self) -> frozenset[str]:
        """The software and models that ended under it."""
        return frozenset(crash.version for crash in self.crashes.values())

    def take(self, crash: Crash) -> None:
        """Join a crash: of several runs at one server, the one that was cut off first.

        The others were sent there when it had ended.
        """
        known = self.crashes.get(crash.server_id)
        # The rest only makes the choice the same everywhere.
        if known is None or crash.order < known.order:
            self.crashes[crash.server_id] = crash

    def trim(self) -> None:
        """Keep the newest crashes only."""
        for crash in self.newest_crashes[:-_CRASHES_KEPT]:
            del self.crashes[crash.server_id]


class Quarantine:
    """Contents under suspicion and those that are held back.

    Times are on the monotonic clock of this process.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        # When contents ran well, or were let go, last: crashes before that count no
        # more, however late they are told.
        self._well_s: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    @property
    def held(self) -> list[QuarantineChange]:
        """What is held back now, or awaits its trial."""
        return [
            self._change(record, QuarantineState.HELD_BACK, "")
            for record in self._records.values()
            if record.held_s is not None
        ]

    def crashes_of(self, digest: str) -> tuple[Crash, ...]:
        """Return the crashes that are known of a content, oldest first."""
        record = self._records.get(digest)
        return record.newest_crashes if record is not None else ()

    def is_near_limit(self, digest: str) -> bool:
        """Return whether a content is held back, or would be with one crash more."""
        record = self._records.get(digest)
        if record is None:
            return False
        return record.held_s is not None or self._count(record) + 1 >= _CRASHES_TO_HOLD

    # What was seen

    def crashed(
        self, seen: Mapping[Content, Iterable[Crash]], now_s: float
    ) -> list[QuarantineChange]:
        """Join crashes to what is known; return what changed.

        :param seen: crashes by content; those of one server belong together, so that
            the content with the most crashes is the first to be judged.
        """
        changes: list[QuarantineChange] = []
        touched = [
            record
            for content, crashes in seen.items()
            if (record := self._join(content, crashes, now_s, changes)) is not None
        ]
        touched.sort(key=lambda record: -self._count(record))
        for record in touched:
            changes += self._judge(record, now_s)
        self._bound()
        return changes

    def _join(
        self,
        content: Content,
        crashes: Iterable[Crash],
        now_s: float,
        changes: list[QuarantineChange],
    ) -> _Record | None:
        since_s = max(self.well_s(content.digest), now_s - _FORGET_S)
        recent = [crash for crash in crashes if crash.ended_s > since_s]
        if not recent:
            return None
        record = self._records.get(content.digest) or _Record(content)
        before = dict(record.crashes)
        for crash in recent:
            record.take(crash)
        record.trim()
        if record.crashes == before:
            return None
        self._records[content.digest] = record
        record.last_s = max(record.last_s, now_s)
        if record.held_s is None and record.crashes.keys() != before.keys():
            changes.append(self._change(record, QuarantineState.SUSPECTED, ""))
        return record

    def _judge(self, record: _Record, now_s: float) -> list[QuarantineChange]:
        if record.held_s is not None:
            return self._judge_trial(record, now_s)
        if self._count(record) < _CRASHES_TO_HOLD:
            return []
        changes = self._hold(
            record, now_s, "servers ended under it, one after the other"
        )
        return changes + self._explain_others(record)

    def _judge_trial(self, record: _Record, now_s: float) -> list[QuarantineChange]:
        """Hold a content back again if its trial ended a server."""
        since_s = record.held_until_s - _SKEW_S
        if all(crash.began_s < since_s for crash in record.crashes.values()):
            return []
        return self._hold(record, now_s, "a server ended under its trial")

    def _hold(
        self, record: _Record, now_s: float, reason: str
    ) -> list[QuarantineChange]:
        record.holds += 1
        record.held_s = now_s
        record.trial_until_s = float("-inf")
        return [self._change(record, QuarantineState.HELD_BACK, reason)]

    def _count(self, record: _Record) -> int:
        """Return how many crashes count; the module's documentation says which."""
        explained = {
            server_id
            for other in self._records.values()
            if other.held_s is not None and other is not record
            for server_id in other.crashes
        }
        well_s = self.well_s(record.content.digest)
        count = 0
        last_ended_s = float("-inf")
        for crash in record.newest_crashes:
            if crash.server_id in explained:
                continue
            if crash.ended_s < last_ended_s + _SAME_MOMENT_S:
                continue
            ran_well_before = crash.ended_s - well_s < _WELL_S
            if ran_well_before and crash.began_s < last_ended_s - _SKEW_S:
                continue
            count += 1
            last_ended_s = crash.ended_s
        return count

    def well_s(self, digest: str) -> float:
        """Return when a content ran well last, or was let go; long ago if never."""
        return self._well_s.get(digest, float("-inf"))

    def _explain_others(self, held: _Record) -> list[QuarantineChange]:
        """Let go of those that are held back for crashes that this one explains.

        Two contents that went from server to server together reach the limit together,
        and the wrong one may have been judged first.
        """
        changes: list[QuarantineChange] = []
        for other in list(self._records.values()):
            if other is held or other.held_s is None:
                continue
            if other.crashes.keys() <= held.crashes.keys():
                del self._records[other.content.digest]
                reason = f"content {held.content.digest} explains its crashes"
                changes.append(self._change(other, QuarantineState.CLEARED, reason))
        return changes

    def ran_well(
        self, digest: str, at_s: float, last_event: int | None = None
    ) -> list[QuarantineChange]:
        """A run came to a good end, or brought events for longer than a crash takes.

        :param at_s: when; another entry may have told it later.
        :param last_event: the last event that it has brought, if it isn't at its end:
            a stream that is resumed right before the step that ends its server is well
            only once it is beyond that step.
        """
        record = self._records.get(digest)
        if record is not None and last_event is not None:
            latest = max((c.after_event for c in record.crashes.values()), default=0)
            if last_event <= latest:
                return []
        if at_s > self.well_s(digest):
            self._note_well(digest, at_s)
        if record is None:
            return []
        return self._let_go(record, at_s, QuarantineState.CLEARED, "it ran well")

    def lift(self, digest: str, now_s: float, reason: str) -> list[QuarantineChange]:
        """Let a content run again."""
        record = self._records.get(digest)
        if record is None or record.held_s is None:
            return []
        self._note_well(digest, now_s)
        return self._let_go(record, now_s, QuarantineState.LIFTED, reason)

    def lift_for_versions(
        self, service: str, versions: frozenset[str], now_s: float
    ) -> list[QuarantineChange]:
        """Let contents run again of which none of the present versions ended under.

        :param versions: of the service's backend servers that may get work now.
        """
        due = [
            record
            for record in self._records.values()
            if record.held_s is not None
            and record.content.service == service
            and versions
            and versions.isdisjoint(record.versions)
            and UNKNOWN_VERSION not in record.versions
        ]
        reason = "all backend servers run another version"
        return [
            change
            for record in due
            for change in self.lift(record.content.digest, now_s, reason)
        ]

    def _let_go(
        self, record: _Record, at_s: float, state: QuarantineState, reason: str
    ) -> list[QuarantineChange]:
        """Forget crashes before a time, and what followed from them only."""
        change = self._change(record, state, reason)
        digest = record.content.digest
        later = {k: c for k, c in record.crashes.items() if c.ended_s > at_s}
        if not later:
            del self._records[digest]
            return [change]
        record.crashes = later
        if record.held_s is None or self._count(record) >= _CRASHES_TO_HOLD:
            return []
        self._records[digest] = _Record(record.content, later, last_s=record.last_s)
        return [change]

    def _note_well(self, digest: str, at_s: float) -> None:
        self._well_s[digest] = at_s
        self._well_s.move_to_end(digest)
        while len(self._well_s) > _WELL_KEPT:
            self._well_s.popitem(last=False)

    # Holding back

    def restore(
        self, content: Content, crashes: Iterable[Crash], held_s: float, holds: int
    ) -> list[QuarantineChange]:
        """Take a hold that another entry has recorded.

        :param held_s: when it was held back, on this process's clock.
        """
        if self.well_s(content.digest) >= held_s:
            return []
        record = self._records.setdefault(content.digest, _Record(content))
        if record.held_s is not None and record.holds >= holds:
            return []
        for crash in crashes:
            record.take(crash)
        record.trim()
        record.holds = holds
        record.held_s = held_s
        record.last_s = max(record.last_s, held_s)
        change = self._change(
            record, QuarantineState.HELD_BACK, "another entry's record"
        )
        changes = [change, *self._explain_others(record)]
        self._bound()
        return changes

    def standing(self, digest: str, now_s: float) -> Standing:
        """Return what may be done with a request of this content now."""
        record = self._records.get(digest)
        if record is None or record.held_s is None:
            return Standing.FREE
        if now_s < record.held_until_s or now_s < record.trial_until_s:
            return Standing.HELD
        return Standing.MAY_BE_TRIED

    def begin_trial(self, digest: str, now_s: float) -> list[QuarantineChange]:
        """Let one request of a content through; others wait for what comes of it."""
        record = self._records.get(digest)
        if record is None or record.held_s is None:
            return []
        record.trial_until_s = now_s + _TRIAL_S
        return [self._change(record, QuarantineState.ON_TRIAL, "its time has passed")]

    def strike_out(self, server_id: str) -> list[QuarantineChange]:
        """A backend server hasn't ended: what was told of its crash was wrong."""
        changes: list[QuarantineChange] = []
        for record in list(self._records.values()):
            if record.crashes.pop(server_id, None) is None:
                continue
            wrongly_held = self._count(record) < _CRASHES_TO_HOLD
            if not record.crashes or (record.held_s is not None and wrongly_held):
                del self._records[record.content.digest]
                reason = f"server {server_id} hasn't ended"
                changes.append(self._change(record, QuarantineState.CLEARED, reason))
        return changes

    def expire(self, now_s: float) -> None:
        """Forget suspicions that no crash has renewed."""
        due = [
            digest
            for digest, record in self._records.items()
            if record.held_s is None and record.last_s < now_s - _FORGET_S
        ]
        for digest in due:
            del self._records[digest]

    def _bound(self) -> None:
        """Forget those that few servers ended under, the longest ago, if too many."""
        excess = len(self._records) - _CONTENTS_KEPT
        if excess <= 0:
            return
        by_weight = sorted(
            self._records.values(),
            key=lambda r: (r.held_s is not None, len(r.crashes), r.last_s),
        )
        for record in by_weight[:excess]:
            del self._records[record.content.digest]

    def _change(
        self, record: _Record, state: QuarantineState, reason: str
    ) -> QuarantineChange:
        if record.held_s is None:
            return QuarantineChange(
                record.content, state, record.newest_crashes, reason
            )
        return QuarantineChange(
            record.content,
            state,
            record.newest_crashes,
            reason,
            was_held=True,
            held_s=record.held_s,
            holds=record.holds,
            until_s=record.held_until_s,
        )
