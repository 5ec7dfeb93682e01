"""Interface between an agent's links and its backend server.

A backend server is a model engine or a plain service.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from railfold._internal.core import Loaded
from railfold._internal.links.connection import Link
from railfold._internal.links.messages import Frame

__all__ = ["Backend", "BackendReport"]


@dataclass(frozen=True, slots=True)
class BackendReport:
    """State of a backend server, which the agent reports to entries.

    :param running: number of open sequences or running calls.
    :param capacity: the most sequences or calls at a time.
    :param step_ms: recent mean duration of an engine step or a call.
    :param loaded: model layers that an engine has loaded.
    :param services: names of the plain services that it provides.
    """

    available: bool
    running: int
    capacity: int
    step_ms: float
    loaded: tuple[Loaded, ...] = ()
    services: tuple[str, ...] = ()


class Backend(Protocol):
    """One backend server, as the agent's links use it."""

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Process a frame from an entry or another agent."""

    def owner_lost(self, owner: str) -> None:
        """Cancel the work of an entry whose link is closed, as far as possible."""

    def owned_by(self, owner: str) -> int:
        """Return how many of the open sequences or running calls an entry owns."""

    def set_draining(self) -> None:
        """Refuse new work from now on, and finish the work in flight."""

    def report(self) -> BackendReport:
        """Return the state to report to entries."""

    def stalled(self) -> bool:
        """Return whether a step is running and takes far longer than recent ones."""
