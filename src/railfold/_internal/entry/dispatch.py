"""Take a validated request from admission to its final outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from railfold._internal.core import (
    Answered,
    GenerateRequest,
    NeverSent,
    NotRun,
    Outcome,
    ServiceRequest,
    Token,
    Unknown,
    outcome_name,
)
from railfold._internal.decisions.claims import (
    Claim,
    ClaimKey,
    ClaimState,
    ClaimVerdict,
    ClaimWrite,
)
from railfold._internal.decisions.configuration import Workspace
from railfold._internal.entry.admission import Admission, Target
from railfold._internal.entry.answers import (
    OUTCOME_HEADER,
    REPLAYED_HEADER,
    Reply,
    answered_reply,
    error_reply,
    refused_reply,
)
from railfold._internal.entry.calls import CallDriver
from railfold._internal.entry.claims import ClaimManager
from railfold._internal.entry.generate import GenerateDriver, RoutingContext
from railfold._internal.entry.parsing import (
    ParsedGenerate,
    ParsedService,
    fingerprint,
)
from railfold._internal.errors import (
    AdmissionRefusedError,
    DuplicateKeyError,
    InvalidRequestError,
    LogUnavailableError,
    RequestError,
)

__all__ = ["Dispatcher"]

_CLAIM_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0

RunRequest = Callable[[], Awaitable["_Result"]]


@dataclass(frozen=True, slots=True)
class _Result:
    outcome: Outcome
    reply: Reply


class Dispatcher:
    """Runs requests: admits each, claims its idempotency key, then starts its driver.

    :param claims_readable: returns whether the claims stream is read successfully and
        was read to its end.
    """

    def __init__(
        self,
        entry: str,
        context: RoutingContext,
        admission: Admission,
        claims: ClaimManager,
        claims_readable: Callable[[], bool],
    ) -> None:
        self._entry = entry
        self._context = context
        self._admission = admission
        self._claims = claims
        self._claims_readable = claims_readable
        self._drivers: set[GenerateDriver | CallDriver] = set()
        self._exit_outcome: NotRun | None = None

    def give_up(self, error: RequestError, retry_after_s: float) -> None:
        """End all requests with their final outcomes now, and start none any more.

        :param retry_after_s: after which time callers may send the requests again.
        """
        self._exit_outcome = NotRun(NeverSent(), error, retry_after_s)
        self._admission.refuse_waiting(error, retry_after_s)
        self._claims.stop_waiting()
        for driver in list(self._drivers):
            driver.give_up(error, retry_after_s)

    async def generate(
        self,
        parsed: ParsedGenerate,
        on_token: Callable[[Token], None],
        on_driver: Callable[[GenerateDriver], None],
        body: bytes,
    ) -> Reply:
        """Run a generate request and return its complete answer.

        :param on_token: called with each token as it arrives.
        :param on_driver: called with the driver, through which the request can be
            cancelled.
        :param body: the request's body as received, for its fingerprint.
        """
        request = parsed.request
        tokens: list[Token] = []

        def collect_token(token: Token) -> None:
            tokens.append(token)
            on_token(token)

        async def run() -> _Result:
            driver = GenerateDriver(
                request, parsed.pipeline, self._context, collect_token
            )
            on_driver(driver)
            with self._tracked(driver):
                outcome = await driver.run()
            if not isinstance(outcome, Answered):
                return _Result(outcome, error_reply(request.request_id, outcome))
            reply = answered_reply(
                request.request_id, tokens, driver.chain, driver.attempts
            )
            return _Result(outcome, reply)

        digest = fingerprint("generate", request.pipeline, body)
        cost = float(request.max_tokens)
        return await self._admit_and_run(
            request, parsed.workspace, parsed.pipeline, cost, digest, run
        )

    async def call(self, parsed: ParsedService) -> Reply:
        """Run a service call and return its complete answer."""
        request = parsed.request

        async def run() -> _Result:
            driver = CallDriver(request, parsed.service, self._context)
            with self._tracked(driver):
                reply = await driver.run()
            if reply.answer is None or not isinstance(reply.outcome, Answered):
                outcome = reply.outcome
                return _Result(outcome, error_reply(request.request_id, outcome))
            answer = reply.answer
            return _Result(
                reply.outcome,
                Reply(
                    answer.status,
                    outcome_name(reply.outcome),
                    answer.body,
                    answer.content_type,
                ),
            )

        target = f"{request.method} {request.service}/{request.path}"
        digest = fingerprint("service", target, request.body)
        return await self._admit_and_run(
            request, parsed.workspace, parsed.service, 1.0, digest, run
        )

    @contextmanager
    def _tracked(self, driver: GenerateDriver | CallDriver) -> Iterator[None]:
        self._drivers.add(driver)
        try:
            yield
        finally:
            self._drivers.discard(driver)

    async def _run_unless_exiting(
        self, request: GenerateRequest | ServiceRequest, run: RunRequest
    ) -> _Result:
        outcome = self._exit_outcome
        if outcome is not None:
            return _Result(outcome, error_reply(request.request_id, outcome))
        return await run()

    async def _admit_and_run(
        self,
        request: GenerateRequest | ServiceRequest,
        workspace: Workspace,
        target: Target,
        cost: float,
        digest: str,
        run: RunRequest,
    ) -> Reply:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with self._admission.admitted(
                target,
                workspace,
                priority=request.priority,
                cost=cost,
                deadline_s=request.deadline_s,
                entry_count=self._context.agents.entry_count,
            ):
                reply = await self._run_with_claim(request, digest, run)
        except AdmissionRefusedError as refusal:
            reply = refused_reply(
                request.request_id, refusal.error, refusal.retry_after_s
            )
        metrics = self._context.metrics
        metrics.count(f"outcomes.{reply.outcome}")
        metrics.timing("request", loop.time() - started_s)
        return reply

    async def _run_with_claim(
        self, request: GenerateRequest | ServiceRequest, digest: str, run: RunRequest
    ) -> Reply:
        if request.repeatable or not request.idempotency_key:
            return (await self._run_unless_exiting(request, run)).reply
        key = ClaimKey(request.workspace, request.idempotency_key)
        write = ClaimWrite(key, request.request_id, self._entry, digest)
        earlier_reply = await self._claim(write, request.deadline_s)
        if earlier_reply is not None:
            return earlier_reply
        result = await self._run_unless_exiting(request, run)
        if isinstance(result.outcome, NotRun):
            self._claims.release(key, request.request_id)
        else:
            self._claims.complete(
                key,
                request.request_id,
                result.reply.outcome,
                result.reply.status,
                result.reply.content_type,
                result.reply.body,
            )
        return result.reply

    async def _claim(self, write: ClaimWrite, deadline_s: float) -> Reply | None:
        """Claim an idempotency key; return None if it was won, else the reply."""
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        try:
            if not self._claims_readable():
                raise LogUnavailableError("the platform's log doesn't answer")
            verdict = await self._claims.claim(
                write, min(_CLAIM_TIMEOUT_S, remaining_s)
            )
        except LogUnavailableError as error:
            return self._unsettled_claim_reply(write, error)
        match verdict:
            case ClaimVerdict.WON:
                return None
            case ClaimVerdict.MISUSED:
                misuse = InvalidRequestError(
                    "the idempotency key belongs to a different request",
                    why="method, path or body differ from the first request's",
                    hint="use a new key for a new request",
                )
                return refused_reply(write.request_id, misuse, None)
            case ClaimVerdict.LOST:
                self._context.metrics.count("claims.duplicates")
                return self._earlier_reply(write, self._claims.current_claim(write.key))

    def _unsettled_claim_reply(
        self, write: ClaimWrite, error: LogUnavailableError
    ) -> Reply:
        # This request wasn't sent, but an earlier one with the same key may have run.
        # Only the log shows whether it did, so the outcome is "unknown" rather than
        # "not run".
        self._context.metrics.count("claims.unsettled")
        unsettled = LogUnavailableError(
            "the idempotency key can't be claimed now, so the request wasn't sent",
            why=error.what,
            hint="retry with the same key after the delay in Retry-After",
        )
        delay_s = _RETRY_AFTER_S * (1.0 + self._context.rng.random())
        return error_reply(write.request_id, Unknown(unsettled, round(delay_s, 2)))

    def _earlier_reply(self, write: ClaimWrite, claim: Claim | None) -> Reply:
        if claim is not None and claim.state is ClaimState.COMPLETED:
            completion = claim.completion
            if completion is not None and completion.answer:
                headers = {REPLAYED_HEADER: "true", OUTCOME_HEADER: completion.outcome}
                return Reply(
                    completion.status,
                    completion.outcome,
                    completion.answer,
                    completion.content_type,
                    headers,
                )
            too_large = DuplicateKeyError(
                "an earlier request with this key has ended; its answer wasn't stored",
                why="the answer was empty or too large to store",
            )
            return error_reply(write.request_id, Unknown(too_large))
        in_progress = DuplicateKeyError(
            "an earlier request with this key is in progress, or its entry crashed",
            why="its outcome isn't recorded",
            hint="retry with the same key after the delay in Retry-After",
        )
        return error_reply(write.request_id, Unknown(in_progress, _RETRY_AFTER_S))
