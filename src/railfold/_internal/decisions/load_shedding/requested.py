"""Backoffs that backend servers request from this entry by Retry-After.

A server that sheds load answers 503 and may add a Retry-After header. The backoff
applies to the entry that receives the answer; other entries may still send to the
server. Its delay begins when the answer arrives. If several answers request a backoff,
the latest end applies. Only a new incarnation of the server, which has another id, ends
a backoff early.

After the end of a backoff the server is half-open: it gets one trial request. If the
server serves it, the server's traffic share grows to the usual one (slow start).
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

# Longest backoff. A longer delay is probably a mistake, and nothing but a new
# incarnation would end it.
_MAX_BACKOFF_S = 3600.0

# Time after which another trial request may be sent if the first got no answer.
_TRIAL_TIMEOUT_S = 1.0

# Time in which most trial requests are served. Requests that are refused while a trial
# is in flight get a Retry-After that ends after it.
_TRIAL_TYPICAL_S = 0.2

# Time over which the traffic share of a recovered server grows to the usual one.
_SLOW_START_S = 2.0

# Time after which an ended backoff is forgotten if no trial request was served.
_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class BackingOff:
    """The server asked for no request before ``until_s``."""

    until_s: float


@dataclass(frozen=True, slots=True)
class HalfOpen:
    """A trial request to the server is in flight, until about ``until_s``."""

    until_s: float


BackoffReason = BackingOff | HalfOpen


@dataclass(slots=True)
class ServerBackoff:
    """The backoff of one server, and the recovery after it.

    :param started_s: when the answer that started the backoff arrived.
    :param until_s: when the backoff ends.
    :param retry_after_count: number of answers that requested the backoff.
    :param sends_during: number of requests sent to the server before the end.
    :param trial_request_id: id of the trial request while it is in flight.
    :param trial_sent_s: when the last trial request was sent.
    :param recovered_s: when the server was first known to serve requests again.
    :param end_reported: whether the end or the recovery has been reported.
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
        """Return whether the backoff hasn't ended yet."""
        return now_s < self.until_s

    def ineligible_reason(self, now_s: float) -> BackoffReason | None:
        """Return why the server may not be sent a request now, if so."""
        if self.is_active(now_s):
            return BackingOff(self.until_s)
        if self.recovered_s is not None or self.trial_request_id is None:
            return None
        if now_s - self.trial_sent_s >= _TRIAL_TIMEOUT_S:
            return None
        return HalfOpen(max(now_s, self.trial_sent_s + _TRIAL_TYPICAL_S))

    def is_expired(self, now_s: float) -> bool:
        """Return whether the backoff has no effect any more and can be forgotten."""
        if self.recovered_s is not None:
            return now_s - self.recovered_s >= _SLOW_START_S
        return now_s - max(self.until_s, self.trial_sent_s) >= _RETENTION_S


class RequestedBackoffs:
    """The backoffs that servers requested from this entry, by incarnation.

    Times are on the event loop's clock.
    """

    def __init__(self) -> None:
        self._backoffs: dict[str, ServerBackoff] = {}

    def __bool__(self) -> bool:
        """Whether any backoff is active or still has an effect."""
        return bool(self._backoffs)

    def record_retry_after(self, server_id: str, delay_s: float, now_s: float) -> bool:
        """Record a Retry-After header; return whether it starts a backoff.

        :param delay_s: the requested delay; 0 or less requests no backoff.
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
        """Return the latest backoff of a server, if it isn't forgotten."""
        return self._backoffs.get(server_id)

    def ineligible_reason(self, server_id: str, now_s: float) -> BackoffReason | None:
        """Return why this entry may not send to a server now, if so."""
        backoff = self._backoffs.get(server_id)
        return backoff.ineligible_reason(now_s) if backoff is not None else None

    def active_servers(self, now_s: float) -> list[str]:
        """Return the servers with an active backoff."""
        return [s for s, backoff in self._backoffs.items() if backoff.is_active(now_s)]

    def record_send(self, server_id: str, request_id: str, now_s: float) -> None:
        """Record that a request is being sent to a server."""
        backoff = self._backoffs.get(server_id)
        if backoff is None:
            return
        if backoff.is_active(now_s):
            backoff.sends_during += 1
        elif backoff.recovered_s is None:
            backoff.trial_request_id, backoff.trial_sent_s = request_id, now_s

    def record_served(self, server_id: str, request_id: str, now_s: float) -> bool:
        """Record that a server served a request; return whether it has recovered.

        Only a trial request, sent after the end of the backoff, proves the recovery.
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
        """Record the end of a request; after an unserved trial another may be sent."""
        backoff = self._backoffs.get(server_id)
        if backoff is not None and backoff.trial_request_id == request_id:
            backoff.trial_request_id = None

    def traffic_share(self, server_id: str, now_s: float) -> float:
        """Return a server's share of its usual requests, from 0 to 1."""
        backoff = self._backoffs.get(server_id)
        if backoff is None or backoff.recovered_s is None:
            return 1.0
        return slow_start_share(backoff.recovered_s, now_s, _SLOW_START_S)

    def take_ended(self, now_s: float) -> dict[str, ServerBackoff]:
        """Return the backoffs that have ended and weren't reported yet.

        Marks them as reported.
        """
        ended = {
            server_id: backoff
            for server_id, backoff in self._backoffs.items()
            if not backoff.end_reported and not backoff.is_active(now_s)
        }
        for backoff in ended.values():
            backoff.end_reported = True
        return ended

    def forget(self, known_ids: set[str], now_s: float) -> None:
        """Forget backoffs without any effect, and all servers but ``known_ids``."""
        for server_id, backoff in list(self._backoffs.items()):
            if server_id not in known_ids or backoff.is_expired(now_s):
                del self._backoffs[server_id]
