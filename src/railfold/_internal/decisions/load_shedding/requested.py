"""For how long backend servers want no requests from this entry.

A server that sheds load answers 503 and may add Retry-After. That holds for the entry
that it answers; other entries may send to it. Each such answer counts from its arrival,
and the longest one holds. Only a new incarnation, which has another id, ends it early.

After its end the server is half-open: it gets one request. If that one is served, the
server's share of requests grows to the usual (slow start).
"""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.decisions.slow_start import slow_start_share

__all__ = [
    "BackingOff",
    "BackoffReason",
    "HalfOpen",
    "RequestedBackoffs",
    "ServerBackoff",
]

# A server that asks for longer is tried again after this time: more is more likely a
# mistake than a wish, and nothing else would end it.
_MAX_BACKOFF_S = 3600.0

# The first request after the end is waited for this long before another one may go.
_TRIAL_TIMEOUT_S = 1.0

# When others are told to ask again while it is under way: most are served sooner.
_TRIAL_TYPICAL_S = 0.2

# How long the share of a server that serves again grows to the usual.
_SLOW_START_S = 2.0

# A backoff that no request followed is forgotten after this time.
_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class BackingOff:
    """The server wants nothing before ``until_s``."""

    until_s: float


@dataclass(frozen=True, slots=True)
class HalfOpen:
    """One request finds out whether it serves again, until about ``until_s``."""

    until_s: float


BackoffReason = BackingOff | HalfOpen


@dataclass(slots=True)
class ServerBackoff:
    """What one server asked for, and what came of it.

    :param until_s: when the backoff ends.
    :param retry_after_count: answers that asked for it.
    :param sends_during: requests that were sent to it before the end.
    :param trial_request_id: id of the first request after the end, while it is under way.
    :param recovered_s: when the server was first known to serve again.
    :param end_reported: whether its end was reported, or that it serves again.
    """

    started_s: float
    until_s: float
    retry_after_count: int = 1
    sends_during: int = 0
    trial_request_id: str | None = None
    trial_sent_s: float = 0.0
    recovered_s: float | None = None
    end_reported: bool = False

    def is_active(self, now_s: float) -> bool:
        """Return whether the server still wants nothing."""
        return now_s < self.until_s

    def ineligible_reason(self, now_s: float) -> BackoffReason | None:
        """Return what keeps requests from the server now."""
        if self.is_active(now_s):
            return BackingOff(self.until_s)
        if self.recovered_s is not None or self.trial_request_id is None:
            return None
        if now_s - self.trial_sent_s >= _TRIAL_TIMEOUT_S:
            return None
        return HalfOpen(max(now_s, self.trial_sent_s + _TRIAL_TYPICAL_S))

    def is_expired(self, now_s: float) -> bool:
        """Return whether nothing follows from it any more."""
        if self.recovered_s is not None:
            return now_s - self.recovered_s >= _SLOW_START_S
        return now_s - max(self.until_s, self.trial_sent_s) >= _RETENTION_S


class RequestedBackoffs:
    """The backoffs that servers asked this entry for, by incarnation.

    Times are on the loop's clock.
    """

    def __init__(self) -> None:
        self._backoffs: dict[str, ServerBackoff] = {}

    def __bool__(self) -> bool:
        """Whether any server asked for one of late."""
        return bool(self._backoffs)

    def record_retry_after(self, server_id: str, delay_s: float, now_s: float) -> bool:
        """Take an answer that asks for ``delay_s``; return whether it starts a backoff.

        One of 0 s asks for nothing.
        """
        until_s = now_s + min(delay_s, _MAX_BACKOFF_S)
        backoff = self._backoffs.get(server_id)
        if until_s <= now_s:
            return False
        if backoff is None or not backoff.is_active(now_s):
            self._backoffs[server_id] = ServerBackoff(now_s, until_s)
            return True
        backoff.until_s = max(backoff.until_s, until_s)
        backoff.retry_after_count += 1
        return False

    def get(self, server_id: str) -> ServerBackoff | None:
        """Return what a server asked for last."""
        return self._backoffs.get(server_id)

    def ineligible_reason(self, server_id: str, now_s: float) -> BackoffReason | None:
        """Return what keeps this entry from sending to a server now."""
        backoff = self._backoffs.get(server_id)
        return backoff.ineligible_reason(now_s) if backoff is not None else None

    def active_servers(self, now_s: float) -> list[str]:
        """Return the servers that want nothing now."""
        return [s for s, backoff in self._backoffs.items() if backoff.is_active(now_s)]

    def record_send(self, server_id: str, request_id: str, now_s: float) -> None:
        """Take that a request is sent to a server now."""
        backoff = self._backoffs.get(server_id)
        if backoff is None:
            return
        if backoff.is_active(now_s):
            backoff.sends_during += 1
        elif backoff.recovered_s is None:
            backoff.trial_request_id, backoff.trial_sent_s = request_id, now_s

    def record_served(self, server_id: str, request_id: str, now_s: float) -> bool:
        """Take that a server worked on a request; return whether it serves again.

        Only the request that was sent after the end of the backoff proves that.
        """
        backoff = self._backoffs.get(server_id)
        if (
            backoff is None
            or backoff.trial_request_id != request_id
            or backoff.is_active(now_s)
        ):
            return False
        backoff.trial_request_id, backoff.recovered_s = None, now_s
        backoff.end_reported = True
        return True

    def record_attempt_end(self, server_id: str, request_id: str) -> None:
        """Take that a request at a server ended; if unserved, another one may go."""
        backoff = self._backoffs.get(server_id)
        if backoff is not None and backoff.trial_request_id == request_id:
            backoff.trial_request_id = None

    def traffic_share(self, server_id: str, now_s: float) -> float:
        """Return which share of its usual requests a server gets."""
        backoff = self._backoffs.get(server_id)
        if backoff is None or backoff.recovered_s is None:
            return 1.0
        return slow_start_share(backoff.recovered_s, now_s, _SLOW_START_S)

    def take_ended(self, now_s: float) -> dict[str, ServerBackoff]:
        """Return the backoffs that have ended since the last call."""
        ended = {
            server_id: backoff
            for server_id, backoff in self._backoffs.items()
            if not backoff.end_reported and not backoff.is_active(now_s)
        }
        for backoff in ended.values():
            backoff.end_reported = True
        return ended

    def forget(self, known_ids: set[str], now_s: float) -> None:
        """Forget servers that are gone, and backoffs that nothing follows from."""
        for server_id, backoff in list(self._backoffs.items()):
            if server_id not in known_ids or backoff.is_expired(now_s):
                del self._backoffs[server_id]
