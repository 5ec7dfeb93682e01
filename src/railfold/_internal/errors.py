"""The exceptions of railfold, all derived from :class:`RailfoldError`.

An error says what went wrong, why, and what to do about it. The ``code`` of a class is
part of the public interface: it appears in answers, logs and metrics.
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
    "EntryStoppingError",
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
    """Base class of all errors.

    :param what: what went wrong, in one sentence.
    :param why: the cause, as far as it is known.
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
    """The process can't listen on an address that the settings name."""

    code = "listen_failed"


class SettingsError(RailfoldError):
    """A settings file is invalid.

    :param path: path of the file.
    :param faults: all faults found in it.
    """

    code = "settings_invalid"

    def __init__(self, path: str, faults: list[str]) -> None:
        self.faults = faults
        super().__init__(
            f"settings file {path} has {len(faults)} fault(s)",
            why="; ".join(faults),
            hint="correct every fault listed, then run 'railfold check' again",
        )


class RequestError(RailfoldError):
    """A caller's request is refused before any part of it was sent to an agent."""

    code = "request_refused"


class InvalidRequestError(RequestError):
    """The request's body, or one of its headers or fields, is invalid."""

    code = "invalid_request"


class BodyTooLargeError(RequestError):
    """The request's body exceeds the size limit."""

    code = "body_too_large"


class HeadersTooLargeError(RequestError):
    """The request's headers exceed the size limit."""

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
    """The request's deadline has passed, or the request can't complete before it."""

    code = "deadline_expired"


class DuplicateKeyError(RequestError):
    """An earlier request has used the same idempotency key."""

    code = "duplicate_key"


class OverloadedError(RequestError):
    """A limit of the workspace or of the whole system is reached."""

    code = "overloaded"


class NoCapacityError(RequestError):
    """The live backend servers can't serve the pipeline or service.

    They don't run all layers of the pipeline, or none of them provides the service.
    """

    code = "no_capacity"


class RoomShortError(NoCapacityError):
    """Engines have no capacity, or reserve it for requests that go first.

    :param served_share: share of similar requests that found capacity recently, 0 to 1.
    :param left_s: time until the client's deadline.
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
    """Admission refused a request.

    :param error: the reason, which the answer to the caller reports.
    :param retry_after_s: delay after which the caller should retry.
    """

    code = "admission_refused"

    def __init__(self, error: RequestError, retry_after_s: float) -> None:
        self.error = error
        self.retry_after_s = retry_after_s
        super().__init__(error.what, why=error.why, hint=error.hint)


class QueueFullError(RailfoldError):
    """A queue of waiting requests has reached one of its limits."""

    code = "queue_full"


class SupervisorFailedError(RailfoldError):
    """A supervisor's children failed more often than its restart limit allows."""

    code = "supervisor_failed"


class ChildEndedError(RailfoldError):
    """A supervisor's child returned, although children run until cancelled."""

    code = "child_ended"


class PolicyRefusedError(RequestError):
    """The workspace's policy refuses the request."""

    code = "policy_refused"


class NotReadyError(RequestError):
    """The process has no configuration yet, or is draining."""

    code = "not_ready"


class EntryStoppingError(RequestError):
    """The entry is being stopped, and the request can't be finished before its end."""

    code = "entry_stopping"


class ConfigurationStaleError(RequestError):
    """The process's copy of the configuration is too old to be trusted."""

    code = "configuration_stale"


class RequestNotQuarantinedError(RailfoldError):
    """No quarantined request has the content that the operator named."""

    code = "request_not_held"


class RequestNotLoggedError(RailfoldError):
    """The log has no line about the request that the operator named."""

    code = "request_not_logged"


class LineageError(RailfoldError):
    """A token's lineage doesn't run each layer exactly once and in order."""

    code = "lineage_invalid"


class LinkProtocolError(RailfoldError):
    """A peer sent a frame that violates the link protocol."""

    code = "link_protocol"


class LinkClosedError(RailfoldError):
    """The link to a peer is closed or can't be opened."""

    code = "link_closed"


class RepeatedCrashesError(RequestError):
    """Backend servers crashed while running requests with the same content.

    Requests have the same content if their path, caller and body are the same.
    """

    code = "repeated_crashes"


class RequestOnTrialError(RequestError):
    """Requests with the same content may crash their servers, so this one must wait.

    Until it is known whether they do, only one such request is tried at a time.

    :param left_s: time until the next one may be tried.
    """

    code = "request_on_trial"

    def __init__(
        self, what: str, *, left_s: float, why: str = "", hint: str = ""
    ) -> None:
        self.left_s = left_s
        super().__init__(what, why=why, hint=hint)


class RateLimitedError(RequestError):
    """The rate limits that the backend servers announce are used up.

    :param left_s: time until one of the servers may accept the next request.
    """

    code = "rate_limited"

    def __init__(
        self, what: str, *, left_s: float, why: str = "", hint: str = ""
    ) -> None:
        self.left_s = left_s
        super().__init__(what, why=why, hint=hint)


class ServersBackingOffError(RequestError):
    """All backend servers that could serve the request asked this entry to back off.

    :param left_s: time until the first backoff ends.
    :param service: name of the service that the servers provide.
    """

    code = "servers_backing_off"

    def __init__(
        self, what: str, *, left_s: float, service: str, why: str = "", hint: str = ""
    ) -> None:
        self.left_s = left_s
        self.service = service
        super().__init__(what, why=why, hint=hint)


class ServerNotEligibleError(RequestError):
    """The chosen backend server doesn't accept requests any more.

    Nothing was sent to it, so another server may serve the request.
    """

    code = "server_not_eligible"


class MemoryQuotaExceededError(RequestError):
    """The request's workspace has used up its quota of the entry's memory."""

    code = "memory_short"


class PeerMessageError(RailfoldError):
    """A message or record from another entry is malformed or not authentic."""

    code = "peer_message"


class EngineError(RailfoldError):
    """A backend server refused a call, or failed to execute it."""

    code = "engine_failed"


class EngineUnavailableError(EngineError):
    """A backend server didn't answer; the call may have run."""

    code = "engine_unavailable"


class LeaseLostError(EngineError):
    """The lease that allows an order to an engine has expired."""

    code = "lease_lost"


class LogUnavailableError(RailfoldError):
    """The platform's log can't be reached or refused a request."""

    code = "log_unavailable"


class RecordsExpiredError(LogUnavailableError):
    """The log has deleted the records at the requested offset by its retention."""

    code = "records_expired"


class WriteUnsettledError(LogUnavailableError):
    """The answer to an append was lost; whether it took effect isn't known yet."""

    code = "write_unsettled"


class ProcessUnreachableError(RailfoldError):
    """The operator port of a process doesn't answer."""

    code = "process_unreachable"


class VersionNotInForceError(RailfoldError):
    """A configuration version didn't take effect in all processes in time."""

    code = "version_not_in_force"


class ConfigurationRefusedError(RailfoldError):
    """A configuration change is invalid.

    :param target: the object that the change is about.
    :param faults: all faults found in the change.
    """

    code = "configuration_refused"

    def __init__(self, target: str, faults: list[str]) -> None:
        self.faults = faults
        super().__init__(
            f"change of {target} is refused",
            why="; ".join(faults),
            hint="correct every fault listed and publish again",
        )


class ConfigurationConflictError(RailfoldError):
    """Another change of the same object precedes this change in the log."""

    code = "configuration_conflict"
