"""The final outcomes of a request.

A request ends with exactly one outcome. ``NotRun`` requires a proof that no backend
server ran any part of the request, so that the caller can safely send it again.
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
    """Proof: the entry sent no part of the request to any agent."""


@dataclass(frozen=True, slots=True)
class RefusedBeforeStart:
    """Proof: every agent that received the request refused it before it started."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TombstoneConfirmed:
    """Proof: an agent confirmed that the request hadn't started and never will."""

    host: str


NotRunProof = NeverSent | RefusedBeforeStart | TombstoneConfirmed


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller received the complete answer."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request didn't run and won't run."""

    proof: NotRunProof
    error: RailfoldError
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran at least in part, without a complete answer."""

    error: RailfoldError
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran, or completed, can't be determined."""

    error: RailfoldError
    retry_after_s: float | None = None


Outcome = Answered | NotRun | Failed | Unknown


def outcome_name(outcome: Outcome) -> str:
    """Return the name of the outcome in answers and metrics."""
    match outcome:
        case Answered():
            return "answered"
        case NotRun():
            return "not_run"
        case Failed():
            return "failed"
        case Unknown():
            return "unknown"
