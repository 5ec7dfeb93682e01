"""Publication of configuration changes, and reads of the configuration.

A change counts as accepted only after it was read back at its offset and applied. If
the answer to an append is lost, the log is searched for the write id of the change. A
change is never appended again while the outcome of the first append is unknown.
"""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from dataclasses import dataclass
from typing import Any

import msgspec

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.configuration.scanner import ConfigurationScanner
from railfold._internal.decisions.backoff import Backoff
from railfold._internal.decisions.configuration import (
    AuditEntry,
    AuditVerdict,
    ChangeRecord,
    Configuration,
    ObjectId,
)
from railfold._internal.errors import (
    ConfigurationConflictError,
    ConfigurationRefusedError,
    LogUnavailableError,
    RecordsExpiredError,
    WriteUnsettledError,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.log import LogClient

__all__ = ["Change", "ConfigurationLog", "raise_for_verdict"]


@dataclass(frozen=True, slots=True)
class Change:
    """A change to publish.

    :param base_version: the version of the object that the change is based on; None
        stands for the current version.
    :param body: the new body of the object; None deletes the object.
    """

    target: ObjectId
    operator: str
    body: dict[str, Any] | None
    base_version: int | None = None


class ConfigurationLog:
    """The configuration stream, for use by an operator's command."""

    def __init__(self, log: LogClient, stream: str) -> None:
        self._log = log
        self._stream = stream
        metrics = Metrics()
        self._replica = ConfigurationReplica(metrics, on_change=lambda: None)
        self._scanner = ConfigurationScanner(self._replica, metrics)
        self._backoff = Backoff()

    @property
    def configuration(self) -> Configuration:
        """The configuration up to the last record that was read."""
        return self._replica.configuration

    async def read_all(self) -> Configuration:
        """Read the stream to its end and return the configuration.

        :raises LogUnavailableError: the log can't be read, or records have expired that
            no checkpoint covers.
        """
        while True:
            offset = self._scanner.next_offset()
            try:
                page = await self._log.read(self._stream, offset, 0.0)
            except RecordsExpiredError:
                first_page = await self._log.read(self._stream, -1, 0.0)
                self._scanner.expired(first_page.first_offset)
                continue
            for record in page.records:
                self._scanner.record(record)
            if self._scanner.next_offset() < page.next_offset:
                continue
            if self._scanner.in_gap:
                raise LogUnavailableError(
                    "the configuration can't be read from the log",
                    why="old records have expired and there is no checkpoint yet",
                    hint="entries write one soon; see docs/operations/configuration.md",
                )
            return self.configuration

    async def publish(self, change: Change, timeout_s: float) -> AuditEntry:
        """Publish a change and return its audit entry, with the verdict.

        :raises ConfigurationRefusedError: the change is invalid; nothing was appended.
        :raises LogUnavailableError: the log refused the change; nothing was appended.
        :raises WriteUnsettledError: it isn't known whether the change was appended.
        """
        configuration = await self.read_all()
        configuration.check(change.target, change.body)
        stored_object = configuration.objects.get(change.target)
        current_version = stored_object.version if stored_object else 0
        record = ChangeRecord(
            write_id=uuid.uuid4().hex,
            operator=change.operator,
            kind=change.target.kind,
            name=change.target.name,
            base_version=current_version
            if change.base_version is None
            else change.base_version,
            body=change.body,
        )
        with contextlib.suppress(WriteUnsettledError):  # settle() finds out.
            await self._log.append(self._stream, [msgspec.to_builtins(record)])
        return await self.settle(record.write_id, timeout_s)

    async def settle(self, write_id: str, timeout_s: float) -> AuditEntry:
        """Return the audit entry of the change with ``write_id``.

        Reads the log with retries until ``timeout_s`` has passed.

        :raises WriteUnsettledError: the change wasn't found in the log, or the log
            couldn't be read.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        failures = 0
        while True:
            with contextlib.suppress(LogUnavailableError):
                await self.read_all()
            entry = self._find_audit_entry(write_id)
            if entry is not None:
                return entry
            failures += 1
            if loop.time() >= deadline_s:
                raise _unsettled_error(write_id)
            await asyncio.sleep(self._backoff.delay_s(failures))

    def _find_audit_entry(self, write_id: str) -> AuditEntry | None:
        for entry in self.configuration.audit:
            if entry.write_id == write_id:
                return entry
        return None


def _unsettled_error(write_id: str) -> WriteUnsettledError:
    return WriteUnsettledError(
        "it isn't known whether the change was appended",
        why="the answer of the log was lost and the change can't be read back yet",
        hint=f"run 'railfold settle {write_id}' when the log answers again;"
        " publishing the change again with the same --base-version is safe, since"
        " only one of the two can be accepted",
    )


def raise_for_verdict(entry: AuditEntry) -> None:
    """Raise the error for the verdict of an audit entry, unless it was accepted.

    :raises ConfigurationConflictError: another change was accepted first.
    :raises ConfigurationRefusedError: the change is invalid.
    """
    match entry.verdict:
        case AuditVerdict.CONFLICT:
            raise ConfigurationConflictError(
                f"change of {entry.target} conflicts with another change",
                why="; ".join(entry.reasons),
                hint="see 'railfold diff', then publish a change of the new version",
            )
        case AuditVerdict.REFUSED | AuditVerdict.CHECKPOINT_REFUSED:
            raise ConfigurationRefusedError(entry.target, list(entry.reasons))
        case AuditVerdict.ACCEPTED:
            return
