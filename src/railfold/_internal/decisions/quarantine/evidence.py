"""What is known of all contents, and what speaks against one of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from railfold._internal.decisions.quarantine.contents import Crash
from railfold._internal.decisions.quarantine.record import ContentRecord

__all__ = ["CONTENTS_KEPT", "CRASHES_TO_DOUBT", "Evidence"]

# So many servers may end under a request before it is on probation. Two are as many as
# a single attempt of a client may cost with its entry's own retry, and as an innocent
# request meets that goes from one failing server to the next.
CRASHES_TO_DOUBT = 3

# So many trials that end their server prove it of a content that ran well before: one
# of them may be due to another content that nobody suspects yet.
_PROOFS_IF_WELL = 2.0

# Bounds of memory: contents, some 2 KB each at most, and when others ran well.
CONTENTS_KEPT = 1000
_WELL_KEPT = 4096


@dataclass(slots=True)
class Evidence:
    """Contents under which servers ended, and when contents ran well.

    :param records: by digest.
    :param well_at_s: when contents ran well, or were let go, last: crashes before that
        count no more, however late they are told.
    """

    records: dict[str, ContentRecord] = field(default_factory=dict)
    well_at_s: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def others(self, record: ContentRecord) -> Iterator[ContentRecord]:
        """Return all records but this one."""
        return (other for other in self.records.values() if other is not record)

    def well_s(self, digest: str) -> float:
        """Return when a content ran well last, or was let go; long ago if never."""
        return self.well_at_s.get(digest, float("-inf"))

    def ever_ran_well(self, record: ContentRecord) -> bool:
        """Return whether a content ran well, as far as is remembered."""
        return record.content.digest in self.well_at_s

    def note_well(self, digest: str, at_s: float) -> None:
        """A content ran well, or was let go."""
        self.well_at_s[digest] = at_s
        self.well_at_s.move_to_end(digest)
        while len(self.well_at_s) > _WELL_KEPT:
            self.well_at_s.popitem(last=False)

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
            if other.held_s is not None and (other.proofs or not proved)
            for server_id in other.crashes
        }
        return record.counted(explained, self.well_s(record.content.digest))

    def gives_doubt(self, record: ContentRecord) -> bool:
        """Return whether so many servers ended that a content is doubted."""
        return len(self.counted(record)) >= CRASHES_TO_DOUBT

    def proves(self, record: ContentRecord) -> bool:
        """Return whether enough trials of a content ended their server; note them.

        One is enough for a content that never ran well. One under whose server
        another content was that is doubted too says nothing; half as much, if
        another one was there under which another server has ended.
        """
        for server_id in record.crashes_on_trial:
            also_there = [o for o in self.others(record) if server_id in o.crashes]
            if not any(other.doubted for other in also_there):
                ends = max((len(other.crashes) for other in also_there), default=0)
                record.proofs[server_id] = 1.0 if ends <= 1 else 0.5
        needed = _PROOFS_IF_WELL if self.ever_ran_well(record) else 1.0
        return bool(record.proofs) and sum(record.proofs.values()) >= needed

    def leaves_only(self, record: ContentRecord) -> bool:
        """Return whether nothing but this content explains its crashes.

        It ran at one server after the other, or never brought an event, and no other
        content of that kind was under all of them. Those that ended under one that is
        held back don't count. Innocent streams that many clients send run side by side,
        and have mostly brought events when their servers end.
        """
        if self.ever_ran_well(record):
            return False
        if record.ran_side_by_side and not record.always_silent:
            return False
        servers = {crash.server_id for crash in self.counted(record, proved=False)}
        if len(servers) < CRASHES_TO_DOUBT:
            return False
        return not any(
            servers <= other.crashes.keys()
            for other in self.others(record)
            if not self.ever_ran_well(other)
            and (other.always_silent or not record.always_silent)
        )
