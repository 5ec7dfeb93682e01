"""Reloads the settings on SIGHUP and when their file changes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from railfold._internal.errors import SettingsError
from railfold._internal.forwarding.settings import ForwardingSettings
from railfold._internal.forwarding.settings_source import SettingsSource
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import SettingsReloaded

__all__ = ["SettingsWatcher"]

# How often the file is checked for changes.
_CHECK_INTERVAL_S = 1.0


class SettingsWatcher:
    """Child that reloads the settings.

    If the file has any fault, none of it is applied and the previous settings stay in
    force.

    :param on_settings: called with the new settings.
    """

    def __init__(
        self,
        source: SettingsSource,
        on_settings: Callable[[ForwardingSettings], None],
        log: DecisionLog,
    ) -> None:
        self._source = source
        self._on_settings = on_settings
        self._log = log
        self._reload_requested = asyncio.Event()

    async def run(self, ready: asyncio.Event) -> None:
        """Watch for changes until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        ready.set()
        try:
            while True:
                requested = await self._wait_for_request()
                if requested or self._source.stamp() != self._source.loaded_stamp:
                    self._reload()
        finally:
            # The default action would end a process that is being stopped.
            loop.add_signal_handler(signal.SIGHUP, _ignore_signal)

    async def _wait_for_request(self) -> bool:
        """Wait for a signal or the next check; return whether a signal arrived."""
        try:
            await asyncio.wait_for(self._reload_requested.wait(), _CHECK_INTERVAL_S)
        except TimeoutError:
            return False
        self._reload_requested.clear()
        return True

    def _reload(self) -> None:
        try:
            settings = self._source.load()
        except SettingsError as error:
            self._log.write(SettingsReloaded(f"refused: {error.why}"))
            return
        self._on_settings(settings)
        self._log.write(SettingsReloaded("in force"))


def _ignore_signal() -> None:
    """Do nothing."""
