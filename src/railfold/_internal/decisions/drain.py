"""Until when an entry that is stopped accepts, sends and answers requests."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.errors import EntryStoppingError

__all__ = ["DrainSchedule"]


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """The times of a planned stop, on the event loop's clock.

    :param accepts_until_s: when the entry stops to accept connections and requests. A
        request counts as accepted once it is complete.
    :param ends_s: when the entry gives up what is unfinished, and exits.
    """

    accepts_until_s: float
    ends_s: float

    @classmethod
    def plan(
        cls, started_s: float, notice_s: float, grace_s: float, exit_s: float
    ) -> DrainSchedule:
        """Return the schedule of a stop that began at ``started_s``.

        :param notice_s: time for which clients may still be sent to the entry.
        :param grace_s: time after which the process is killed.
        :param exit_s: part of the grace time that is needed to exit.
        """
        ends_s = started_s + max(0.0, grace_s - exit_s)
        return cls(min(started_s + notice_s, ends_s), ends_s)

    def require_accepting(self, now_s: float) -> None:
        """Check that a request that is complete now may be accepted.

        :raises EntryStoppingError: the entry has stopped to accept requests.
        """
        late_s = now_s - self.accepts_until_s
        if late_s < 0:
            return
        raise EntryStoppingError(
            "the entry is being stopped and accepts no more requests",
            why=f"the request was complete {late_s:.2f} s too late",
            hint="send it over a new connection",
        )
