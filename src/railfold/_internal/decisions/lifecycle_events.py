"""Events and actions of a generate request's life."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import Chain, Outcome, StageRun, Token
from railfold._internal.errors import RailfoldError

__all__ = [
    "CallerDisconnected",
    "CancelAttempt",
    "ChainPlanned",
    "DeadlinePassed",
    "EmitToken",
    "Finish",
    "HostsLost",
    "LifecycleAction",
    "LifecycleEvent",
    "OpenAttempt",
    "PlanChain",
    "PlanRefused",
    "ProbeStages",
    "StageFailed",
    "StageRefused",
    "TokenArrived",
    "TokenOverdue",
    "TombstoneReplied",
]


@dataclass(frozen=True, slots=True)
class ChainPlanned:
    """The planner found a chain."""

    chain: Chain


@dataclass(frozen=True, slots=True)
class PlanRefused:
    """No chain, or no retry is allowed now; says when to come back."""

    error: RailfoldError
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class TokenArrived:
    """The last stage of an attempt sent a token."""

    attempt: int
    token: Token
    lineage: tuple[StageRun, ...]


@dataclass(frozen=True, slots=True)
class StageRefused:
    """A stage refused an attempt before its engine saw any of it."""

    attempt: int
    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class StageFailed:
    """A stage can't go on; ``host`` is where the failure lies."""

    attempt: int
    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class HostsLost:
    """These hosts are dead, replaced or don't answer probes."""

    hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class TombstoneReplied:
    """A stage confirmed that the attempt never runs there from now on."""

    attempt: int
    host: str
    started: bool


@dataclass(frozen=True, slots=True)
class TokenOverdue:
    """The next token is later than recent step times explain."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


LifecycleEvent = (
    ChainPlanned
    | PlanRefused
    | TokenArrived
    | StageRefused
    | StageFailed
    | HostsLost
    | TombstoneReplied
    | TokenOverdue
    | DeadlinePassed
    | CallerDisconnected
)


@dataclass(frozen=True, slots=True)
class PlanChain:
    """Plan a chain without ``exclude``, keeping ``prefer`` where possible."""

    exclude: frozenset[str]
    prefer: tuple[str, ...]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Open an attempt at every stage, to go on after ``emitted``."""

    attempt: int
    chain: Chain
    emitted: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt at every stage."""

    attempt: int
    chain: Chain


@dataclass(frozen=True, slots=True)
class ProbeStages:
    """Ask each stage whether it is alive."""

    chain: Chain


@dataclass(frozen=True, slots=True)
class EmitToken:
    """Give a token to the caller."""

    token: Token


@dataclass(frozen=True, slots=True)
class Finish:
    """The final outcome; nothing follows it."""

    outcome: Outcome


LifecycleAction = (
    PlanChain | OpenAttempt | CancelAttempt | ProbeStages | EmitToken | Finish
)
