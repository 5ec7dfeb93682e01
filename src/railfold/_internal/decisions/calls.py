"""The life of one call, at its entry and at its agent.

A call goes to one host at a time: a plain service, or the first backend server
of a chain that forwards the call itself.
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
    """The host to send the call to."""

    host: str


@dataclass(frozen=True, slots=True)
class NoHost:
    """No host can take the call now, or no retry is allowed."""

    error: RailfoldError
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The service answered."""

    host: str


@dataclass(frozen=True, slots=True)
class CallHostRefused:
    """The agent gave no answer; ``started`` tells if the call may have run."""

    host: str
    started: bool
    reason: str


@dataclass(frozen=True, slots=True)
class CallNotSent:
    """Nothing was sent, since the host takes no calls any more; others may."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class CallHostLost:
    """The host is dead, replaced or unreachable, or broke its answer off.

    It counts as one that ran the call: neither silence nor a missing registration
    proves that it has ended.
    """

    host: str


@dataclass(frozen=True, slots=True)
class CallDeadlinePassed:
    """The call's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallCallerDisconnected:
    """The caller closed its connection."""


CallEvent = (
    CallHostChosen
    | NoHost
    | CallAnswered
    | CallHostRefused
    | CallNotSent
    | CallHostLost
    | CallDeadlinePassed
    | CallCallerDisconnected
)


@dataclass(frozen=True, slots=True)
class ChooseHost:
    """Choose a host outside ``exclude``."""

    exclude: frozenset[str]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the call to ``host``."""

    host: str


@dataclass(frozen=True, slots=True)
class FinishCall:
    """The final outcome; nothing follows it."""

    outcome: Outcome


CallAction = ChooseHost | SendCall | FinishCall

_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Bounds of one call.

    :param max_sends: how often it is sent; refused tries cost little.
    :param max_lost_hosts: how many hosts may run it.
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
        """Whether the final outcome was given."""
        return self._phase is _Phase.DONE

    @property
    def host(self) -> str:
        """The host the call was sent to last."""
        return self._host

    def excluded_after_loss(self) -> frozenset[str] | None:
        """Return which hosts are left out if the call's host is lost now.

        Nothing if the call would be given up.
        """
        cannot_retry = self._phase is not _Phase.SENT or not self._repeatable
        if cannot_retry or self._limits_reached(self._lost_hosts + 1):
            return None
        return frozenset({*self._excluded, self._host})

    def _limits_reached(self, lost_hosts: int) -> bool:
        limits = self._limits
        return self._sends >= limits.max_sends or lost_hosts >= limits.max_lost_hosts

    def start(self) -> list[CallAction]:
        """Begin: ask for a host."""
        return [ChooseHost(frozenset(), is_retry=False)]

    def apply(self, event: CallEvent) -> list[CallAction]:
        """Take one event; return what to do about it."""
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
        """Choose again; a retry is only what follows a call that was sent."""
        if self._phase is not _Phase.SENT or host != self._host:
            return []
        if self._limits_reached(self._lost_hosts):
            return self._finish_without_answer(error, _RETRY_AFTER_S)
        self._phase = _Phase.CHOOSING
        excluded = frozenset(self._excluded)
        return [ChooseHost(excluded, is_retry=bool(excluded))]

    def _abort(self, error: RailfoldError) -> list[CallAction]:
        self._may_have_run = self._may_have_run or self._phase is _Phase.SENT
        return self._finish_without_answer(error, _RETRY_AFTER_S)

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
        # Coming back with a new request could run it twice: no Retry-After.
        return self._finish(Unknown(error))

    def _finish(self, outcome: Outcome) -> list[CallAction]:
        self._phase = _Phase.DONE
        return [FinishCall(outcome)]


class CallRegister:
    """An agent's memory of the calls it has passed on, bounded.

    A request id is passed on at most once in an agent's life.
    """

    def __init__(self, max_remembered: int = 65536) -> None:
        self._max_remembered = max_remembered
        self._seen: OrderedDict[str, None] = OrderedDict()
        self.draining = False
        self.running = 0

    def admit(self, request_id: str) -> bool:
        """Return whether the call may be passed on; remembers it if so."""
        if request_id in self._seen:
            return False
        self._seen[request_id] = None
        if len(self._seen) > self._max_remembered:
            self._seen.popitem(last=False)
        return True
