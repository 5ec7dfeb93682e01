"""What is known of all contents, and what speaks against one of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from railfold._internal.decisions.quarantine.contents import Crash
from railfold._internal.decisions.quarantine.likelihood import (
    RunAtEnd,
    Suspect,
    likelihoods,
)
from railfold._internal.decisions.quarantine.record import (
    SAME_MOMENT_S,
    ContentRecord,
)

__all__ = ["CONTENTS_KEPT", "CRASHES_TO_SUSPECT", "Evidence"]

# So many servers may end under a request before it is on probation. Two are as many as
# a single attempt of a client may cost with its entry's own retry, and as an innocent
# request meets that goes from one failing server to the next.
CRASHES_TO_SUSPECT = 3

# Bounds of memory: contents, some 2 KB each at most, and when others ran well.
CONTENTS_KEPT = 1000
_SUCCESSES_KEPT = 4096


@dataclass(slots=True)
class Evidence:
    """Contents under which servers ended, and when contents ran well.

    :param records: by digest.
    :param success_at_s: when contents ran well, or were cleared, last: crashes before
        that count no more, however late they are reported.
    """

    records: dict[str, ContentRecord] = field(default_factory=dict)
    success_at_s: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _likelihoods: dict[str, dict[str, float]] = field(default_factory=dict)

    def others(self, record: ContentRecord) -> Iterator[ContentRecord]:
        """Return all records but this one."""
        return (other for other in self.records.values() if other is not record)

    def last_success_s(self, digest: str) -> float:
        """Return when a content ran well last, or was cleared; long ago if never."""
        return self.success_at_s.get(digest, float("-inf"))

    def has_succeeded(self, record: ContentRecord) -> bool:
        """Return whether a content ran well, as far as is remembered."""
        return record.content.digest in self.success_at_s

    def record_success(self, digest: str, at_s: float) -> None:
        """A content ran well, or was cleared."""
        self.changed()
        self.success_at_s[digest] = at_s
        self.success_at_s.move_to_end(digest)
        while len(self.success_at_s) > _SUCCESSES_KEPT:
            self.success_at_s.popitem(last=False)

    def bound(self) -> None:
        """Forget those that few servers ended under, the longest ago, if too many."""
        excess = len(self.records) - CONTENTS_KEPT
        if excess <= 0:
            return
        by_weight = sorted(
            self.records.values(),
            key=lambda r: (r.held_s is not None, len(r.crashes), r.last_s),
        )
        for record in by_weight[:excess]:
            del self.records[record.content.digest]

    # The verdict

    def counted(self, record: ContentRecord, *, proved: bool = True) -> list[Crash]:
        """Return the crashes that count.

        :param proved: whether only those explain them that are proved to end servers,
            or all that are held back.
        """
        explained = {
            server_id
            for other in self.others(record)
            if other.proved or (other.held_s is not None and not proved)
            for server_id in other.crashes
        }
        return record.counted(explained, self.last_success_s(record.content.digest))

    def is_suspect(self, record: ContentRecord) -> bool:
        """Return whether so many servers ended that a content is suspect."""
        return len(self.counted(record)) >= CRASHES_TO_SUSPECT

    def likelihood(self, record: ContentRecord) -> float:
        """Return how likely a content ends servers; 0 if one has ended under it."""
        service = record.content.service
        if service not in self._likelihoods:
            self._likelihoods[service] = likelihoods(self._suspects(service))
        return self._likelihoods[service].get(record.content.digest, 0.0)

    def changed(self) -> None:
        """Weigh anew: something of a record has changed."""
        self._likelihoods.clear()

    def _suspects(self, service: str) -> list[Suspect]:
        records = [
            record
            for record in self.records.values()
            if record.content.service == service and record.crashes
        ]
        crashes = [crash for r in records for crash in r.crashes.values()]
        ends = _number_ends(crashes)
        streams = any(crash.silent for crash in crashes)
        return [self._suspect(record, ends, streams=streams) for record in records]

    def _suspect(
        self, record: ContentRecord, ends: dict[str, int], *, streams: bool
    ) -> Suspect:
        runs: dict[int, RunAtEnd] = {}
        on_trial = record.crashes_on_trial
        # Without those of a popular content that end together for one cause.
        independent = record.counted(
            frozenset(), self.last_success_s(record.content.digest)
        )
        for crash in independent:
            end = ends[crash.server_id]
            alone = not record.ran_side_by_side or crash.server_id in on_trial
            silent = crash.silent if streams else None
            known = runs.get(end)
            if known is not None and known.silent is False:
                silent = False  # Of servers that ended together, one with events tells.
            runs[end] = RunAtEnd(silent, alone)
        return Suspect(
            record.content.digest,
            runs,
            has_succeeded=self.has_succeeded(record),
            ran_side_by_side=record.ran_side_by_side,
            proved=record.proved,
        )


def _number_ends(crashes: Iterable[Crash]) -> dict[str, int]:
    """Return a number for each server's end; those of one moment have the same."""
    numbers: dict[str, int] = {}
    number, last_ended_s = 0, float("-inf")
    for crash in sorted(crashes, key=lambda c: (c.ended_s, c.server_id)):
        if crash.server_id in numbers:
            continue
        if crash.ended_s - last_ended_s > SAME_MOMENT_S:
            number += 1
        last_ended_s = crash.ended_s
        numbers[crash.server_id] = number
    return numbers
