"""State of one call, at its entry and at the agent that passes it on.

A call is sent to a host: a replica of a plain service, or the first backend server of a
chain that forwards the call itself. The state machine has no I/O and no clock:
:meth:`CallLifecycle.apply` takes one event and returns the actions to perform, in
order.

A host that doesn't respond may be dead, or may have paused. An attempt ends only if its
failure is certain or if another attempt has taken the call over, so that a suspicion
alone never ends a call:

==========  =====================  =======  ============================================
state       attempts in progress   search   left by
==========  =====================  =======  ============================================
waiting     none                   yes      a host, or the final outcome
answering   one that is trusted    no       an answer, its end, or a suspicion
suspected   only suspected ones    at       a response (answering), a host (tried
                                   times    elsewhere), the end of all (waiting)
tried       suspected ones and     no       a response, which ends all others; the end
elsewhere   one that is trusted             of, or a suspicion against, the trusted one
                                            (suspected); the end of all others
done        none                   no
==========  =====================  =======  ============================================

A response is a part of the answer that reaches the caller. Without one, the first
complete answer ends the call.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

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
    "CallHostResponded",
    "CallHostSuspected",
    "CallLifecycle",
    "CallLimits",
    "CallNotSent",
    "CallRegister",
    "CancelAttempt",
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
    :param unsent_host: the host that was chosen, if the call must not be sent any more.
    """

    error: RailfoldError
    retry_after_s: float
    unsent_host: str = ""


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
class CallHostSuspected:
    """The host doesn't respond, but may go on with the call.

    It may be reported again, to look for another host once more.
    """

    host: str


@dataclass(frozen=True, slots=True)
class CallHostResponded:
    """The host has sent a part of the answer, so that it runs the call.

    :param unsent: hosts that were chosen and haven't received the call yet.
    """

    host: str
    unsent: frozenset[str] = frozenset()


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
    | CallHostSuspected
    | CallHostResponded
    | CallDeadlinePassed
    | CallCallerDisconnected
    | CallGivenUp
)


@dataclass(frozen=True, slots=True)
class ChooseHost:
    """Choose a host that isn't in ``exclude``.

    :param is_retry: whether the call was sent before, so that the retry budget
        applies.
    :param on_suspicion: whether an attempt is still in progress that may go on.
    """

    exclude: frozenset[str]
    is_retry: bool
    on_suspicion: bool = False


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the call to ``host``."""

    host: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel the attempt at ``host``, since another one has taken the call over."""

    host: str


@dataclass(frozen=True, slots=True)
class FinishCall:
    """End the call with its final outcome; no other action follows."""

    outcome: Outcome


CallAction = ChooseHost | SendCall | CancelAttempt | FinishCall

