"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Moves the time on where another one would wait."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready now."""
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Plays hours in milliseconds."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the time that was played."""
        return self._virtual_selector.now_s


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a loop of its own."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
