"""A settings file that may change while the process runs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from railfold._internal.forwarding.settings import ForwardingSettings

__all__ = ["SettingsSource"]


class SettingsSource:
    """A settings file and how to read it.

    Made before the file is first read: ``loaded_stamp`` is the file's stamp right
    before it was last read.
    """

    def __init__(self, path: Path, load: Callable[[Path], ForwardingSettings]) -> None:
        self._path = path
        self._load = load
        self.loaded_stamp = self.stamp()

    def stamp(self) -> tuple[int, int]:
        """Return what changes with the file; zeros if it can't be looked at."""
        try:
            status = self._path.stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def load(self) -> ForwardingSettings:
        """Return the settings as they are now.

        :raises SettingsError: the file has faults.
        """
        # Before the file is read, so that a change meanwhile is seen later.
        self.loaded_stamp = self.stamp()
        return self._load(self._path)
