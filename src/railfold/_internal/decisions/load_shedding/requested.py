"""For how long backend servers want no requests from this entry.

A server that sheds load answers 503 and may add Retry-After. That holds for the entry
that it answers; other entries may send to it. Each such answer counts from its arrival,
and the longest one holds. Only a new incarnation, which has another id, ends it early.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BackoffRequest", "RequestedBackoffs"]

# A server that asks for longer is tried again after this time: more is more likely a
# mistake than a wish, and nothing else would end it.
_MAX_BACKOFF_S = 3600.0


@dataclass(slots=True)
class BackoffRequest:
    """What one server asked for.

    :param started_s: when the first answer of an unbroken series came.
    :param until_s: when the backoff ends.
    :param requests: answers that asked for it.
    :param sends: requests that were sent to it meanwhile.
    """

    started_s: float
    until_s: float
    requests: int = 1
    sends: int = 0

    def active(self, now_s: float) -> bool:
        """Return whether the server still wants nothing."""
        return now_s < self.until_s


class RequestedBackoffs:
    """The backoffs that servers asked this entry for, by incarnation.

    Times are on the loop's clock.
    """

    def __init__(self) -> None:
        self._requests: dict[str, BackoffRequest] = {}

    def __bool__(self) -> bool:
        """Whether any server asked for one of late."""
        return bool(self._requests)

    def requested(self, server_id: str, delay_s: float, now_s: float) -> bool:
        """Take an answer that asks for ``delay_s``; return whether it starts a backoff.

        One of 0 s asks for nothing.
        """
        until_s = now_s + min(delay_s, _MAX_BACKOFF_S)
        request = self._requests.get(server_id)
        if until_s <= now_s:
            return False
        if request is None or not request.active(now_s):
            self._requests[server_id] = BackoffRequest(now_s, until_s)
            return True
        request.until_s = max(request.until_s, until_s)
        request.requests += 1
        return False

    def get(self, server_id: str) -> BackoffRequest | None:
        """Return what a server asked for last."""
        return self._requests.get(server_id)

    def active(self, now_s: float) -> list[str]:
        """Return the servers that want nothing now."""
        return [s for s, request in self._requests.items() if request.active(now_s)]

    def sent(self, server_id: str, now_s: float) -> None:
        """Count a request that is sent to a server."""
        request = self._requests.get(server_id)
        if request is not None and request.active(now_s):
            request.sends += 1

    def take_ended(self, now_s: float) -> dict[str, BackoffRequest]:
        """Return the backoffs that have ended, and forget them."""
        ended = {s: r for s, r in self._requests.items() if not r.active(now_s)}
        for server_id in ended:
            del self._requests[server_id]
        return ended

    def forget(self, known_ids: set[str]) -> None:
        """Forget servers that are gone."""
        for server_id in set(self._requests) - known_ids:
            del self._requests[server_id]
