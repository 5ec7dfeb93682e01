"""Access to a settings file that may change while the process runs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from railfold._internal.forwarding.settings import ForwardingSettings

__all__ = ["SettingsSource"]


class SettingsSource:
    """A settings file and the function that loads it.

    ``loaded_stamp`` is the file's stamp from immediately before it was last loaded. An
    instance must be created before the file is loaded for the first time.
    """

    def __init__(self, path: Path, load: Callable[[Path], ForwardingSettings]) -> None:
        self._path = path
        self._load = load
        self.loaded_stamp = self.stamp()

    def stamp(self) -> tuple[int, int]:
        """Return the file's modification time in ns and size in bytes, or zeros."""
        try:
            status = self._path.stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def load(self) -> ForwardingSettings:
        """Load the current settings.

        :raises SettingsError: the file has faults.
        """
        # Taken before the file is read, so that a change during the read is noticed.
        self.loaded_stamp = self.stamp()
        return self._load(self._path)
