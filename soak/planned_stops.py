"""What a planned stop of an entry may do to requests."""

from __future__ import annotations

from dataclasses import dataclass

from soak.deployment import GRACE_S, EntryRun

__all__ = [
    "Unanswered",
    "describe_loss",
    "is_allowed_cut",
    "is_late",
    "is_past_deadline",
]

# The deadline that clients send, which is also the timeout of their routes.
_DEADLINE_S = 4.0

# A request that is whole later than this after SIGTERM must end in a complete answer
# if it reaches a server.
_MAX_CUT_SEND_S = 3.0

# The last part of the grace time, in which a process may exit.
_EXIT_S = 0.5


@dataclass(frozen=True)
class Unanswered:
    """A request that was whole and got no complete answer.

    :param run: the process that its connection led to.
    :param sent_s: when it was whole.
    :param ended_s: when its client noticed that no more of an answer comes.
    :param has_started: whether a part of an answer arrived.
    :param was_closed: whether its connection was closed before its client gave up.
    """

    request_id: str
    run: EntryRun
    sent_s: float
    ended_s: float
    has_started: bool
    was_closed: bool = True

    def __str__(self) -> str:
        """Return the id and when it was sent and cut, relative to SIGTERM."""
        stopped_at_s = self.run.stopped_at_s
        if stopped_at_s is None:
            return f"{self.request_id} (no SIGTERM)"
        sent_s, ended_s = self.sent_s - stopped_at_s, self.ended_s - stopped_at_s
        return f"{self.request_id} (sent {sent_s:.2f} s, ended {ended_s:.2f} s)"


def is_late(request: Unanswered) -> bool:
    """Return whether a request was sent too late in a stop to be cut by its end."""
    stopped_at_s = request.run.stopped_at_s
    return stopped_at_s is not None and request.sent_s > stopped_at_s + _MAX_CUT_SEND_S


def is_past_deadline(request: Unanswered) -> bool:
    """Return whether an answer that had started ran until the request's deadline."""
    return request.has_started and request.ended_s >= request.sent_s + _DEADLINE_S


def is_allowed_cut(request: Unanswered) -> bool:
    """Return whether an answer still ran when its process had to exit."""
    stopped_at_s = request.run.stopped_at_s
    return (
        stopped_at_s is not None
        and request.has_started
        and not is_late(request)
        and request.ended_s >= stopped_at_s + GRACE_S - _EXIT_S
    )


def describe_loss(request: Unanswered, reached_server: bool) -> str:
    """Return why a request may not have ended as it did; empty if it may.

    Answers that are cut before their process had to exit aren't considered: other
    faults may cut them.
    """
    if request.run.disturbed:
        return ""
    if reached_server and is_late(request):
        return "was sent late in a stop, reached a server and wasn't answered"
    if reached_server and not request.has_started:
        return "reached a server and got no answer"
    if not request.was_closed and request.run.stopped_at_s is not None:
        return "got no answer on a connection that stayed open"
    return ""
