"""The final outcomes of a request.

A request ends with exactly one outcome. ``NotRun`` can't be built without a
proof that no backend server ran any part of the request.
"""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.errors import RailfoldError

__all__ = [
    "Answered",
    "Failed",
    "NeverSent",
    "NotRun",
    "NotRunProof",
    "Outcome",
    "RefusedBeforeStart",
    "TombstoneConfirmed",
    "Unknown",
    "outcome_name",
]


@dataclass(frozen=True, slots=True)
class NeverSent:
    """Proof: the entry sent nothing of the request to any agent."""


@dataclass(frozen=True, slots=True)
class RefusedBeforeStart:
    """Proof: every agent that was sent the request refused it unstarted."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TombstoneConfirmed:
    """Proof: an agent confirmed the request hadn't started and never will."""

    host: str


NotRunProof = NeverSent | RefusedBeforeStart | TombstoneConfirmed


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller has its whole answer."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run, and will not."""

    proof: NotRunProof
    error: RailfoldError
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran at least in part and gave no whole answer."""

    error: RailfoldError
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran, or ran to its end, can't be known."""

    error: RailfoldError
    retry_after_s: float | None = None


Outcome = Answered | NotRun | Failed | Unknown


def outcome_name(outcome: Outcome) -> str:
    """Return the outcome's name as it stands in answers and metrics."""
    match outcome:
        case Answered():
            return "answered"
        case NotRun():
            return "not_run"
        case Failed():
            return "failed"
        case Unknown():
            return "unknown"
