"""Keeping work for a moment from backend servers that refuse it.

One that is full, is leaving or gave layers up refuses what it is sent, and says
that it wasn't run. Each such refusal costs a retry, so that after one the server
is left out of new chains for a while; for longer each time it refuses again.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Avoidance"]

_FIRST_S = 0.25
_MOST_S = 2.0

# Refusals further apart are unrelated: the next one counts as the first.
_FORGET_S = 5.0


@dataclass(slots=True)
class _Refusals:
    count: int = 0
    last_s: float = 0.0
    until_s: float = 0.0


class Avoidance:
    """Which backend servers to leave out of new chains now."""

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusals] = {}

    def refused(self, server_id: str, now_s: float) -> None:
        """It refused work; refusals while it is avoided already count once."""
        refusals = self._refusals.setdefault(server_id, _Refusals())
        if now_s < refusals.until_s:
            return
        if now_s - refusals.last_s > _FORGET_S:
            refusals.count = 0
        refusals.count += 1
        refusals.last_s = now_s
        refusals.until_s = now_s + min(_MOST_S, _FIRST_S * 2 ** (refusals.count - 1))

    def avoid(self, server_id: str, until_s: float) -> None:
        """Leave it out until then, whatever it refused."""
        refusals = self._refusals.setdefault(server_id, _Refusals())
        refusals.until_s = max(refusals.until_s, until_s)

    def avoided(self, server_id: str, now_s: float) -> bool:
        """Return whether to leave it out now."""
        refusals = self._refusals.get(server_id)
        return refusals is not None and now_s < refusals.until_s

    def forget(self, known_ids: set[str]) -> None:
        """Forget all backend servers but these."""
        for server_id in set(self._refusals) - known_ids:
            del self._refusals[server_id]
