"""Until when an entry that is stopped accepts, sends and answers requests."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.errors import EntryStoppingError

__all__ = ["DrainSchedule", "acceptance_error"]


# The largest share of the grace time that is kept for the exit.
_MAX_EXIT_SHARE = 0.1


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
        :param exit_s: part of the grace time that is needed to exit; less of a short
            one.
        """
        ends_s = started_s + grace_s - min(exit_s, _MAX_EXIT_SHARE * grace_s)
        return cls(min(started_s + notice_s, ends_s), ends_s)

    def accepts(self, now_s: float) -> bool:
        """Return whether a request that is complete now may be accepted."""
        return now_s < self.accepts_until_s

    def require_accepting(self, now_s: float) -> None:
        """Check that a request that is complete now may be accepted.

        :raises EntryStoppingError: the entry has stopped to accept requests.
        """
        if not self.accepts(now_s):
            raise acceptance_error()

    def allows_send(self, now_s: float, answer_s: float) -> bool:
        """Return whether a request may be sent to a backend server now.

        :param answer_s: expected time until the end of its answer.
        """
        return now_s + answer_s <= self.ends_s


def acceptance_error() -> EntryStoppingError:
    """Return the error for a request that a stopping entry doesn't accept any more."""
    return EntryStoppingError(
        "the entry is being stopped and accepts no more requests",
        hint="send it over a new connection",
    )
