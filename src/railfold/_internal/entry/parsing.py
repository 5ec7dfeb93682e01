"""Parse and validate callers' HTTP requests."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.httputil import HTTPHeaders

from railfold._internal.core import GenerateRequest, ServiceRequest
from railfold._internal.decisions.configuration import (
    Configuration,
    Pipeline,
    Service,
    Workspace,
)
from railfold._internal.decisions.policy import PolicyDecision
from railfold._internal.errors import (
    DeadlineExpiredError,
    InvalidRequestError,
    PolicyRefusedError,
    UnauthorizedError,
    UnknownTargetError,
)
from railfold._internal.settings.models import CallerLimits

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENCY_HEADER",
    "PRIORITY_HEADER",
    "REPEATABLE_HEADER",
    "WORKSPACE_HEADER",
    "ParsedGenerate",
    "ParsedService",
    "RequestParser",
    "fingerprint",
]

WORKSPACE_HEADER = "Railfold-Workspace"
DEADLINE_HEADER = "Railfold-Deadline-Ms"
PRIORITY_HEADER = "Railfold-Priority"
REPEATABLE_HEADER = "Railfold-Repeatable"
IDEMPOTENCY_HEADER = "Idempotency-Key"

_BEARER_PREFIX = "Bearer "
_MAX_IDEMPOTENCY_KEY_LENGTH = 255
_MAX_PRIORITY = 9
_SAFE_METHODS = ("GET", "HEAD")


class _GenerateBody(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    prompt: str = Field(min_length=1)
    max_tokens: int = Field(default=256, ge=1)
    stream: bool = False


@dataclass(frozen=True, slots=True)
class ParsedGenerate:
    """A validated generate request with its workspace and pipeline.

    :param stream: whether the caller asked for a stream of events.
    """

    request: GenerateRequest
    workspace: Workspace
    pipeline: Pipeline
    stream: bool


@dataclass(frozen=True, slots=True)
class ParsedService:
    """A validated service call with its workspace and service."""

    request: ServiceRequest
    workspace: Workspace
    service: Service


@dataclass(frozen=True, slots=True)
class _CommonFields:
    workspace: Workspace
    deadline_s: float
    priority: int
    repeatable: bool
    idempotency_key: str


class RequestParser:
    """Validates requests against the limits and the configuration in force."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits

    def parse_generate(
        self,
        configuration: Configuration,
        name: str,
        headers: HTTPHeaders,
        body: bytes,
        now_s: float,
    ) -> ParsedGenerate:
        """Return a validated generate request.

        :param now_s: current loop time, from which the deadline counts.
        :raises RequestError: the request is refused.
        """
        common = self._parse_common(configuration, headers, now_s, repeatable=True)
        pipeline = configuration.pipelines.get(name)
        if pipeline is None or name not in common.workspace.pipelines:
            raise _unknown_target("pipeline", name)
        fields = _parse_generate_body(body)
        if fields.max_tokens > self._limits.max_tokens:
            raise InvalidRequestError(
                f"max_tokens is {fields.max_tokens}",
                why=f"the limit is {self._limits.max_tokens}",
                hint="ask for fewer tokens",
            )
        decision = _evaluate_policy(common, "generate", name, fields.max_tokens)
        request = GenerateRequest(
            request_id=uuid.uuid4().hex,
            workspace=common.workspace.name,
            pipeline=name,
            prompt=fields.prompt,
            max_tokens=_effective_max_tokens(fields.max_tokens, decision.max_tokens),
            deadline_s=common.deadline_s,
            priority=_effective_priority(common, decision),
            repeatable=common.repeatable,
            idempotency_key=common.idempotency_key,
        )
        return ParsedGenerate(request, common.workspace, pipeline, fields.stream)

    def parse_service(
        self,
        configuration: Configuration,
        name: str,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
        now_s: float,
    ) -> ParsedService:
        """Return a validated service call.

        :param now_s: current loop time, from which the deadline counts.
        :raises RequestError: the call is refused.
        """
        is_safe = method in _SAFE_METHODS
        common = self._parse_common(configuration, headers, now_s, repeatable=is_safe)
        service = configuration.services.get(name)
        if service is None or name not in common.workspace.services:
            raise _unknown_target("service", name)
        decision = _evaluate_policy(common, "service", name, 0)
        request = ServiceRequest(
            request_id=uuid.uuid4().hex,
            workspace=common.workspace.name,
            service=name,
            method=method,
            path=path,
            body=body,
            content_type=headers.get("Content-Type", ""),
            deadline_s=common.deadline_s,
            priority=_effective_priority(common, decision),
            repeatable=common.repeatable,
            idempotency_key=common.idempotency_key,
        )
        return ParsedService(request, common.workspace, service)

    def _parse_common(
        self,
        configuration: Configuration,
        headers: HTTPHeaders,
        now_s: float,
        *,
        repeatable: bool,
    ) -> _CommonFields:
        workspace = _authorize(configuration, headers)
        key = headers.get(IDEMPOTENCY_HEADER, "")
        if len(key) > _MAX_IDEMPOTENCY_KEY_LENGTH:
            raise InvalidRequestError(
                f"{IDEMPOTENCY_HEADER} is {len(key)} characters long",
                why=f"the limit is {_MAX_IDEMPOTENCY_KEY_LENGTH}",
            )
        return _CommonFields(
            workspace=workspace,
            deadline_s=now_s + self._parse_time_left_s(headers),
            priority=_parse_integer(headers, PRIORITY_HEADER, 0, 0, _MAX_PRIORITY),
            repeatable=_parse_boolean(headers, REPEATABLE_HEADER, repeatable),
            idempotency_key=key,
        )

    def _parse_time_left_s(self, headers: HTTPHeaders) -> float:
        default_ms = int(self._limits.default_deadline_s * 1000)
        limit_ms = int(self._limits.max_deadline_s * 1000)
        deadline_ms = _parse_integer(
            headers, DEADLINE_HEADER, default_ms, -limit_ms, limit_ms
        )
        if deadline_ms <= 0:
            raise DeadlineExpiredError(
                "the request's deadline has passed",
                why=f"{DEADLINE_HEADER} is {deadline_ms}",
                hint="send the number of milliseconds that remain",
            )
        return deadline_ms / 1000.0


