"""Data types of the quarantine: request contents, crashes, states and decisions."""

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
    "RequestDigests",
]

# The version of a server that crashed before its registration was read, or whose
# registration gives no version.
UNKNOWN_VERSION = ""


class QuarantineState(Enum):
    """The state of a content after a change."""

    SUSPECTED = "suspected"  # A server crashed while running it; it is still allowed.
    ON_PROBATION = "on probation"  # Its requests run one at a time.
    HELD_BACK = "held back"  # Its requests are refused.
    ON_TRIAL = "on trial"  # One request is let through, to see if its server crashes.
    CLEARED = "cleared"  # A run succeeded, or another content explains its crashes.
    LIFTED = "lifted"  # The operator ended the hold, or all servers run new software.


class QuarantineDecision(Enum):
    """What to do with a request now."""

    ALLOW = "free"
    REFUSE = "held"
    WAIT = "waits"  # Until reports about it are complete and other trials have ended.
    ALLOW_TRIAL = "may be tried"  # Run it alone, as a trial.


@dataclass(frozen=True, slots=True)
class RequestContent:
    """Identifies requests with the same path, caller and body, or one prompt part.

    :param digest: a keyed hash of path, caller and body, or of the prompt part.
    :param service: the service that the requests were sent to.
    :param route: the name of their route.
    :param workspace: the workspace of the caller; empty if it has none, and for prompt
        parts, which several callers share.
    :param is_prompt_part: whether this is a part of the prompts of several requests.
    """

    digest: str
    service: str
    route: str
    workspace: str
    is_prompt_part: bool = False

    @property
    def label(self) -> str:
        """The digest with what it identifies, for messages."""
        kind = "prompt part" if self.is_prompt_part else "content"
        return f"{kind} {self.digest}"


@dataclass(frozen=True, slots=True)
class RequestDigests:
    """The digests by which a request is recognized.

    :param content: the digest of path, caller and body.
    :param prompt_parts: the digests of the parts of its prompt that other requests may
        have too.
    """

    content: str
    prompt_parts: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """The digests of the content and of the prompt parts."""
        return (self.content, *self.prompt_parts)


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of a backend server shortly after a request was sent to it.

    :param server_id: the incarnation of the server that crashed.
    :param began_s: when the request was sent to the server.
    :param ended_s: when the crash interrupted the request.
    :param version: the version of the software and the model on the server.
    :param after_event: the event after which the run resumed a stream; 0 if it didn't.
    :param silent: whether the run was a stream that had sent no event yet.
    """

    server_id: str
    began_s: float
    ended_s: float
    version: str = UNKNOWN_VERSION
    after_event: int = 0
    silent: bool = False

    @property
    def sort_key(self) -> tuple[float, float, int]:
        """The key that sorts crashes by the time at which they interrupted the run."""
        return (self.ended_s, self.began_s, self.after_event)


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A change of a content's quarantine state, with its evidence.

    :param crashes: the known crashes of the content, oldest first.
    :param was_held_back: whether the content is held back now or was until this change.
    :param held_since_s: when the hold began.
    :param hold_count: how often the content was held back in a row.
    :param held_until_s: when the content may be tried again.
    """

    content: RequestContent
    state: QuarantineState
    crashes: tuple[Crash, ...]
    reason: str
    was_held_back: bool = False
    held_since_s: float = 0.0
    hold_count: int = 0
    held_until_s: float = 0.0
