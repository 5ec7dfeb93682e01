"""Runs a forwarding entry to which each request costs a known time.

Usage: ``python -m tests.lib.slow_entry COST_MS PAUSE_MS SETTINGS``. The entry's event
loop is blocked for that time, as on a host with a part of a core; the machine stays
idle. Once a second, the loop is also blocked for the pause.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from railfold._internal.commands.forward import forward
from railfold._internal.supervision.supervisor import Supervisor

__all__ = ["pause_regularly", "slow_down"]

_PAUSE_INTERVAL_S = 1.0


def slow_down(cost_s: float) -> None:
    """Make each request cost ``cost_s`` in all entries of this process."""
    from railfold._internal.forwarding.process import ForwardingEntry

    handle_request = ForwardingEntry.handle_request

    def handle_slowly(self: ForwardingEntry, *request: Any) -> None:
        time.sleep(cost_s)
        handle_request(self, *request)

    ForwardingEntry.handle_request = handle_slowly  # type: ignore[method-assign]


def pause_regularly(pause_s: float) -> None:
    """Block the event loop of all entries of this process once a second."""
    from railfold._internal.forwarding.process import ForwardingEntry

    tree = ForwardingEntry.tree

    def pause(loop: asyncio.AbstractEventLoop) -> None:
        time.sleep(pause_s)
        loop.call_later(_PAUSE_INTERVAL_S, pause, loop)

    def tree_with_pauses(self: ForwardingEntry) -> Supervisor:
        pause(asyncio.get_running_loop())
        return tree(self)

    ForwardingEntry.tree = tree_with_pauses  # type: ignore[method-assign]


if __name__ == "__main__":
    slow_down(float(sys.argv[1]) / 1000.0)
    pause_regularly(float(sys.argv[2]) / 1000.0)
    forward.main([str(Path(sys.argv[3]))])
