"""What is known of all contents, and what speaks against one of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from railfold._internal.decisions.quarantine.content_record import (
    SIMULTANEOUS_S,
    ContentRecord,
)
from railfold._internal.decisions.quarantine.likelihood import (
    RunAtIncident,
    Suspect,
    fault_likelihoods,
)
from railfold._internal.decisions.quarantine.models import Crash

__all__ = ["CRASHES_TO_SUSPECT", "MAX_CONTENTS", "Evidence"]

# So many servers may end under a request before it is on probation. Two are as many as
# a single attempt of a client may cost with its entry's own retry, and as an innocent
# request meets that goes from one failing server to the next.
CRASHES_TO_SUSPECT = 3

# Bounds of memory: contents, some 2 KB each at most, and when others ran well.
MAX_CONTENTS = 1000
_MAX_SUCCESSES = 4096


@dataclass(slots=True)
class Evidence:
    """Contents under which servers ended, and when contents ran well.

    :param records: by digest.
    :param success_at_s: when contents ran well, or were cleared, last: crashes before
        that count no more, however late they are reported.
    """

    records: dict[str, ContentRecord] = field(default_factory=dict)
    last_successes_s: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _likelihood_cache: dict[str, dict[str, float]] = field(default_factory=dict)

    def other_records(self, record: ContentRecord) -> Iterator[ContentRecord]:
        """Return all records but this one."""
        return (other for other in self.records.values() if other is not record)

    def last_success_s(self, digest: str) -> float:
        """Return when a content ran well last, or was cleared; long ago if never."""
        return self.last_successes_s.get(digest, float("-inf"))

    def has_succeeded(self, record: ContentRecord) -> bool:
        """Return whether a content ran well, as far as is remembered."""
        return record.content.digest in self.last_successes_s

    def record_success(self, digest: str, at_s: float) -> None:
        """A content ran well, or was cleared."""
        self.invalidate_likelihoods()
        self.last_successes_s[digest] = at_s
        self.last_successes_s.move_to_end(digest)
        while len(self.last_successes_s) > _MAX_SUCCESSES:
            self.last_successes_s.popitem(last=False)

    def evict_excess(self) -> None:
        """Forget those that few servers ended under, the longest ago, if too many."""
        excess = len(self.records) - MAX_CONTENTS
        if excess <= 0:
            return
        least_important_first = sorted(
            self.records.values(),
            key=lambda r: (
                r.held_since_s is not None,
                len(r.crashes),
                r.last_updated_s,
            ),
        )
        for record in least_important_first[:excess]:
            del self.records[record.content.digest]

    # The verdict

    def counted_crashes(
        self, record: ContentRecord, *, only_proven: bool = True
    ) -> list[Crash]:
        """Return the crashes that count.

        :param only_proven: whether only those explain them that are proved to end
            servers, or all that are held back.
        """
        explained_server_ids = {
            server_id
            for other in self.other_records(record)
            if other.is_proven or (other.held_since_s is not None and not only_proven)
            for server_id in other.crashes
        }
        return record.counted_crashes(
            explained_server_ids, self.last_success_s(record.content.digest)
        )

    def is_suspect(self, record: ContentRecord) -> bool:
        """Return whether so many servers ended that a content is suspect."""
        return len(self.counted_crashes(record)) >= CRASHES_TO_SUSPECT

    def likelihood(self, record: ContentRecord) -> float:
        """Return how likely a content ends servers; 0 if one has ended under it."""
        service = record.content.service
        if service not in self._likelihood_cache:
            self._likelihood_cache[service] = fault_likelihoods(
                self._build_suspects(service)
            )
        return self._likelihood_cache[service].get(record.content.digest, 0.0)

    def invalidate_likelihoods(self) -> None:
        """Weigh anew: something of a record has changed."""
        self._likelihood_cache.clear()

    def _build_suspects(self, service: str) -> list[Suspect]:
        records = [
            record
            for record in self.records.values()
            if record.content.service == service and record.crashes
        ]
        crashes = [crash for r in records for crash in r.crashes.values()]
        incidents = _number_incidents(crashes)
        has_streams = any(crash.silent for crash in crashes)
        return [
            self._build_suspect(record, incidents, has_streams=has_streams)
            for record in records
        ]

    def _build_suspect(
        self, record: ContentRecord, incidents: dict[str, int], *, has_streams: bool
    ) -> Suspect:
        runs: dict[int, RunAtIncident] = {}
        on_trial = record.trial_crash_server_ids
        # Without those of a popular content that end together for one cause.
        independent_crashes = record.counted_crashes(
            frozenset(), self.last_success_s(record.content.digest)
        )
        for crash in independent_crashes:
            incident = incidents[crash.server_id]
            one_at_a_time = not record.ran_concurrently or crash.server_id in on_trial
            silent = crash.silent if has_streams else None
            known_run = runs.get(incident)
            if known_run is not None and known_run.silent is False:
                silent = False  # Of servers that ended together, one with events tells.
            runs[incident] = RunAtIncident(silent, one_at_a_time)
        return Suspect(
            record.content.digest,
            runs,
            has_succeeded=self.has_succeeded(record),
            ran_concurrently=record.ran_concurrently,
            is_proven=record.is_proven,
        )


def _number_incidents(crashes: Iterable[Crash]) -> dict[str, int]:
    """Return a number for each server's end; those of one moment have the same."""
    numbers: dict[str, int] = {}
    number, last_ended_s = 0, float("-inf")
    for crash in sorted(crashes, key=lambda c: (c.ended_s, c.server_id)):
        if crash.server_id in numbers:
            continue
        if crash.ended_s - last_ended_s > SIMULTANEOUS_S:
            number += 1
        last_ended_s = crash.ended_s
        numbers[crash.server_id] = number
    return numbers
