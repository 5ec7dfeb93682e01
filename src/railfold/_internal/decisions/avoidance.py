"""Load limits for backend servers that refuse requests.

A server that is full, is leaving or no longer has the requested layers refuses a
request and states that the request wasn't run. Each refusal costs a retry. A full
server continues to serve its other requests, so a refusal doesn't exclude the server.
Instead the server gets no more load than it had when it refused. It gets a new request
after another one has ended, or after an interval that grows with each further refusal.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Avoidance"]

# First and longest interval after which a server that refused may get one more request.
# A busy engine finishes a request, and frees its memory, every few tens of
# milliseconds. A server that is leaving doesn't return for seconds.
_FIRST_INTERVAL_S = 0.25
_MAX_INTERVAL_S = 2.0

# Refusals further apart than this are unrelated: the later one counts as the first.
_RESET_AFTER_S = 5.0


@dataclass(slots=True)
class _Refusals:
    """Refusals of one server, and the load that it may have after them.

    :param count: number of refusals in a row.
    :param last_refusal_s: when the last of them was counted.
    :param load: the server's load when it refused.
    :param request_load: the load of the request that it refused.
    :param interval_s: time after which it may have the load of one more such request.
    :param avoided_until_s: until when the server gets no requests at any load.
    """

    count: int = 0
    last_refusal_s: float = float("-inf")
    load: int = 0
    request_load: int = 1
    interval_s: float = 0.0
    avoided_until_s: float = float("-inf")

    def allowed_load(self, now_s: float) -> float:
        """Return the load that the server may have now."""
        age_s = now_s - self.last_refusal_s
        if self.count == 0 or age_s > _RESET_AFTER_S:
            return float("inf")
        return self.load + self.request_load * age_s / self.interval_s


class Avoidance:
    """Backend servers that new requests should avoid now.

    Loads are this entry's own, in any unit that the caller uses consistently.
    """

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusals] = {}

    def record_refusal(
        self, server_id: str, now_s: float, load: int = 0, request_load: int = 1
    ) -> None:
        """Record that a server refused a request.

        Refusals within one interval count as one.

        :param load: the server's load without the refused request.
        :param request_load: the load of the refused request.
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
        """Avoid a server at any load until ``until_s``."""
        refusals = self._refusals.setdefault(server_id, _Refusals())
        refusals.avoided_until_s = max(refusals.avoided_until_s, until_s)

    def readmit(self, server_id: str) -> None:
        """End :meth:`avoid` for a server, because it has other layers now."""
        refusals = self._refusals.get(server_id)
        if refusals is not None:
            refusals.avoided_until_s = float("-inf")

    def is_avoided(self, server_id: str, now_s: float, load: int = 0) -> bool:
        """Return whether to avoid a server that has this load now."""
        refusals = self._refusals.get(server_id)
        if refusals is None:
            return False
        if now_s < refusals.avoided_until_s:
            return True
        return load + refusals.request_load > refusals.allowed_load(now_s)

    def forget(self, known_ids: set[str]) -> None:
        """Forget all backend servers but ``known_ids``."""
        for server_id in set(self._refusals) - known_ids:
            del self._refusals[server_id]
