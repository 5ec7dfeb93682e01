"""Events that the state machine of a generate request takes, and its actions."""

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
    "GivenUp",
    "HostsLost",
    "HostsSuspected",
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
    """No chain is available, or no retry is allowed now.

    :param retry_after_s: after which time the caller may send the request again.
    """

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
    """A stage refused an attempt before any part of it reached its engine."""

    attempt: int
    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class StageFailed:
    """A stage can't continue; ``host`` is the host that failed."""

    attempt: int
    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class HostsLost:
    """These hosts are dead or replaced: their work in flight has ended."""

    hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class HostsSuspected:
    """These hosts don't answer probes or have stalled, and may go on later."""

    hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class TombstoneReplied:
    """A stage confirmed that it won't run the attempt from now on.

    :param started: whether the attempt had started at this stage before.
    """

    attempt: int
    host: str
    started: bool


@dataclass(frozen=True, slots=True)
class TokenOverdue:
    """The next token is overdue, judged by recent gaps between tokens."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the outcome."""


@dataclass(frozen=True, slots=True)
class GivenUp:
    """The outcome can't be awaited any longer.

    :param retry_after_s: after which time the caller may send the request again.
    """

    error: RailfoldError
    retry_after_s: float


LifecycleEvent = (
    ChainPlanned
    | PlanRefused
    | TokenArrived
    | StageRefused
    | StageFailed
    | HostsLost
    | HostsSuspected
    | TombstoneReplied
    | TokenOverdue
    | DeadlinePassed
    | CallerDisconnected
    | GivenUp
)


@dataclass(frozen=True, slots=True)
class PlanChain:
    """Plan a chain without the hosts in ``exclude``.

    An attempt on a suspected host stays open while its request looks for another chain,
    and beside the attempt on that chain until one of them sends a token.

    :param prefer: hosts of the previous chain, to be used again where possible.
    :param is_retry: whether there was an attempt before, so that the retry budget
        applies.
    """

    exclude: frozenset[str]
    prefer: tuple[str, ...]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Open an attempt at every stage.

    :param emitted: ids of the tokens after which the attempt continues.
    """

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
    """Send a token to the caller."""

    token: Token


@dataclass(frozen=True, slots=True)
class Finish:
    """End the request with its final outcome; no other action follows."""

    outcome: Outcome


LifecycleAction = (
    PlanChain | OpenAttempt | CancelAttempt | ProbeStages | EmitToken | Finish
)
