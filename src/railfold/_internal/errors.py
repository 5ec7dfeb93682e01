"""Every error railfold raises, as one tree.

An error says what went wrong, why, and what to do about it. The ``code`` of a
class is part of the interface: it appears in answers, logs and metrics.
"""

from __future__ import annotations

from typing import ClassVar

__all__ = [
    "AdmissionRefusedError",
    "BodyTooLargeError",
    "ChildEndedError",
    "ConfigurationConflictError",
    "ConfigurationRefusedError",
    "ConfigurationStaleError",
    "DeadlineExpiredError",
    "DuplicateKeyError",
    "EngineError",
    "EngineUnavailableError",
    "HeadersTooLargeError",
    "InvalidRequestError",
    "LeaseLostError",
    "LineageError",
    "LinkClosedError",
    "LinkProtocolError",
    "ListenError",
    "LogUnavailableError",
    "MemoryQuotaExceededError",
    "NoCapacityError",
    "NotReadyError",
    "OverloadedError",
    "PeerMessageError",
    "PolicyRefusedError",
    "ProcessUnreachableError",
    "QueueFullError",
    "RailfoldError",
    "RateLimitedError",
    "RecordsExpiredError",
    "RepeatedCrashesError",
    "RequestError",
    "RequestNotLoggedError",
    "RequestNotQuarantinedError",
    "RequestTimeoutError",
    "RoomShortError",
    "ServerNotEligibleError",
    "ServersBackingOffError",
    "SettingsError",
    "SupervisorFailedError",
    "UnauthorizedError",
    "UnknownTargetError",
    "VersionNotInForceError",
    "WriteUnsettledError",
]


class RailfoldError(Exception):
    """Base of all errors.

    :param what: what went wrong, one sentence.
    :param why: the cause as far as it is known.
    :param hint: what the reader can do about it.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, what: str, *, why: str = "", hint: str = "") -> None:
        self.what = what
        self.why = why
        self.hint = hint
        super().__init__(what)

    def __str__(self) -> str:
        parts = [self.what]
        if self.why:
            parts.append(f"Cause: {self.why}")
        if self.hint:
            parts.append(f"Hint: {self.hint}")
        return "\n".join(parts)


class ListenError(RailfoldError):
    """An address that the settings name can't be listened on."""

    code = "listen_failed"


class SettingsError(RailfoldError):
    """A settings file is refused; ``faults`` lists every fault found."""

    code = "settings_invalid"

    def __init__(self, path: str, faults: list[str]) -> None:
        self.faults = faults
        super().__init__(
            f"settings file {path} has {len(faults)} fault(s)",
            why="; ".join(faults),
            hint="correct every fault listed, then run 'railfold check' again",
        )


class RequestError(RailfoldError):
    """A caller's request is refused before anything was sent to an agent."""

    code = "request_refused"


class InvalidRequestError(RequestError):
    """The request's body, header or field is malformed."""

    code = "invalid_request"


class BodyTooLargeError(RequestError):
    """The request's body is over the limit."""

    code = "body_too_large"


class HeadersTooLargeError(RequestError):
    """The request's headers are over the limit."""

    code = "headers_too_large"


class RequestTimeoutError(RequestError):
    """The caller sent its request too slowly."""

    code = "request_timeout"


class UnauthorizedError(RequestError):
    """The workspace is unknown or its credential is wrong."""

    code = "unauthorized"


class UnknownTargetError(RequestError):
    """The pipeline or service doesn't exist for this workspace."""

    code = "unknown_target"


class DeadlineExpiredError(RequestError):
    """The request's deadline has passed or can't be met."""

    code = "deadline_expired"


class DuplicateKeyError(RequestError):
    """An earlier request holds the same idempotency key."""

    code = "duplicate_key"


class OverloadedError(RequestError):
    """The workspace's or the system's limit is reached."""

    code = "overloaded"


class NoCapacityError(RequestError):
    """No set of live backend servers covers the pipeline or service."""

    code = "no_capacity"


class RoomShortError(NoCapacityError):
    """Engines have no room, or it is kept for requests that go before.

    :param served_share: which part of such requests found room of late, from 0 to 1.
    :param left_s: until the caller gives up, in seconds.
    """

    code = "room_short"

    def __init__(
        self,
        what: str,
        *,
        served_share: float = 1.0,
        left_s: float = 0.0,
        why: str = "",
        hint: str = "",
    ) -> None:
        self.served_share = served_share
        self.left_s = left_s
        super().__init__(what, why=why, hint=hint)


class AdmissionRefusedError(RailfoldError):
    """A request wasn't admitted.

    :param error: why; this is what the caller is told.
    :param retry_after_s: when the caller should come back.
    """

    code = "admission_refused"

    def __init__(self, error: RequestError, retry_after_s: float) -> None:
        self.error = error
        self.retry_after_s = retry_after_s
        super().__init__(error.what, why=error.why, hint=error.hint)


