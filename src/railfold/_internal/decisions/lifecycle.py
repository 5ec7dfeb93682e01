"""State of one generate request at its entry.

A request goes through attempts until it has exactly one final outcome. Emitted
tokens are neither repeated nor changed: a new attempt continues after them. An attempt
on a silent host is kept beside the new one until one of them sends a token. The state
machine has no I/O and no clock; its driver passes events in and performs the returned
actions in order.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from railfold._internal.core import (
    Answered,
    Chain,
    Failed,
    GenerateRequest,
    NeverSent,
    NotRun,
    Outcome,
    RefusedBeforeStart,
    StageRun,
    Token,
    Unknown,
)
from railfold._internal.decisions.lifecycle_events import (
    CallerDisconnected,
    CancelAttempt,
    ChainPlanned,
    DeadlinePassed,
    EmitToken,
    Finish,
    GivenUp,
    HostsLost,
    HostsSuspected,
    LifecycleAction,
    LifecycleEvent,
    OpenAttempt,
    PlanChain,
    PlanRefused,
    ProbeStages,
    StageFailed,
    StageRefused,
    TokenArrived,
    TokenOverdue,
    TombstoneReplied,
)
from railfold._internal.decisions.lineage import check_lineage, expected_lineage
from railfold._internal.errors import (
    DeadlineExpiredError,
    EngineError,
    EngineUnavailableError,
    LineageError,
    NoCapacityError,
    RailfoldError,
)

__all__ = ["LifecycleLimits", "RequestLifecycle"]

_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class LifecycleLimits:
    """Limits on the attempts of one request."""

    max_attempts: int = 6


@dataclass(frozen=True, slots=True)
class _Attempt:
    """An attempt, its chain, and the lineage that its tokens must have."""

    number: int
    chain: Chain
    expected_lineage: tuple[StageRun, ...]


class _Phase(Enum):
    PLANNING = auto()
    RUNNING = auto()
    SETTLING = auto()  # A retry waits until the first stage confirms a tombstone.
    DONE = auto()


class RequestLifecycle:
    """State machine of one request.

    :param layer_count: number of layers of the model; the lineage of each token
        must cover all of them.
    """

    def __init__(
        self, request: GenerateRequest, layer_count: int, limits: LifecycleLimits
    ) -> None:
        self._request = request
        self._layer_count = layer_count
        self._limits = limits
        self._phase = _Phase.PLANNING
        self._opened = 0
        # The number of attempts that have ended, except those that another one outran.
        self._replaced = 0
        self._current = _Attempt(0, Chain(()), ())
        # An older attempt on silent hosts, in progress beside the current one.
        self._kept: _Attempt | None = None
        self._emitted: list[Token] = []
        # Hosts that no new attempt may use: for good, until the answer goes on, and
        # while the current attempt is on a silent host.
        self._excluded: set[str] = set()
        self._suspected: set[str] = set()
        self._refused_beside: set[str] = set()
        # Whether a chain is sought for an attempt beside the current one.
        self._seeking = False
        self._may_have_run = False
        self._refusing_hosts: list[str] = []
        self._last_error: RailfoldError | None = None

    @property
    def done(self) -> bool:
        """Whether the request has its final outcome."""
        return self._phase is _Phase.DONE

    @property
    def attempt(self) -> int:
        """The number of the newest attempt; 0 before the first."""
        return self._opened

    @property
    def chain(self) -> Chain:
        """The chain of the newest open attempt; of the last one if none is open."""
        return self._current.chain

    def is_open(self, attempt: int) -> bool:
        """Return whether an attempt is running, or kept beside the one that is."""
        return (
            self._phase is _Phase.RUNNING and self._open_attempt_of(attempt) is not None
        )

    @property
    def emitted(self) -> Sequence[Token]:
        """Tokens sent to the caller so far."""
        return self._emitted

    def start(self) -> list[LifecycleAction]:
        """Return the first action, which asks for a chain."""
        return [PlanChain(frozenset(), (), is_retry=False)]

    def apply(self, event: LifecycleEvent) -> list[LifecycleAction]:
        """Process one event; return the actions to perform, in order.

        Events after the final outcome are ignored.
        """
        if self.done:
            return []
        match event:
            case ChainPlanned(chain=chain):
                return self._open_attempt(chain)
            case PlanRefused(error=error, retry_after_s=retry_after_s):
                if self._phase is not _Phase.PLANNING:
                    self._stop_seeking()
                    return []
                return self._finish_without_answer(error, retry_after_s)
            case TokenArrived():
                return self._on_token(event)
            case StageRefused(attempt=attempt, host=host, reason=reason):
                return self._on_stage_refused(attempt, host, reason)
            case StageFailed(attempt=attempt, host=host, reason=reason):
                return self._on_stage_failed(attempt, host, reason)
            case HostsLost(hosts=hosts):
                return self._on_hosts_lost(hosts)
            case HostsSuspected(hosts=hosts):
                return self._on_hosts_suspected(hosts)
            case TombstoneReplied():
                return self._on_tombstone(event)
            case TokenOverdue():
                return self._on_token_overdue()
            case DeadlinePassed():
                error = DeadlineExpiredError(
                    "the request's deadline passed before its answer was complete",
                    hint="allow a longer deadline, or ask for fewer tokens",
                )
                return self._abort(error)
            case CallerDisconnected():
                return self._abort(EngineError("the caller closed its connection"))
            case GivenUp(error=error, retry_after_s=retry_after_s):
                return self._abort(error, retry_after_s)

    def _open_attempt(self, chain: Chain) -> list[LifecycleAction]:
        if self._seeking:
            self._seeking = False
            self._kept = self._current
        elif self._phase is not _Phase.PLANNING:
            return []
        self._phase = _Phase.RUNNING
        self._opened += 1
        self._current = _Attempt(
            self._opened,
            chain,
            expected_lineage(chain, self._opened, self._layer_count),
        )
        emitted = tuple(token.token_id for token in self._emitted)
        return [OpenAttempt(self._opened, chain, emitted)]

    def _open_attempt_of(self, number: int) -> _Attempt | None:
        if number == self._current.number:
            return self._current
        kept = self._kept
        return kept if kept is not None and number == kept.number else None

    def _on_token(self, event: TokenArrived) -> list[LifecycleAction]:
        # Even a token that is dropped below shows that an attempt ran.
        self._may_have_run = True
        attempt = self._open_attempt_of(event.attempt)
        if self._phase is not _Phase.RUNNING or attempt is None:
            return []
        if event.token.step != len(self._emitted):
            return []  # A duplicate, or a token after one that was lost.
        try:
            check_lineage(event.lineage, attempt.expected_lineage)
        except LineageError as error:
            return self._end(attempt, error, ())
        self._emitted.append(event.token)
        actions: list[LifecycleAction] = [EmitToken(event.token)]
        actions += self._settle_on(attempt)
        if event.token.final or len(self._emitted) >= self._request.max_tokens:
            actions.append(_cancel(attempt))
            actions += self._finish(Answered())
        return actions

    def _settle_on(self, attempt: _Attempt) -> list[LifecycleAction]:
        """Go on with the attempt that sent a token, and cancel the other one."""
        self._stop_seeking()
        self._suspected.clear()
        if self._kept is None:
            return []
        other = self._kept
        if attempt is self._kept:
            other = self._current
        else:
            self._replaced += 1
        self._current, self._kept = attempt, None
        return [_cancel(other)]

    def _stop_seeking(self) -> None:
        self._seeking = False
        self._refused_beside.clear()

    def _on_stage_refused(
        self, number: int, host: str, reason: str
    ) -> list[LifecycleAction]:
        attempt = self._open_attempt_of(number)
        if self._phase is not _Phase.RUNNING or attempt is None:
            return []
        error = NoCapacityError(f"host {host} refused the request", why=reason)
        self._refusing_hosts.append(host)
        if host == attempt.chain.stages[0].host:
            # Only the first stage starts an attempt: if it didn't start there,
            # it didn't run at any stage.
            return self._end(attempt, error, (host,))
        return self._end_when_safe(attempt, error, (host,))

    def _on_stage_failed(
        self, number: int, host: str, reason: str
    ) -> list[LifecycleAction]:
        attempt = self._open_attempt_of(number)
        if self._phase is not _Phase.RUNNING or attempt is None:
            return []
        error = EngineUnavailableError(f"stage at host {host} failed", why=reason)
        return self._end_when_safe(attempt, error, (host,))

    def _on_hosts_lost(self, hosts: frozenset[str]) -> list[LifecycleAction]:
        cancel: list[LifecycleAction] = []
        if self._kept is not None and hosts.intersection(self._kept.chain.hosts):
            self._excluded.update(hosts.intersection(self._kept.chain.hosts))
            cancel = self._drop_kept()
        affected = hosts.intersection(self.chain.hosts)
        if not affected or self._phase not in (_Phase.RUNNING, _Phase.SETTLING):
            return cancel
        names = ", ".join(sorted(affected))
        error = EngineUnavailableError(
            f"host {names} was lost", why="its link broke or it doesn't answer"
        )
        if self.chain.stages[0].host in affected:
            # Only the first stage could prove that the request didn't start.
            self._may_have_run = True
            return [*cancel, *self._end(self._current, error, tuple(sorted(affected)))]
        if self._phase is _Phase.SETTLING:
            self._excluded.update(affected)
            return []
        exclude = tuple(sorted(affected))
        return [*cancel, *self._end_when_safe(self._current, error, exclude)]

    def _on_hosts_suspected(self, hosts: frozenset[str]) -> list[LifecycleAction]:
        affected = hosts.intersection(self.chain.hosts)
        if not affected or self._phase is not _Phase.RUNNING:
            return []
        self._suspected |= affected
        return self._seek()

    def _seek(self) -> list[LifecycleAction]:
        """Look for a chain for an attempt beside the one on a suspected host."""
        # An attempt that isn't repeatable has to be awaited.
        attempts = self._replaced + 1
        if not self._request.repeatable or attempts >= self._limits.max_attempts:
            return []
        if self._kept is not None:
            return []
        self._seeking = True
        exclude = self._excluded | self._suspected | self._refused_beside
        return [self._plan_another(exclude)]

    def _drop_kept(self) -> list[LifecycleAction]:
        """Cancel the attempt that is kept, which has ended; the newer one goes on."""
        assert self._kept is not None
        cancel = _cancel(self._kept)
        self._kept = None
        self._replaced += 1
        self._may_have_run = True
        return [cancel]

    def _end(
        self, attempt: _Attempt, error: RailfoldError, exclude: tuple[str, ...]
    ) -> list[LifecycleAction]:
        """Cancel an attempt that has ended; go on with the other one or retry."""
        if self._kept is None:
            return self._retry(error, exclude)
        if attempt is self._kept:
            self._excluded.update(exclude)
            return self._drop_kept()
        self._may_have_run = True
        self._current, self._kept = self._kept, None
        # The hosts are only left out of this search: a full one may have room later.
        self._refused_beside.update(exclude)
        return [_cancel(attempt), *self._seek()]

    def _plan_another(self, exclude: set[str]) -> PlanChain:
        prefer = tuple(host for host in self.chain.hosts if host not in exclude)
        return PlanChain(frozenset(exclude), prefer, is_retry=True)

    def _end_when_safe(
        self, attempt: _Attempt, error: RailfoldError, exclude: tuple[str, ...]
    ) -> list[LifecycleAction]:
        if self._request.repeatable or self._may_have_run:
            self._may_have_run = True
            return self._end(attempt, error, exclude)
        # A request that isn't repeatable is only retried after proof that the
        # first stage didn't run it.
        self._phase = _Phase.SETTLING
        self._last_error = error
        self._excluded.update(exclude)
        return [_cancel(self._current)]

    def _on_tombstone(self, event: TombstoneReplied) -> list[LifecycleAction]:
        if self._phase is not _Phase.SETTLING or event.attempt != self._opened:
            return []
        if event.host != self.chain.stages[0].host:
            return []
        self._may_have_run = self._may_have_run or event.started
        error = self._last_error or EngineError("the attempt failed")
        if event.started:
            return self._retry(error, ())
        self._refusing_hosts.append(event.host)
        self._phase = _Phase.RUNNING
        return self._retry(error, ())

    def _retry(
        self, error: RailfoldError, exclude: tuple[str, ...]
    ) -> list[LifecycleAction]:
        self._last_error = error
        self._stop_seeking()
        self._suspected.clear()
        self._excluded.update(exclude)
        cancel = _cancel(self._current)
        if self._may_have_run and not self._request.repeatable:
            return [cancel, *self._finish(self._incomplete_outcome(error))]
        self._replaced += 1
        if self._replaced >= self._limits.max_attempts:
            return [cancel, *self._finish_without_answer(error, _RETRY_AFTER_S)]
        self._phase = _Phase.PLANNING
        return [cancel, self._plan_another(self._excluded)]

    def _on_token_overdue(self) -> list[LifecycleAction]:
        if self._phase is not _Phase.RUNNING:
            return []
        return [ProbeStages(self.chain)]

    def _abort(
        self, error: RailfoldError, retry_after_s: float = _RETRY_AFTER_S
    ) -> list[LifecycleAction]:
        cancel: list[LifecycleAction] = []
        if self._phase in (_Phase.RUNNING, _Phase.SETTLING):
            self._may_have_run = True  # There is no proof that it didn't run.
            kept = [] if self._kept is None else [self._kept]
            cancel = [_cancel(attempt) for attempt in (*kept, self._current)]
        return [*cancel, *self._finish_without_answer(error, retry_after_s)]

    def _finish_without_answer(
        self, error: RailfoldError, retry_after_s: float
    ) -> list[LifecycleAction]:
        if self._may_have_run:
            return self._finish(self._incomplete_outcome(error, retry_after_s))
        if self._refusing_hosts:
            hosts = tuple(dict.fromkeys(self._refusing_hosts))
            proof = RefusedBeforeStart(hosts)
            return self._finish(NotRun(proof, error, retry_after_s))
        return self._finish(NotRun(NeverSent(), error, retry_after_s))

    def _incomplete_outcome(
        self, error: RailfoldError, retry_after_s: float | None = None
    ) -> Outcome:
        # An emitted token proves that the request ran, and the answer is
        # incomplete: the outcome is known.
        if self._emitted:
            return Failed(error, retry_after_s)
        return Unknown(error, retry_after_s)

    def _finish(self, outcome: Outcome) -> list[LifecycleAction]:
        self._phase = _Phase.DONE
        return [Finish(outcome)]


def _cancel(attempt: _Attempt) -> CancelAttempt:
    return CancelAttempt(attempt.number, attempt.chain)
