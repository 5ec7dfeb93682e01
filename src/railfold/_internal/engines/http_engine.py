"""Client of model engines with an HTTP interface that carries msgpack and JSON.

No other module depends on the engines' protocol.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from tornado.httpclient import HTTPError

from railfold._internal.core import LayerRange, Token
from railfold._internal.decisions.orders import LoadOrder
from railfold._internal.decoding import decode, decode_json
from railfold._internal.engines.interface import (
    ActivationInput,
    DecodeInput,
    EngineStatus,
    HiddenState,
    PrefillInput,
    StepFailure,
    StepItem,
    StepResult,
)
from railfold._internal.errors import EngineError, EngineUnavailableError
from railfold._internal.store.http import (
    CONNECT_TIMEOUT_S,
    HttpClient,
    was_never_connected,
)

__all__ = ["HttpEngine"]

_STATUS_TIMEOUT_S = 2.0
_LOAD_TIMEOUT_S = 600.0


class _WireItem(msgspec.Struct, omit_defaults=True):
    sequence: str
    step: int
    begins: bool = False
    prompt: str | None = None
    emitted: tuple[int, ...] = ()
    token_id: int | None = None
    activation: bytes | None = None


class _WireResult(msgspec.Struct):
    activation: bytes | None = None
    token_id: int | None = None
    text: str = ""
    final: bool = False
    error: str = ""


class _WireStatus(msgspec.Struct):
    engine_id: str
    model: str = ""
    version: str = ""
    first_layer: int = -1
    last_layer: int = -1
    checks_fencing: bool = False
    fencing: int = 0


_ENCODER = msgspec.msgpack.Encoder()
_RESULT_DECODER = msgspec.msgpack.Decoder(list[_WireResult])


@dataclass(frozen=True, slots=True)
class HttpEngine:
    """Client of the engine at ``url``.

    :param http: HTTP client for short calls.
    :param call_http: HTTP client for steps and load orders, which don't delay short
        calls.
    """

    url: str
    http: HttpClient
    call_http: HttpClient
    step_timeout_s: float

    async def status(self) -> EngineStatus:
        """Return the engine's status.

        :raises EngineError: the connection is refused, so the engine has ended.
        :raises EngineUnavailableError: the engine doesn't answer or its answer is
            invalid; it may still run.
        """
        try:
            response = await self.http.fetch(
                f"{self.url}/v1/status",
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=_STATUS_TIMEOUT_S,
            )
            status = decode_json(response.body, _WireStatus)
        except (HTTPError, OSError, msgspec.DecodeError) as error:
            if was_never_connected(error):
                raise EngineError(
                    "can't connect to the engine", why=str(error)
                ) from error
            raise EngineUnavailableError(
                "the engine didn't return its status", why=str(error)
            ) from error
        layers = None
        if status.first_layer >= 0:
            layers = LayerRange(status.first_layer, status.last_layer)
        return EngineStatus(
            status.engine_id,
            status.model,
            status.version,
            layers,
            status.checks_fencing,
            status.fencing,
        )

    async def load(self, order: LoadOrder) -> None:
        """Order the engine to load layers, which replace those it has loaded.

        :raises EngineError: the engine refused the order or didn't answer.
        """
        body = {
            "model": order.model,
            "version": order.version,
            "first_layer": order.layers.first,
            "last_layer": order.layers.last,
            "fencing": order.fencing_token,
        }
        try:
            await self.call_http.fetch(
                f"{self.url}/v1/load",
                method="POST",
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=_LOAD_TIMEOUT_S,
            )
        except (HTTPError, OSError) as error:
            raise EngineError(
                "the engine didn't execute an order to load layers", why=str(error)
            ) from error

    async def step(self, items: Sequence[StepItem]) -> list[StepResult]:
        """Run one step for several sequences; return the results in the same order.

        :raises EngineUnavailableError: there was no valid answer; the step may have
            run.
        """
        body = _ENCODER.encode([_to_wire(item) for item in items])
        try:
            response = await self.call_http.fetch(
                f"{self.url}/v1/step",
                method="POST",
                body=body,
                headers={"Content-Type": "application/msgpack"},
                # The engine runs on this host, so a dead one refuses the connection at
                # once. A shorter limit would only count pauses of this process.
                connect_timeout=self.step_timeout_s,
                request_timeout=self.step_timeout_s,
            )
            results = decode(_RESULT_DECODER, response.body)
        except (HTTPError, OSError, msgspec.DecodeError) as error:
            raise EngineUnavailableError(
                "the engine didn't return the results of a step", why=str(error)
            ) from error
        if len(results) != len(items):
            raise EngineUnavailableError(
                "the engine returned a wrong number of results for a step"
            )
        pairs = zip(items, results, strict=True)
        return [_from_wire(item, result) for item, result in pairs]

    async def close(self, sequences: Sequence[str]) -> None:
        """Make the engine free the KV caches of sequences.

        :raises EngineError: the engine refused or didn't answer.
        """
        try:
            await self.http.fetch(
                f"{self.url}/v1/close",
                method="POST",
                body=_ENCODER.encode(list(sequences)),
                headers={"Content-Type": "application/msgpack"},
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=_STATUS_TIMEOUT_S,
            )
        except (HTTPError, OSError) as error:
            raise EngineError(
                "the engine didn't free the caches of sequences", why=str(error)
            ) from error


def _to_wire(item: StepItem) -> _WireItem:
    wire_item = _WireItem(item.sequence, item.step, item.begins)
    match item.payload:
        case PrefillInput(prompt=prompt, emitted=emitted):
            wire_item.prompt, wire_item.emitted = prompt, emitted
        case DecodeInput(token_id=token_id):
            wire_item.token_id = token_id
        case ActivationInput(data=data):
            wire_item.activation = data
    return wire_item


def _from_wire(item: StepItem, result: _WireResult) -> StepResult:
    if result.error:
        return StepFailure(result.error)
    if result.activation is not None:
        return HiddenState(result.activation)
    if result.token_id is not None:
        return Token(item.step, result.token_id, result.text, result.final)
    return StepFailure("empty_result")
