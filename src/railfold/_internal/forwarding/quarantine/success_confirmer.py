"""Confirms to other entries that a content which they suspect succeeds here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from railfold._internal.decisions.quarantine import Quarantine
from railfold._internal.forwarding.peers.peer_messages import (
    PeerMessage,
    SuccessNotice,
)
from railfold._internal.forwarding.quarantine.crash_notices import age_ms

__all__ = ["SuccessConfirmer"]

# A content that succeeded here within this time is confirmed when others suspect it.
# The random delay before that is short, so that the content isn't restricted for long.
# An entry that received a confirmation within the interval sends none, so that only few
# of many entries do.
_RECENT_SUCCESS_S = 60.0
_MAX_CONFIRM_DELAY_S = 0.1
_CONFIRM_INTERVAL_S = 1.0


class SuccessConfirmer:
    """Confirms successes of contents, unless another entry has just done so.

    :param announce: sends a message to the other entries.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        rng: Random,
        announce: Callable[[PeerMessage], None],
    ) -> None:
        self._quarantine = quarantine
        self._rng = rng
        self._announce = announce
        self._loop = asyncio.get_running_loop()
        # When this or another entry last announced a success of each content.
        self._announced_at_s: dict[str, float] = {}

    def suspected_elsewhere(self, digest: str, now_s: float) -> None:
        """Confirm a content that another entry suspects, if it succeeded recently.

        The confirmation follows after a random delay, in which another entry may send
        it.
        """
        if now_s - self._quarantine.last_success_s(digest) < _RECENT_SUCCESS_S:
            delay_s = _MAX_CONFIRM_DELAY_S * self._rng.random()
            self._loop.call_later(delay_s, self._confirm, digest)

    def confirmed_elsewhere(self, digest: str, now_s: float) -> None:
        """Record that another entry announced a success of a content."""
        self._announced_at_s[digest] = now_s

    def expire(self, now_s: float) -> None:
        """Forget announcements that are too old to matter."""
        since_s = now_s - _CONFIRM_INTERVAL_S
        self._announced_at_s = {
            digest: at_s
            for digest, at_s in self._announced_at_s.items()
            if at_s > since_s
        }

    def _confirm(self, digest: str) -> None:
        now_s = self._loop.time()
        if (
            now_s - self._announced_at_s.get(digest, float("-inf"))
            < _CONFIRM_INTERVAL_S
        ):
            return
        self._announced_at_s[digest] = now_s
        ago_ms = age_ms(now_s, self._quarantine.last_success_s(digest))
        self._announce(SuccessNotice(digest, ago_ms))
