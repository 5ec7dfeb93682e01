"""State of one call, at its entry and at the agent that passes it on.

A call is sent to one host at a time: a replica of a plain service, or the first
backend server of a chain that forwards the call itself. The state machine has no
I/O and no clock: :meth:`CallLifecycle.apply` takes one event and returns the
actions to perform, in order.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

from railfold._internal.core import (
    Answered,
    Failed,
    NeverSent,
    NotRun,
    Outcome,
    RefusedBeforeStart,
    Unknown,
)
from railfold._internal.errors import (
    DeadlineExpiredError,
    EngineError,
    EngineUnavailableError,
    NoCapacityError,
    RailfoldError,
)

__all__ = [
    "CallAction",
    "CallAnswered",
    "CallCallerDisconnected",
    "CallDeadlinePassed",
    "CallEvent",
    "CallGivenUp",
    "CallHostChosen",
    "CallHostLost",
    "CallHostRefused",
    "CallLifecycle",
    "CallLimits",
    "CallNotSent",
    "CallRegister",
    "ChooseHost",
    "FinishCall",
    "NoHost",
    "SendCall",
]


@dataclass(frozen=True, slots=True)
class CallHostChosen:
    """A host was chosen for the call."""

    host: str


@dataclass(frozen=True, slots=True)
class NoHost:
    """No host can take the call now, or no retry is allowed.

    :param retry_after_s: after which time the caller may send the call again.
    """

    error: RailfoldError
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The host returned the whole answer."""

    host: str


@dataclass(frozen=True, slots=True)
class CallHostRefused:
    """The host refused the call or failed to answer it.

    :param started: whether the call may have run.
    """

    host: str
    started: bool
    reason: str


@dataclass(frozen=True, slots=True)
class CallNotSent:
    """Nothing was sent, because the host no longer takes calls; another host may."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class CallHostLost:
    """The host is dead, replaced or unreachable, or its answer broke off.

    The call counts as run: neither a host that doesn't answer nor one whose
    registration is missing is proven to have stopped working on the call.
    """

    host: str


@dataclass(frozen=True, slots=True)
class CallDeadlinePassed:
    """The call's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallCallerDisconnected:
    """The caller closed its connection before the outcome."""


@dataclass(frozen=True, slots=True)
class CallGivenUp:
    """The outcome can't be awaited any longer.

    :param retry_after_s: after which time the caller may send the call again.
    """

    error: RailfoldError
    retry_after_s: float


CallEvent = (
    CallHostChosen
    | NoHost
    | CallAnswered
    | CallHostRefused
    | CallNotSent
    | CallHostLost
    | CallDeadlinePassed
    | CallCallerDisconnected
    | CallGivenUp
)


@dataclass(frozen=True, slots=True)
class ChooseHost:
    """Choose a host that isn't in ``exclude``.

    :param is_retry: whether the call was sent before, so that the retry budget
        applies.
    """

    exclude: frozenset[str]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the call to ``host``."""

    host: str


@dataclass(frozen=True, slots=True)
class FinishCall:
    """End the call with its final outcome; no other action follows."""

    outcome: Outcome


CallAction = ChooseHost | SendCall | FinishCall

_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on the retries of one call.

    :param max_sends: how many times the call is sent. A refused send costs the
        hosts little.
    :param max_lost_hosts: the call ends when this many hosts were lost after it
        was sent to them, because each of them may have run it.
    """

    max_sends: int = 4
    max_lost_hosts: int = 4


class _Phase(Enum):
    CHOOSING = auto()
    SENT = auto()
    DONE = auto()


