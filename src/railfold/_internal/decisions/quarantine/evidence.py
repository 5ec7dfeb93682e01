"""Crashes and successes of all contents, and which crashes count against each."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from railfold._internal.decisions.quarantine.content_record import (
    SIMULTANEOUS_S,
    ContentRecord,
)
from railfold._internal.decisions.quarantine.likelihood import (
    FaultWeights,
    RunAtIncident,
    Suspect,
    fault_weights,
)
from railfold._internal.decisions.quarantine.models import Crash

__all__ = ["CRASHES_TO_SUSPECT", "MAX_CONTENTS", "Evidence"]

# A content goes on probation after this many crashes. Two can come from a single client
# attempt, because its entry retries once, and an innocent request can meet two crashes
# when it moves from one failing server to the next.
CRASHES_TO_SUSPECT = 3

# Limits memory: the number of contents with crashes (at most about 2 KB each), and of
# contents whose last success is remembered.
MAX_CONTENTS = 1000
_MAX_SUCCESSES = 16_384


@dataclass(slots=True)
class Evidence:
    """The contents that were running when servers crashed, and the last successes.

    :param records: the contents' records by digest.
    :param last_successes_s: when each content last succeeded or was cleared, by digest.
        Crashes before that don't count, however late they are reported.
    """

    records: dict[str, ContentRecord] = field(default_factory=dict)
    last_successes_s: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _likelihood_cache: dict[str, tuple[FaultWeights, dict[str, float]]] = field(
        default_factory=dict
    )

    def other_records(self, record: ContentRecord) -> Iterator[ContentRecord]:
        """Return all records except the given one."""
        return (other for other in self.records.values() if other is not record)

    def last_success_s(self, digest: str) -> float:
        """Return when a content last succeeded or was cleared; -inf if never."""
        return self.last_successes_s.get(digest, float("-inf"))

    def has_succeeded(self, record: ContentRecord) -> bool:
        """Return whether a success of the content is remembered."""
        return record.content.digest in self.last_successes_s

    def record_success(self, digest: str, at_s: float) -> None:
        """Record that a content succeeded or was cleared."""
        self.last_successes_s[digest] = at_s
        self.last_successes_s.move_to_end(digest)
        changed_digests = {digest}
        while len(self.last_successes_s) > _MAX_SUCCESSES:
            changed_digests.add(self.last_successes_s.popitem(last=False)[0])
        # Most successes are of contents without crashes.
        if not changed_digests.isdisjoint(self.records):
            self.invalidate_likelihoods()

    def evict_excess(self) -> None:
        """Delete the records above the limit.

        Contents that aren't held back, with few crashes and old updates, go first.
        """
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

    # Weighing the evidence

    def counted_crashes(
        self, record: ContentRecord, *, only_proven: bool = True
    ) -> list[Crash]:
        """Return the crashes that count as evidence against a content.

        :param only_proven: whether only contents that are proven to crash servers may
            explain crashes of this one, or all contents that are held back.
        """
        held_back = [r for r in self.records.values() if r.held_since_s is not None]
        explained_server_ids = {
            server_id
            for other in held_back
            if other is not record and (other.is_proven or not only_proven)
            for server_id in other.crashes
        }
        return record.counted_crashes(
            explained_server_ids, self.last_success_s(record.content.digest)
        )

    def is_suspect(self, record: ContentRecord) -> bool:
        """Return whether enough crashes count against a content to restrict it."""
        return (
            len(record.crashes) >= CRASHES_TO_SUSPECT
            and len(self.counted_crashes(record)) >= CRASHES_TO_SUSPECT
        )

    def likelihood(self, record: ContentRecord) -> float:
        """Return how likely a content crashes servers; 0 below two incidents."""
        _, likelihoods = self._fault_weights(record.content.service)
        return likelihoods.get(record.content.digest, 0.0)

    def any_likelihood(self, records: Iterable[ContentRecord]) -> float:
        """Return how likely at least one of several contents crashes servers."""
        digests_by_service: dict[str, set[str]] = {}
        for record in records:
            digests = digests_by_service.setdefault(record.content.service, set())
            digests.add(record.content.digest)
        return max(
            (
                self._fault_weights(service)[0].any_likelihood(digests)
                for service, digests in digests_by_service.items()
            ),
            default=0.0,
        )

    def _fault_weights(self, service: str) -> tuple[FaultWeights, dict[str, float]]:
        if service not in self._likelihood_cache:
            weights = fault_weights(self._build_suspects(service))
            self._likelihood_cache[service] = (weights, weights.likelihoods())
        return self._likelihood_cache[service]

    def invalidate_likelihoods(self) -> None:
        """Clear the cached likelihoods after a change of the evidence."""
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
        trial_crash_server_ids = record.trial_crash_server_ids
        # Without repeated crashes from one cause, as a popular content meets them.
        independent_crashes = record.counted_crashes(
            frozenset(), self.last_success_s(record.content.digest)
        )
        for crash in independent_crashes:
            incident = incidents[crash.server_id]
            one_at_a_time = (
                self._is_rarely_running(record)
                or crash.server_id in trial_crash_server_ids
            )
            silent = crash.silent if has_streams else None
            known_run = runs.get(incident)
            if known_run is not None and known_run.silent is False:
                silent = False  # One run with events overrides those without.
            runs[incident] = RunAtIncident(silent, one_at_a_time)
        return Suspect(
            record.content.digest,
            runs,
            has_succeeded=self.has_succeeded(record),
            ran_concurrently=record.ran_concurrently,
            is_proven=record.is_proven,
            is_prompt_part=record.content.is_prompt_part,
        )

    def _is_rarely_running(self, record: ContentRecord) -> bool:
        """Return whether a content is rarely at a crash with an unrelated cause.

        Several requests with a prompt part may run at once. If it never succeeded, they
        were all running at servers that crashed.
        """
        if record.content.is_prompt_part:
            return not self.has_succeeded(record)
        return not record.ran_concurrently


def _number_incidents(crashes: Iterable[Crash]) -> dict[str, int]:
    """Return the number of each crashed server's incident, by server ID.

    An incident is one crash, or several at the same moment.
    """
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