_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on the retries of one call.

    :param max_sends: how many times the call is sent. A refused send costs the
        hosts little.
    :param max_lost_hosts: how many hosts may run the call. A host that was lost, or
        is suspected, after the call was sent to it counts as one of them.
    """

    max_sends: int = 4
    max_lost_hosts: int = 4


class CallLifecycle:
    """State machine of one call at its entry.

    :param repeatable: whether the call may run more than once. If not, there is never
        a second attempt while the first one may run.
    """

    def __init__(self, *, repeatable: bool, limits: CallLimits) -> None:
        self._repeatable = repeatable
        self._limits = limits
        # Whether each host with an attempt in progress is trusted to answer; if not, it
        # is suspected. At most one is trusted.
        self._attempts: dict[str, bool] = {}
        # The search for a host that is in progress, if any.
        self._search: ChooseHost | None = None
        self._done = False
        self._host = ""
        self._sends = 0
        # Hosts whose attempts have ended although they may have run the call.
        self._hosts_that_ran: set[str] = set()
        self._excluded: set[str] = set()
        # Excluded hosts that refused the call while another attempt was in progress.
        self._refused_beside: set[str] = set()
        self._may_have_run = False

    @property
    def done(self) -> bool:
        """Whether the call has its final outcome."""
        return self._done

    @property
    def host(self) -> str:
        """The host that the call was last sent to; empty before the first send."""
        return self._host

    def start(self) -> list[CallAction]:
        """Return the first action, which asks for a host."""
        return self._choose()

    def apply(self, event: CallEvent) -> list[CallAction]:
        """Process one event; return the actions to perform, in order.

        Events after the final outcome are ignored, and so are those of hosts without an
        attempt in progress.
        """
        if self.done:
            return []
        match event:
            case CallHostChosen(host=host):
                return self._send(host)
            case NoHost(error=error, retry_after_s=retry_after_s, unsent_host=host):
                return self._no_host(error, retry_after_s, host)
            case CallAnswered(host=host):
                return self._finish(Answered()) if host in self._attempts else []
            case CallHostRefused(host=host, started=started, reason=reason):
                error = NoCapacityError(f"host {host} gave no answer", why=reason)
                return self._attempt_ended(host, error, may_have_run=started)
            case CallNotSent(host=host, reason=reason):
                error = NoCapacityError(f"host {host} takes no call", why=reason)
                return self._attempt_ended(host, error, was_sent=False)
            case CallHostLost(host=host):
                lost_error = EngineUnavailableError(
                    f"host {host} was lost while it had the call"
                )
                return self._attempt_lost(host, lost_error)
            case CallHostSuspected(host=host):
                return self._suspect(host)
            case CallHostResponded(host=host, unsent=unsent):
                return self._prefer(host, unsent)
            case CallDeadlinePassed():
                error = DeadlineExpiredError(
                    "the call's deadline passed before its answer came"
                )
                return self._finish_without_answer(error, _RETRY_AFTER_S)
            case CallCallerDisconnected():
                error = EngineError("the caller closed its connection")
                return self._finish_without_answer(error, _RETRY_AFTER_S)
            case CallGivenUp(error=error, retry_after_s=retry_after_s):
                return self._finish_without_answer(error, retry_after_s)

    def _choose(self) -> list[CallAction]:
        exclude = frozenset({*self._excluded, *self._attempts})
        self._search = ChooseHost(
            exclude, is_retry=bool(exclude), on_suspicion=bool(self._attempts)
        )
        return [self._search]

    def _send(self, host: str) -> list[CallAction]:
        if self._search is None:
            return []
        self._search = None
        self._attempts[host] = True
        self._host = host
        self._sends += 1
        return [SendCall(host)]

    def _no_host(
        self, error: RailfoldError, retry_after_s: float, unsent_host: str
    ) -> list[CallAction]:
        search, self._search = self._search, None
        self._attempts.pop(unsent_host, None)
        if self._attempts:
            return []  # One of them may still answer.
        if search is not None and search.on_suspicion:
            return self._choose()  # The attempt that was suspected has ended since.
        return self._finish_without_answer(error, retry_after_s)

    def _attempt_lost(self, host: str, error: RailfoldError) -> list[CallAction]:
        if host in self._attempts:
            self._hosts_that_ran.add(host)
            # They may have room by now, and the call needs them more than before.
            self._excluded -= self._refused_beside
            self._refused_beside.clear()
        return self._attempt_ended(host, error, may_have_run=True)

    def _attempt_ended(
        self,
        host: str,
        error: RailfoldError,
        *,
        may_have_run: bool = False,
        was_sent: bool = True,
    ) -> list[CallAction]:
        """Look for another host, unless an attempt or a search is in progress.

        :param was_sent: whether the host received the call; if not, a later search may
            find it again.
        """
        if self._attempts.pop(host, None) is None:
            return []
        self._may_have_run = self._may_have_run or may_have_run
        if was_sent:
            self._excluded.add(host)
        if self._attempts and not may_have_run:
            self._refused_beside.add(host)
        if self._search is not None or any(self._attempts.values()):
            return []
        if self._may_choose():
            return self._choose()
        if self._attempts:
            return []
        return self._finish_without_answer(error, _RETRY_AFTER_S)

    def _may_choose(self) -> bool:
        """Return whether the call may be sent to one more host."""
        may_have_run = self._may_have_run or bool(self._attempts)
        if may_have_run and not self._repeatable:
            return False
        hosts_that_may_run = len(self._hosts_that_ran.union(self._attempts))
        limits = self._limits
        # One send is left for the certain loss of an attempt that is suspected.
        reserved_sends = 1 if self._attempts else 0
        return (
            self._sends + reserved_sends < limits.max_sends
            and hosts_that_may_run < limits.max_lost_hosts
        )

    def _suspect(self, host: str) -> list[CallAction]:
        if host not in self._attempts:
            return []
        self._attempts[host] = False
        if self._search is not None or any(self._attempts.values()):
            return []
        return self._choose() if self._may_choose() else []

    def _prefer(self, host: str, unsent: frozenset[str]) -> list[CallAction]:
        """Cancel all other attempts and the search for another host.

        The other hosts haven't failed, so that a later search may find them again.
        """
        if host not in self._attempts:
            return []
        others = [other for other in self._attempts if other != host]
        sent = set(others) - unsent
        self._hosts_that_ran.update(sent)
        self._may_have_run = self._may_have_run or bool(sent)
        self._attempts = {host: True}
        self._search = None
        return [CancelAttempt(other) for other in others]

    def _finish_without_answer(
        self, error: RailfoldError, retry_after_s: float
    ) -> list[CallAction]:
        self._may_have_run = self._may_have_run or bool(self._attempts)
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
        self._done = True
        self._attempts.clear()
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