class CallLifecycle:
    """State machine of one call at its entry.

    :param repeatable: whether the call may run more than once.
    """

    def __init__(self, *, repeatable: bool, limits: CallLimits) -> None:
        self._repeatable = repeatable
        self._limits = limits
        self._lost_hosts = 0
        self._phase = _Phase.CHOOSING
        self._host = ""
        self._sends = 0
        self._excluded: set[str] = set()
        self._may_have_run = False

    @property
    def done(self) -> bool:
        """Whether the call has its final outcome."""
        return self._phase is _Phase.DONE

    @property
    def host(self) -> str:
        """The host that the call was last sent to; empty before the first send."""
        return self._host

    def excluded_after_loss(self) -> frozenset[str] | None:
        """Return the hosts that a retry would exclude if the current host is lost now.

        Return None if no retry would follow.
        """
        cannot_retry = self._phase is not _Phase.SENT or not self._repeatable
        if cannot_retry or self._limits_reached(self._lost_hosts + 1):
            return None
        return frozenset({*self._excluded, self._host})

    def _limits_reached(self, lost_hosts: int) -> bool:
        limits = self._limits
        return self._sends >= limits.max_sends or lost_hosts >= limits.max_lost_hosts

    def start(self) -> list[CallAction]:
        """Return the first action, which asks for a host."""
        return [ChooseHost(frozenset(), is_retry=False)]

    def apply(self, event: CallEvent) -> list[CallAction]:
        """Process one event; return the actions to perform, in order.

        Events after the final outcome are ignored.
        """
        if self.done:
            return []
        match event:
            case CallHostChosen(host=host):
                return self._send(host)
            case NoHost(error=error, retry_after_s=retry_after_s):
                return self._finish_without_answer(error, retry_after_s)
            case CallAnswered(host=host):
                return self._finish(Answered()) if host == self._host else []
            case CallHostRefused(host=host, started=started, reason=reason):
                error = NoCapacityError(f"host {host} gave no answer", why=reason)
                return self._retry(host, error, may_have_run=started)
            case CallNotSent(host=host, reason=reason):
                error = NoCapacityError(f"host {host} takes no call", why=reason)
                return self._choose_another(host, error)
            case CallHostLost(host=host):
                lost_error = EngineUnavailableError(
                    f"host {host} was lost while it had the call"
                )
                self._lost_hosts += 1
                return self._retry(host, lost_error, may_have_run=True)
            case CallDeadlinePassed():
                error = DeadlineExpiredError(
                    "the call's deadline passed before its answer came"
                )
                return self._abort(error)
            case CallCallerDisconnected():
                return self._abort(EngineError("the caller closed its connection"))
            case CallGivenUp(error=error, retry_after_s=retry_after_s):
                return self._abort(error, retry_after_s)

    def _send(self, host: str) -> list[CallAction]:
        if self._phase is not _Phase.CHOOSING:
            return []
        self._phase = _Phase.SENT
        self._host = host
        self._sends += 1
        return [SendCall(host)]

    def _retry(
        self, host: str, error: RailfoldError, *, may_have_run: bool
    ) -> list[CallAction]:
        if self._phase is not _Phase.SENT or host != self._host:
            return []
        self._may_have_run = self._may_have_run or may_have_run
        self._excluded.add(host)
        cannot_retry = self._may_have_run and not self._repeatable
        if cannot_retry or self._limits_reached(self._lost_hosts):
            return self._finish_without_answer(error, _RETRY_AFTER_S)
        self._phase = _Phase.CHOOSING
        return [ChooseHost(frozenset(self._excluded), is_retry=True)]

    def _choose_another(self, host: str, error: RailfoldError) -> list[CallAction]:
        """Ask for another host after nothing was sent to this one.

        The next send counts as a retry only if an earlier host received the call.
        """
        if self._phase is not _Phase.SENT or host != self._host:
            return []
        if self._limits_reached(self._lost_hosts):
            return self._finish_without_answer(error, _RETRY_AFTER_S)
        self._phase = _Phase.CHOOSING
        excluded = frozenset(self._excluded)
        return [ChooseHost(excluded, is_retry=bool(excluded))]

    def _abort(
        self, error: RailfoldError, retry_after_s: float = _RETRY_AFTER_S
    ) -> list[CallAction]:
        self._may_have_run = self._may_have_run or self._phase is _Phase.SENT
        return self._finish_without_answer(error, retry_after_s)

    def _finish_without_answer(
        self, error: RailfoldError, retry_after_s: float
    ) -> list[CallAction]:
        if not self._may_have_run and not self._excluded:
            return self._finish(NotRun(NeverSent(), error, retry_after_s))
        if not self._may_have_run:
            hosts = tuple(sorted(self._excluded))
            proof = RefusedBeforeStart(hosts)
            return self._finish(NotRun(proof, error, retry_after_s))
        if self._repeatable:
            return self._finish(Failed(error, retry_after_s))
        # No Retry-After: a new request from the caller could run the call twice.
        return self._finish(Unknown(error))

    def _finish(self, outcome: Outcome) -> list[CallAction]:
        self._phase = _Phase.DONE
        return [FinishCall(outcome)]


class CallRegister:
    """Request ids of the calls that an agent has passed on to its service.

    Each request id is passed on at most once, as long as it is remembered.

    :param max_remembered: how many ids are kept; the oldest are dropped first.
    """

    def __init__(self, max_remembered: int = 65536) -> None:
        self._max_remembered = max_remembered
        self._seen: OrderedDict[str, None] = OrderedDict()
        self.draining = False
        self.running = 0

    def admit(self, request_id: str) -> bool:
        """Return whether the call may be passed on; if so, remember its id."""
        if request_id in self._seen:
            return False
        self._seen[request_id] = None
        if len(self._seen) > self._max_remembered:
            self._seen.popitem(last=False)
        return True
