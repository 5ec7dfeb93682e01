"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the events that are ready now, without waiting."""
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in virtual time: hours pass in milliseconds."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a new virtual-time loop; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
