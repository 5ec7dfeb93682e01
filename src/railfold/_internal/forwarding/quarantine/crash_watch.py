"""Matches interrupted runs with crashed servers, to find the requests at fault.

An interrupted run alone is no evidence of a crash: connections are reset, and links
fail. Runs count only if their server certainly crashed, which shows by a refused
connection, a lapsed registration or a new incarnation, and only if they had just
started there.
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

# A run that produced events for longer than the first of these times, or that waited
# longer than the second one for its first event, didn't crash its server: a request
# that crashes servers does so within tenths of a second. The second time is longer,
# since engines may queue requests for seconds.
CLEARED_AFTER_S = 1.0
_MAX_FIRST_EVENT_WAIT_S = 5.0

# How long after a run was interrupted the crash of its server may become known. A
# registration lapses after 3.6 s without a heartbeat, and is read every few seconds.
_CONFIRMATION_TIMEOUT_S = 10.0

# A server that answers this long after its crash has restarted, since answers from
# before the crash have been read by then. It may be back under the same id before its
# registration shows the later start time. Without this rule, another crash in that time
# would go unnoticed.
_MIN_RESTART_S = 0.3

# Separates the server id in the registration from the number of such restarts.
_RESTART_SEPARATOR = "+"

# The maximum numbers of interrupted runs, and of crashed or restarted servers, that are
# remembered.
_MAX_RUNS = 512
_MAX_SERVERS = 512


@dataclass(frozen=True, slots=True)
class RunDetails:
    """Details of a run of a request that was interrupted.

    :param service: the service that the request was sent to.
    :param server_ids: the backend servers that the run used.
    :param began_s: when the request was sent to the first of them.
    :param events_duration_s: for how long the run had produced events; 0 if it hadn't.
    :param after_event: the event after which the run resumed a stream; 0 if it didn't.
    :param streams: whether the request is a stream.
    """

    service: str
    server_ids: tuple[str, ...]
    began_s: float
    events_duration_s: float
    after_event: int
    streams: bool = False


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """An interrupted run. The request itself, which may be large, isn't kept.

    :param ended_s: when the run was interrupted.
    :param prompt_parts: the parts of its prompt that other requests may have too.
    """

    content: RequestContent
    details: RunDetails
    ended_s: float
    prompt_parts: tuple[RequestContent, ...] = ()

    @property
    def suspects(self) -> tuple[RequestContent, ...]:
        """All that may have crashed the run's server."""
        return (self.content, *self.prompt_parts)

    @property
    def server_ids(self) -> tuple[str, ...]:
        """The backend servers that the run used."""
        return self.details.server_ids

    @property
    def had_just_started(self) -> bool:
        """Whether the run had started recently enough to have crashed its server."""
        if self.details.events_duration_s > 0.0:
            return self.details.events_duration_s < CLEARED_AFTER_S
        return self.ended_s - self.details.began_s < _MAX_FIRST_EVENT_WAIT_S

    def crash(self, server_id: str, version: str) -> Crash:
        """Return the crash of one of the run's servers, with the times of the run."""
        details = self.details
        return Crash(
            server_id,
            details.began_s,
            self.ended_s,
            version,
            details.after_event,
            silent=details.streams and details.events_duration_s == 0.0,
        )


def without_restart_count(server_id: str) -> str:
    """Return a server id as registered, without the count of later restarts."""
    return server_id.partition(_RESTART_SEPARATOR)[0]


class CrashWatch:
    """Matches interrupted runs with crashed servers.

    :param on_crash: called with the incarnation of a crashed server and the runs that
        had just started there.
    """

    def __init__(self, on_crash: Callable[[str, list[InterruptedRun]], None]) -> None:
        self._on_crash = on_crash
        self._runs: deque[InterruptedRun] = deque(maxlen=_MAX_RUNS)
        self._crashed_at_s: OrderedDict[str, float] = OrderedDict()
        # How often each server restarted before its registration showed it.
        self._restart_counts: OrderedDict[str, int] = OrderedDict()

    def run_interrupted(self, run: InterruptedRun) -> None:
        """Record an interrupted run. The crash may become known before or after it."""
        if not run.had_just_started:
            return
        for server_id in run.server_ids:
            if server_id in self._crashed_at_s:
                self._on_crash(self._incarnation_id(server_id), [run])
                return
        self._runs.append(run)

    def server_crashed(self, server_id: str, now_s: float) -> str:
        """Record that a server crashed, rather than stopped as planned.

        :returns: the id of the incarnation that crashed, as it is reported.
        """
        incarnation_id = self._incarnation_id(server_id)
        if server_id in self._crashed_at_s:
            return incarnation_id
        self._expire(now_s)
        self._crashed_at_s[server_id] = now_s
        runs = [run for run in self._runs if server_id in run.server_ids]
        if not runs:
            return incarnation_id
        # A run is interrupted once: a later crash of another server of its chain has
        # nothing to do with it.
        self._runs = deque(
            (run for run in self._runs if server_id not in run.server_ids),
            maxlen=_MAX_RUNS,
        )
        self._on_crash(incarnation_id, runs)
        return incarnation_id

    def server_returned(self, server_id: str) -> None:
        """Record that the same incarnation still runs, so that it didn't crash."""
        self._crashed_at_s.pop(server_id, None)

    def server_answered(self, server_id: str, now_s: float) -> None:
        """Record that a server answers; if it had crashed, it has restarted."""
        crashed_at_s = self._crashed_at_s.get(server_id)
        if crashed_at_s is None or now_s < crashed_at_s + _MIN_RESTART_S:
            return
        del self._crashed_at_s[server_id]
        self._restart_counts[server_id] = self._restart_counts.pop(server_id, 0) + 1
        if len(self._restart_counts) > _MAX_SERVERS:
            self._restart_counts.popitem(last=False)

    def _incarnation_id(self, server_id: str) -> str:
        """Return the id of the current incarnation, counting unregistered restarts."""
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
