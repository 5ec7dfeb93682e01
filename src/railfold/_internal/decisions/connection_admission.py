"""Whether an overloaded entry accepts a new connection or closes it unread.

A client whose connection is closed with its request unread tries another entry. One
whose request is read but served too late has lost its time, and so has the entry. An
entry that gets more connections than it can serve therefore closes some of them, but
only while most other entries aren't overloaded.

The work of the accepted connections is estimated from the time that the event loop was
busy for each request. Other work counts too, so the lowest recent value is used.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["ConnectionAdmission"]

# An event loop that is later than this counts as overloaded if it stays so for
# _DETECTION_S. A single pause, however long, doesn't count.
_MAX_LATE_S = 0.2
_DETECTION_S = 0.6

# The work of the connections whose request hasn't been read yet. An entry that isn't
# known to be overloaded accepts more, since clients may all reconnect at once.
_MAX_WORK_S = 0.6
_MAX_OVERLOADED_WORK_S = 0.15

# An overload ends this long after the last second in which the event loop was late, or
# at least this share of the connections was closed.
_HOLD_S = 3.0
_WINDOW_S = 1.0
_MIN_CLOSED_SHARE = 0.05

# The cost of a request is the lowest of this many windows, each with at least this many
# requests: with fewer, it would mostly be the cost of other work.
_COST_WINDOWS = 5
_MIN_REQUESTS = 5

# If at least this share of the other entries is overloaded, too, closing connections
# doesn't help.
_MAX_OTHERS_SHARE = 0.5

# How long the state of the other entries is used. Entries whose event loop is late may
# get none for some seconds.
_OTHERS_LIFETIME_S = 10.0


class ConnectionAdmission:
    """One entry's decisions about new connections.

    Times are on the event loop's clock.
    """

    def __init__(self) -> None:
        self._busy_s = 0.0
        self._requests = 0
        self._costs_s: deque[float] = deque(maxlen=_COST_WINDOWS)
        self._late_since_s: float | None = None
        self._overloaded_until_s = -math.inf
        self._window_started_s = -math.inf
        self._offered = self._closed = 0
        self._others = self._others_overloaded = 0
        self._others_known_until_s = -math.inf

    def loop_ran(self, late_s: float, busy_s: float, now_s: float) -> None:
        """Record that a periodic timer ran.

        :param late_s: by how much it ran late.
        :param busy_s: how long the event loop was busy since the last call.
        """
        self._busy_s += busy_s
        if late_s < _MAX_LATE_S:
            self._late_since_s = None
        elif self._late_since_s is None:
            self._late_since_s = now_s
        elif now_s - self._late_since_s >= _DETECTION_S:
            self._overloaded_until_s = now_s + _HOLD_S
        if now_s - self._window_started_s >= _WINDOW_S:
            self._end_window(now_s)

    def _end_window(self, now_s: float) -> None:
        if self._requests >= _MIN_REQUESTS:
            self._costs_s.append(self._busy_s / self._requests)
        if self._closed > _MIN_CLOSED_SHARE * self._offered:
            self._overloaded_until_s = now_s + _HOLD_S
        self._window_started_s = now_s
        self._busy_s = 0.0
        self._requests = self._offered = self._closed = 0

    def request_read(self) -> None:
        """Record that a client's request was read."""
        self._requests += 1

    def others_announced(self, overloaded: int, entries: int, now_s: float) -> None:
        """Record how many of the other entries are overloaded.

        An announcement that covers few of the known entries is ignored.

        :param entries: number of other entries that are known.
        """
        if 2 * entries < self._others and now_s < self._others_known_until_s:
            return
        self._others_overloaded, self._others = overloaded, entries
        self._others_known_until_s = now_s + _OTHERS_LIFETIME_S

    @property
    def request_cost_s(self) -> float:
        """The time that the event loop is busy for each request; 0 if unknown."""
        return min(self._costs_s, default=0.0)

    def is_overloaded(self, now_s: float) -> bool:
        """Return whether this entry gets more than it can serve in time."""
        return now_s < self._overloaded_until_s

    def others_can_serve(self, now_s: float) -> bool:
        """Return whether most other entries are known not to be overloaded."""
        if not self._others or now_s >= self._others_known_until_s:
            return False
        return self._others_overloaded < _MAX_OTHERS_SHARE * self._others

    def sheds(self, now_s: float) -> bool:
        """Return whether clients should use other entries."""
        return self.is_overloaded(now_s) and self.others_can_serve(now_s)

    def admits(self, awaited: int, late_s: float, now_s: float) -> bool:
        """Return whether to accept a new connection; if not, it is closed unread.

        :param awaited: accepted connections whose first request hasn't been read.
        :param late_s: for how long the periodic timer has been due.
        """
        self._offered += 1
        if not self.others_can_serve(now_s):
            return True
        work_s = (awaited + 1) * self.request_cost_s
        if self.is_overloaded(now_s):
            in_time = awaited == 0 or late_s + work_s <= _MAX_OVERLOADED_WORK_S
            admitted = in_time and late_s < _MAX_LATE_S
        else:
            admitted = late_s < _MAX_LATE_S or work_s <= _MAX_WORK_S
        if not admitted:
            self._closed += 1
            if not self.is_overloaded(now_s):
                self._overloaded_until_s = now_s + _HOLD_S
        return admitted
