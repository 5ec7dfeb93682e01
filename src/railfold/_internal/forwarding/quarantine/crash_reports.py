"""Compares other entries' reports of crashes with the servers' registrations."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from railfold._internal.decisions.engine_directory import EngineDirectory
from railfold._internal.decisions.quarantine import UNKNOWN_VERSION
from railfold._internal.forwarding.quarantine.crash_watch import without_restart_count

__all__ = ["CrashReports"]

# How long after a report of a crash the server's registration must have lapsed.
# Registrations lapse after 3.6 s without a heartbeat, and are read every 2.8 s or more
# often.
_CONTRADICTION_DELAY_S = 10.0

# The maximum number of servers whose versions are remembered after they have left.
_MAX_VERSIONS = 4096


class CrashReports:
    """Versions of servers, and crash reports that registrations may contradict."""

    def __init__(self, directory: EngineDirectory) -> None:
        self._directory = directory
        # Versions by server, including servers that have left.
        self._versions: OrderedDict[str, str] = OrderedDict()
        # When other entries first reported the crash of each server.
        self._reported_at_s: dict[str, float] = {}

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
