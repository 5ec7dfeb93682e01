"""Limiting what is sent to backend servers that refuse work.

One that is full, is leaving or gave layers up refuses what it is sent, and says that
it wasn't run. Each such refusal costs a retry. A full one goes on serving what it has,
so that a refusal doesn't close it: from then on it holds no more than it held when it
refused. A new request goes there when another one has ended, or when some time has
passed; more time each time it refuses again.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Avoidance"]

# The time after which a server that refused is tried with one request more: first,
# and at most. Engines' memory is freed by a request every few tens of milliseconds,
# one that is leaving doesn't come back for seconds.
_FIRST_INTERVAL_S = 0.25
_MAX_INTERVAL_S = 2.0

# Refusals further apart are unrelated: the next one counts as the first.
_RESET_AFTER_S = 5.0


@dataclass(slots=True)
class _Refusals:
    """Refusals of one server, and what they allow.

    :param load: what it held when it refused last.
    :param request_load: the load of the request that it refused.
    :param interval_s: time after which it may hold one such request more.
    :param avoided_until_s: until when it gets nothing, whatever it holds.
    """

    count: int = 0
    last_refusal_s: float = float("-inf")
    load: int = 0
    request_load: int = 1
    interval_s: float = 0.0
    avoided_until_s: float = float("-inf")

    def allowed_load(self, now_s: float) -> float:
        """Return what it may hold now."""
        age_s = now_s - self.last_refusal_s
        if self.count == 0 or age_s > _RESET_AFTER_S:
            return float("inf")
        return self.load + self.request_load * age_s / self.interval_s


class Avoidance:
    """Which backend servers to leave out of new chains now.

    Loads are this entry's own, in whatever unit the caller counts them.
    """

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusals] = {}

    def record_refusal(
        self, server_id: str, now_s: float, load: int = 0, request_load: int = 1
    ) -> None:
        """It refused work; refusals of many requests at once count once.

        :param load: what it holds without the refused request.
        :param request_load: the load of that request.
        """
        refusals = self._refusals.setdefault(server_id, _Refusals())
        age_s = now_s - refusals.last_refusal_s
        if refusals.count and age_s < refusals.interval_s:
            refusals.load = min(refusals.load, load)
            return
        if age_s > _RESET_AFTER_S:
            refusals.count = 0
        refusals.count += 1
        refusals.last_refusal_s = now_s
        refusals.load = load
        refusals.request_load = max(1, request_load)
        refusals.interval_s = min(
            _MAX_INTERVAL_S, _FIRST_INTERVAL_S * 2 ** (refusals.count - 1)
        )

    def avoid(self, server_id: str, until_s: float) -> None:
        """Leave it out until then, whatever it holds."""
        refusals = self._refusals.setdefault(server_id, _Refusals())
        refusals.avoided_until_s = max(refusals.avoided_until_s, until_s)

    def readmit(self, server_id: str) -> None:
        """It holds other layers now: what was left out for those may get work."""
        refusals = self._refusals.get(server_id)
        if refusals is not None:
            refusals.avoided_until_s = float("-inf")

    def is_avoided(self, server_id: str, now_s: float, load: int = 0) -> bool:
        """Return whether to leave it out now, holding ``load``."""
        refusals = self._refusals.get(server_id)
        if refusals is None:
            return False
        if now_s < refusals.avoided_until_s:
            return True
        return load + refusals.request_load > refusals.allowed_load(now_s)

    def forget(self, known_ids: set[str]) -> None:
        """Forget all backend servers but these."""
        for server_id in set(self._refusals) - known_ids:
            del self._refusals[server_id]
