"""Ending an attempt on suspicion, once its answer can go on elsewhere."""

from __future__ import annotations

import asyncio
from typing import Protocol

from railfold._internal.forwarding.requests.destination_search import (
    RESERVATION_INTERVAL_S,
)

__all__ = ["MovableAttempt", "Relocation"]


class MovableAttempt(Protocol):
    """The attempt under way of a request."""

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again."""

    @property
    def begun(self) -> bool:
        """Whether the client has a part of the answer."""

    def reserve_place(self) -> bool:
        """Reserve another place for the answer; return whether there is one."""

    def end_attempt(self, reason: str) -> None:
        """End it; the request goes to the place that is reserved, if there is one."""

    def attempt_kept(self, reason: str) -> None:
        """It goes on for now, although it was to be ended."""


class Relocation:
    """Moves one request's attempts, one after the other.

    An attempt goes on if only its own engine can finish it. That is so for a request
    that may not run again, and for an answer that has begun and couldn't go on
    elsewhere now. Its engine may send again, and its client leaves when it likes;
    nothing mends an answer that was cut.
    """

    def __init__(self, attempt: MovableAttempt) -> None:
        self._attempt = attempt
        self._loop = asyncio.get_running_loop()
        # Why its engine is given up, while its answer waits for another place.
        self._lost = ""
        self._kept = ""
        self._recheck: asyncio.TimerHandle | None = None

    def move(self, reason: str) -> None:
        """End the attempt on suspicion, if its answer can go on elsewhere."""
        attempt = self._attempt
        if not attempt.repeatable:
            return
        if attempt.begun and not attempt.reserve_place():
            self._keep(reason)
            return
        attempt.end_attempt(reason)

    def move_from_lost(self, reason: str) -> None:
        """The same of an engine that is lost: look for a place until there is one."""
        self._lost = reason
        self.move(reason)

    def _keep(self, reason: str) -> None:
        if reason != self._kept:
            self._kept = reason
            self._attempt.attempt_kept(reason)
        if self._lost and self._recheck is None:
            self._recheck = self._loop.call_later(
                RESERVATION_INTERVAL_S, self._move_again
            )

    def _move_again(self) -> None:
        self._recheck = None
        if self._lost:
            self.move(self._lost)

    def progressed(self) -> None:
        """The answer goes on: its engine isn't lost."""
        self._lost = self._kept = ""

    def clear(self) -> None:
        """The attempt has ended."""
        self.progressed()
        if self._recheck is not None:
            self._recheck.cancel()
            self._recheck = None
