"""Contents of requests, the crashes under them, and what is believed of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "UNKNOWN_VERSION",
    "Crash",
    "QuarantineChange",
    "QuarantineDecision",
    "QuarantineState",
    "RequestContent",
]

# Of a server that ended before its registration was read, or doesn't tell it.
UNKNOWN_VERSION = ""


class QuarantineState(Enum):
    """What is believed of a content."""

    SUSPECTED = "suspected"  # Servers ended under it; it still runs.
    ON_PROBATION = "on probation"  # Its requests run one at a time.
    HELD_BACK = "held back"  # It is refused.
    ON_TRIAL = (
        "on trial"  # One run is let through, to see whether it still ends servers.
    )
    CLEARED = (
        "cleared"  # It ran to a good end, or another content explains its crashes.
    )
    LIFTED = "lifted"  # The operator, or new software, let it run again.


class QuarantineDecision(Enum):
    """What may be done with a request now."""

    ALLOW = "free"
    REFUSE = "held"
    WAIT = "waits"  # For what comes of another request's trial, under a second.
    ALLOW_TRIAL = "may be tried"


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What requests with the same path, caller and body are known by.

    :param digest: a keyed hash of them.
    """

    digest: str
    service: str
    route: str
    workspace: str


@dataclass(frozen=True, slots=True)
class Crash:
    """A backend server that ended while a request had just begun there.

    :param server_id: the incarnation that ended.
    :param began_s: when the request was sent there.
    :param ended_s: when it was cut off there.
    :param version: of the software and the model that ran there.
    :param after_event: the event after which the run resumed a stream; 0 if it didn't.
    :param silent: whether it was a stream that had brought no event.
    """

    server_id: str
    began_s: float
    ended_s: float
    version: str = UNKNOWN_VERSION
    after_event: int = 0
    silent: bool = False

    @property
    def sort_key(self) -> tuple[float, float, int]:
        """By when it ended, the first one first."""
        return (self.ended_s, self.began_s, self.after_event)


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A change of what is believed of a content, with what it follows from.

    :param was_held: whether it is or was held back.
    :param held_s: when it was held back last.
    :param holds: how often it was in a row.
    :param until_s: when it may be tried again.
    """

    content: RequestContent
    state: QuarantineState
    crashes: tuple[Crash, ...]
    reason: str
    was_held_back: bool = False
    held_since_s: float = 0.0
    hold_count: int = 0
    held_until_s: float = 0.0
