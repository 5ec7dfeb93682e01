"""What an agent does with its backend server, engine or plain service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from railfold._internal.core import Loaded
from railfold._internal.links.connection import Link
from railfold._internal.links.messages import Frame

__all__ = ["Backend", "BackendReport"]


@dataclass(frozen=True, slots=True)
class BackendReport:
    """What the agent tells entries of its backend server.

    :param running: sequences or calls it has now.
    """

    available: bool
    running: int
    capacity: int
    step_ms: float
    loaded: tuple[Loaded, ...] = ()
    services: tuple[str, ...] = ()


class Backend(Protocol):
    """One backend server, as the agent's links drive it."""

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Take a frame from an entry or another agent."""

    def owner_lost(self, owner: str) -> None:
        """An entry's link ended: cancel what it had here."""

    def owned_by(self, owner: str) -> int:
        """Return how much of what runs here is an entry's."""

    def set_draining(self) -> None:
        """Refuse new work from now on; finish what is here."""

    def report(self) -> BackendReport:
        """Return what to tell entries."""

    def stalled(self) -> bool:
        """Return whether the running step is stalled."""
