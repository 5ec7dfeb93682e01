"""Telling from runs that broke off, and servers that ended, which requests were there.

An answer that breaks off is no crash yet: connections are reset, links fail. Only when
the server surely ended as well, by a refused connection, a registration that lapses or
another incarnation in its place, do the runs count that had just begun there.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from railfold._internal.decisions.quarantine import Crash, RequestContent

__all__ = [
    "CLEARED_AFTER_S",
    "CrashWatch",
    "InterruptedRun",
    "RunDetails",
    "without_restart_count",
]

# Whoever brought events for longer than this, or waited longer for the first one, isn't
# what ended its server: a request that ends servers does so within tenths of a second.
# The wait leaves room for an engine that queues requests for seconds.
CLEARED_AFTER_S = 1.0
_MAX_FIRST_EVENT_WAIT_S = 5.0

# A server whose answers broke off is known to have ended within this time: its
# registration lapses after 3.6 s without a heartbeat, and is read every few seconds.
_CONFIRMATION_TIMEOUT_S = 10.0

# A server that answers this long after its end has started again: what it had sent
# before is read by then. It may be back under its id before its registration tells a
# later start, and end again, which would go unseen without this.
_MIN_RESTART_S = 0.3

# Stands in such a start's name between what its registration tells and their number.
_RESTART_SEPARATOR = "+"

# Runs that broke off and servers that ended, remembered for that time.
_MAX_RUNS = 512
_MAX_SERVERS = 512


@dataclass(frozen=True, slots=True)
class RunDetails:
    """A run of a request that broke off.

    :param server_ids: the backend servers that worked on it.
    :param began_s: when it was sent to the first of them.
    :param moved_s: for how long it had brought events.
    :param after_event: the event after which it had resumed a stream; 0 if it hadn't.
    :param streams: whether it was to bring events.
    """

    service: str
    server_ids: tuple[str, ...]
    began_s: float
    events_duration_s: float
    after_event: int
    streams: bool = False


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """What is kept of such a run: not the request itself, which may be large."""

    content: RequestContent
    details: RunDetails
    ended_s: float

    @property
    def server_ids(self) -> tuple[str, ...]:
        """The backend servers that worked on it."""
        return self.details.server_ids

    @property
    def had_just_started(self) -> bool:
        """Whether it may be what ended its server."""
        if self.details.events_duration_s > 0.0:
            return self.details.events_duration_s < CLEARED_AFTER_S
        return self.ended_s - self.details.began_s < _MAX_FIRST_EVENT_WAIT_S

    def crash(self, server_id: str, version: str) -> Crash:
        """Return the run as part of a server's end."""
        details = self.details
        return Crash(
            server_id,
            details.began_s,
            self.ended_s,
            version,
            details.after_event,
            silent=details.streams and details.events_duration_s == 0.0,
        )


def without_restart_count(name: str) -> str:
    """Return the name that a server's registration tells, of any start under it."""
    return name.partition(_RESTART_SEPARATOR)[0]


class CrashWatch:
    """Matches runs that broke off with servers that ended.

    :param on_crash: takes a server and the runs that had just begun there.
    """

    def __init__(self, on_crash: Callable[[str, list[InterruptedRun]], None]) -> None:
        self._on_crash = on_crash
        self._runs: deque[InterruptedRun] = deque(maxlen=_MAX_RUNS)
        self._crashed_at_s: OrderedDict[str, float] = OrderedDict()
        # How often servers were found well again under the name of their last start.
        self._restart_counts: OrderedDict[str, int] = OrderedDict()

    def run_interrupted(self, run: InterruptedRun) -> None:
        """A run broke off; whether its servers ended is known before or after."""
        if not run.had_just_started:
            return
        for server_id in run.server_ids:
            if server_id in self._crashed_at_s:
                self._on_crash(self._incarnation_id(server_id), [run])
                return
        self._runs.append(run)

    def server_crashed(self, server_id: str, now_s: float) -> None:
        """A server surely ended, and not as planned."""
        if server_id in self._crashed_at_s:
            return
        self._expire(now_s)
        self._crashed_at_s[server_id] = now_s
        runs = [run for run in self._runs if server_id in run.server_ids]
        if not runs:
            return
        # A run ends once: what ends another server of its chain later didn't end it.
        self._runs = deque(
            (run for run in self._runs if server_id not in run.server_ids),
            maxlen=_MAX_RUNS,
        )
        self._on_crash(self._incarnation_id(server_id), runs)

    def server_answered(self, server_id: str, now_s: float) -> None:
        """A server answers: if it had ended, it has started again."""
        crashed_at_s = self._crashed_at_s.get(server_id)
        if crashed_at_s is None or now_s < crashed_at_s + _MIN_RESTART_S:
            return
        del self._crashed_at_s[server_id]
        self._restart_counts[server_id] = self._restart_counts.pop(server_id, 0) + 1
        if len(self._restart_counts) > _MAX_SERVERS:
            self._restart_counts.popitem(last=False)

    def _incarnation_id(self, server_id: str) -> str:
        """Return what an incarnation is known by, also if its start isn't known."""
        restart_count = self._restart_counts.get(server_id, 0)
        return (
            f"{server_id}{_RESTART_SEPARATOR}{restart_count}"
            if restart_count
            else server_id
        )

    def _expire(self, now_s: float) -> None:
        since_s = now_s - _CONFIRMATION_TIMEOUT_S
        while self._runs and self._runs[0].ended_s < since_s:
            self._runs.popleft()
        while self._crashed_at_s:
            oldest = next(iter(self._crashed_at_s))
            if (
                self._crashed_at_s[oldest] >= since_s
                and len(self._crashed_at_s) <= _MAX_SERVERS
            ):
                return
            del self._crashed_at_s[oldest]
