"""Compares reports of crashes, and lapses, with the servers' later registrations."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from railfold._internal.decisions.engine_directory import (
    DirectoryEntry,
    EngineDirectory,
)
from railfold._internal.decisions.quarantine import UNKNOWN_VERSION
from railfold._internal.forwarding.quarantine.crash_watch import without_restart_count

__all__ = ["CrashReports"]

# How long after a report of a crash the server's registration must have lapsed.
# Registrations lapse after 3.6 s without a heartbeat, and are read every 2.8 s or more
# often.
_CONTRADICTION_DELAY_S = 10.0

# The maximum number of servers whose versions are remembered after they have left.
_MAX_VERSIONS = 4096

# The maximum number of servers without a registration that are remembered.
_MAX_LAPSED = 512


class CrashReports:
    """Versions of servers, and crash reports that registrations may contradict."""

    def __init__(self, directory: EngineDirectory) -> None:
        self._directory = directory
        # Versions by server, including servers that have left.
        self._versions: OrderedDict[str, str] = OrderedDict()
        # When other entries first reported the crash of each server.
        self._reported_at_s: dict[str, float] = {}
        # Under which ids the crashes of servers without a registration were recorded.
        self._crash_ids: OrderedDict[str, str] = OrderedDict()

    def version_of(self, server_id: str) -> str:
        """Return the version of a server, which may have left."""
        name = without_restart_count(server_id)
        entry = self._directory.get(name)
        if entry is not None:
            return entry.registration.version
        return self._versions.get(name, UNKNOWN_VERSION)

    def record(self, server_ids: Iterable[str], now_s: float) -> None:
        """Record another entry's report that servers have crashed."""
        for server_id in server_ids:
            self._reported_at_s.setdefault(server_id, now_s)

    def record_lapse(self, entry: DirectoryEntry, crash_id: str) -> None:
        """Record that a server's registration is gone, which counts as its crash.

        :param crash_id: the id under which the crash was recorded.
        """
        if entry.registration.started_at_ms is None:
            return  # Nothing would tell the server from its next incarnation.
        self._crash_ids[entry.server_id] = crash_id
        if len(self._crash_ids) > _MAX_LAPSED:
            self._crash_ids.popitem(last=False)

    def pop_returned(self) -> dict[str, str]:
        """Return the servers whose registrations lapsed and are back.

        They missed heartbeats and didn't crash. The values are the ids under which
        their crashes were recorded.
        """
        returned = {
            server_id: crash_id
            for server_id, crash_id in self._crash_ids.items()
            if self._directory.get(server_id) is not None
        }
        for server_id in returned:
            del self._crash_ids[server_id]
        return returned

    def record_versions(self) -> None:
        """Remember the versions of the servers that are registered now."""
        for entry in self._directory:
            if entry.server_id not in self._versions:
                self._versions[entry.server_id] = entry.registration.version
        while len(self._versions) > _MAX_VERSIONS:
            self._versions.popitem(last=False)

    def pop_contradicted(self, now_s: float) -> list[str]:
        """Return the servers that still run long after their reported crash.

        The reports that are old enough to be judged are removed.
        """
        due = [
            server_id
            for server_id, reported_at_s in self._reported_at_s.items()
            if now_s - reported_at_s >= _CONTRADICTION_DELAY_S
        ]
        for server_id in due:
            del self._reported_at_s[server_id]
        return [server_id for server_id in due if self._is_running(server_id)]

    def _is_running(self, server_id: str) -> bool:
        entry = self._directory.get(server_id)
        return entry is not None and entry.routable