def fingerprint(kind: str, target: str, body: bytes) -> str:
    """Return a digest that differs for different requests with the same key.

    :param kind: 'generate' or 'service'.
    :param target: the pipeline, or the method and path of a call.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (kind.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _authorize(configuration: Configuration, headers: HTTPHeaders) -> Workspace:
    name = headers.get(WORKSPACE_HEADER, "")
    authorization = headers.get("Authorization", "")
    credential = authorization.removeprefix(_BEARER_PREFIX)
    digest = hashlib.sha256(credential.encode()).hexdigest()
    workspace = configuration.workspaces.get(name)
    authorized = workspace is not None and digest in workspace.credentials_sha256
    if (
        workspace is None
        or not authorized
        or not authorization.startswith(_BEARER_PREFIX)
    ):
        # Both cases get the same error, so that it doesn't reveal whether a workspace
        # exists.
        raise UnauthorizedError(
            "the workspace is unknown or the credential is wrong",
            hint=f"send {WORKSPACE_HEADER} and 'Authorization: Bearer <credential>'",
        )
    return workspace


def _unknown_target(kind: str, name: str) -> UnknownTargetError:
    return UnknownTargetError(
        f"there is no {kind} {name} for this workspace",
        hint="check the name; operators: see 'railfold show'",
    )


def _parse_generate_body(body: bytes) -> _GenerateBody:
    try:
        return _GenerateBody.model_validate_json(body)
    except ValidationError as error:
        issues = [
            f"{'.'.join(str(part) for part in issue['loc']) or 'body'}: {issue['msg']}"
            for issue in error.errors()
        ]
        raise InvalidRequestError(
            "the request's body is invalid",
            why="; ".join(issues),
            hint='send JSON like {"prompt": "...", "max_tokens": 64}',
        ) from error


def _evaluate_policy(
    common: _CommonFields, kind: str, target: str, max_tokens: int
) -> PolicyDecision:
    policy = common.workspace.policy
    if policy is None:
        return PolicyDecision()
    decision = policy.evaluate(
        common.workspace.name,
        {
            "kind": kind,
            "target": target,
            "priority": common.priority,
            "max_tokens": max_tokens,
            "repeatable": common.repeatable,
        },
    )
    if not decision.admit:
        raise PolicyRefusedError(
            "the workspace's policy refuses the request",
            hint="operators: see the workspace's policy with 'railfold show'",
        )
    return decision


def _effective_priority(common: _CommonFields, decision: PolicyDecision) -> int:
    if decision.priority is None:
        return common.priority
    return max(0, min(_MAX_PRIORITY, decision.priority))


def _effective_max_tokens(requested: int, allowed: int | None) -> int:
    return requested if allowed is None else max(1, min(requested, allowed))


def _parse_integer(
    headers: HTTPHeaders, name: str, default: int, lowest: int, highest: int
) -> int:
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = int(text)
    except ValueError as error:
        raise InvalidRequestError(
            f"{name} isn't a whole number", why=f"it is {text!r}"
        ) from error
    if not lowest <= value <= highest:
        raise InvalidRequestError(
            f"{name} is {value}", why=f"it must be from {lowest} to {highest}"
        )
    return value


def _parse_boolean(headers: HTTPHeaders, name: str, default: bool) -> bool:
    text = headers.get(name)
    if text is None:
        return default
    if text not in ("true", "false"):
        raise InvalidRequestError(
            f"{name} must be 'true' or 'false'", why=f"it is {text!r}"
        )
    return text == "true"
