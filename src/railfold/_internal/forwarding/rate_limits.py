"""What backend servers say of the rates that they take."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from absl import logging

from railfold._internal.decisions.rate_limits import (
    AdvertisedLimits,
    LimitChange,
    LimitEnded,
    LimitLapsed,
    LimitNamed,
    LimitUnreadable,
)
from railfold._internal.forwarding.dialect import Dialect
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import RateLimitChanged
from railfold._internal.observability.metrics import Metrics

__all__ = ["RateLimits"]

_OWN_WORD = "the server"


class RateLimits:
    """The limits of all servers, as this entry has heard them."""

    def __init__(self, dialect: Dialect, metrics: Metrics, log: DecisionLog) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._limits = AdvertisedLimits()
        # How many entries there are by the store's count.
        self.members = 1

    def heard(self, server_id: str, head: ResponseHead, sent_s: float) -> None:
        """Take the head of an answer to a request that was sent at ``sent_s``."""
        word = self._dialect.rate_limit(head)
        now_s = asyncio.get_running_loop().time()
        self._note(server_id, self._limits.heard(server_id, word, sent_s, now_s))

    def sent(self, server_ids: Iterable[str]) -> None:
        """Count a request that is sent to these servers."""
        if any(self._limits.per_s(s) is not None for s in server_ids):
            self._metrics.count("rate_limits.sends")

    def _note(self, server_id: str, change: LimitChange | None) -> None:
        match change:
            case None:
                return
            case LimitNamed():
                state, cause = "named", "its answers name a limit"
            case LimitEnded():
                state, cause = "ended", "its answers name no limit any more"
            case LimitLapsed(unconfirmed_s=unconfirmed_s):
                state, cause = (
                    "lapsed",
                    f"nobody confirmed it for {unconfirmed_s:.1f} s",
                )
            case LimitUnreadable(text=text):
                state, cause = "unreadable", f"its answers name {text!r}"
                logging.warning("%s names a limit that is no rate: %r", server_id, text)
        per_s = self._limits.per_s(server_id)
        event = RateLimitChanged(
            server_id, state, cause, per_s, _OWN_WORD, self.members, per_s or 0.0
        )
        self._log.write(event)
        self._metrics.count(f"rate_limits.{state}")
        self._metrics.gauge("rate_limits.in_force", len(self._limits.in_force))