class QueueFullError(RailfoldError):
    """A bound of a queue of waiting requests is reached."""

    code = "queue_full"


class SupervisorFailedError(RailfoldError):
    """Children failed more often than the restart limit allows."""

    code = "supervisor_failed"


class ChildEndedError(RailfoldError):
    """A child returned although children run until they are cancelled."""

    code = "child_ended"


class PolicyRefusedError(RequestError):
    """The workspace's policy refuses the request."""

    code = "policy_refused"


class NotReadyError(RequestError):
    """The process hasn't a configuration yet, or is draining."""

    code = "not_ready"


class ConfigurationStaleError(RequestError):
    """What is known of the configuration is too old to rely on."""

    code = "configuration_stale"


class RequestNotQuarantinedError(RailfoldError):
    """No request of a content is held back."""

    code = "request_not_held"


class RequestNotLoggedError(RailfoldError):
    """No log line is about a request."""

    code = "request_not_logged"


class LineageError(RailfoldError):
    """A token's layers weren't each run exactly once and in order."""

    code = "lineage_invalid"


class LinkProtocolError(RailfoldError):
    """A peer sent a frame that can't be read."""

    code = "link_protocol"


class LinkClosedError(RailfoldError):
    """A link to a peer is closed."""

    code = "link_closed"


class RepeatedCrashesError(RequestError):
    """Backend servers ended under requests with the same path, caller and body."""

    code = "repeated_crashes"


class RequestOnTrialError(RequestError):
    """Whether requests with the same content end their servers is being tried.

    :param left_s: until the next one may be tried, in seconds.
    """

    code = "request_on_trial"

    def __init__(
        self, what: str, *, left_s: float, why: str = "", hint: str = ""
    ) -> None:
        self.left_s = left_s
        super().__init__(what, why=why, hint=hint)


class RateLimitedError(RequestError):
    """Backend servers name how many requests a second they take, and get them already.

    :param left_s: until one of them may take the next, in seconds.
    """

    code = "rate_limited"

    def __init__(
        self, what: str, *, left_s: float, why: str = "", hint: str = ""
    ) -> None:
        self.left_s = left_s
        super().__init__(what, why=why, hint=hint)


class ServersBackingOffError(RequestError):
    """All backend servers that could serve asked this entry to send nothing for a time.

    :param left_s: until the first of them takes requests again, in seconds.
    :param service: theirs.
    """

    code = "servers_backing_off"

    def __init__(
        self, what: str, *, left_s: float, service: str, why: str = "", hint: str = ""
    ) -> None:
        self.left_s = left_s
        self.service = service
        super().__init__(what, why=why, hint=hint)


class ServerNotEligibleError(RequestError):
    """The backend server that was chosen takes no request any more.

    Nothing was sent, and another server may serve.
    """

    code = "server_not_eligible"


class MemoryQuotaExceededError(RequestError):
    """The entry holds as much for the request's workspace as it may."""

    code = "memory_short"


class PeerMessageError(RailfoldError):
    """What another entry is said to have sent can't be read or isn't from one."""

    code = "peer_message"


class EngineError(RailfoldError):
    """A backend server refused a call or failed."""

    code = "engine_failed"


class EngineUnavailableError(EngineError):
    """A backend server didn't answer; the call may or may not have run."""

    code = "engine_unavailable"


class LeaseLostError(EngineError):
    """The lease under which an order was to be given doesn't hold any more."""

    code = "lease_lost"


class LogUnavailableError(RailfoldError):
    """The platform's log can't be reached or refuses."""

    code = "log_unavailable"


class RecordsExpiredError(LogUnavailableError):
    """Records at the asked offset are gone: retention passed the reader."""

    code = "records_expired"


class WriteUnsettledError(LogUnavailableError):
    """An append's answer was lost and its effect isn't known yet."""

    code = "write_unsettled"


class ProcessUnreachableError(RailfoldError):
    """A process's operator port doesn't answer."""

    code = "process_unreachable"


class VersionNotInForceError(RailfoldError):
    """A configuration version isn't in force everywhere in time."""

    code = "version_not_in_force"


class ConfigurationRefusedError(RailfoldError):
    """A configuration change is invalid; ``faults`` lists every fault found."""

    code = "configuration_refused"

    def __init__(self, target: str, faults: list[str]) -> None:
        self.faults = faults
        super().__init__(
            f"change of {target} is refused",
            why="; ".join(faults),
            hint="correct every fault listed and publish again",
        )


class ConfigurationConflictError(RailfoldError):
    """Another change of the same object came first in the log."""

    code = "configuration_conflict"
