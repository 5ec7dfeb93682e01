"""Stand-in for a model engine that holds a range of layers.

The model is a chain of hashes: each layer mixes a position's hidden state into
its KV cache, and the last layer's state determines the token. The output depends only
on the prompt, not on how the layers are split over engines or how often an attempt is
restarted, so tests can compute it in advance. The engine counts each position of a
sequence that it is sent twice or out of order; both counts must stay zero.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import time
import uuid
from dataclasses import dataclass, field
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

STATE_BYTES = 16
VOCABULARY = 50_000


@dataclass(frozen=True)
class EngineSpec:
    """The layers and the speed of one stand-in engine.

    A step takes ``fixed_ms`` plus ``per_sequence_ms`` for each sequence.
    """

    model: str
    version: str
    layer_count: int
    first_layer: int
    last_layer: int
    fixed_ms: float = 1.0
    per_sequence_ms: float = 0.02
    checks_fencing: bool = True


@dataclass
class EngineState:
    """An engine's loaded range, caches and counters."""

    spec: EngineSpec
    engine_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    caches: dict[str, dict[int, bytes]] = field(default_factory=dict)
    positions: dict[str, int] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)
    steps: int = 0
    sequence_steps: int = 0
    double_runs: int = 0
    out_of_order: int = 0
    responses_to_drop: int = 0
    fencing_token: int = 0
    loads: int = 0
    refused_loads: int = 0
    unfrozen: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def __post_init__(self) -> None:
        self.unfrozen.set()

    def run(self, item: dict[str, Any]) -> dict[str, Any]:
        """Run one sequence's part of a step; return its activation, token or error."""
        sequence, step = item["sequence"], item["step"]
        expected = self.positions.get(sequence)
        if expected is None and not item.get("begins"):
            return {"error": "unknown_sequence"}
        if expected is not None and step != expected:
            if step < expected:
                self.double_runs += 1
            else:
                self.out_of_order += 1
            return {"error": "wrong_step"}
        self.positions[sequence] = step + 1
        self.started.add(sequence)
        cache = self.caches.setdefault(sequence, {})
        states = [self._run_layers(cache, state) for state in input_states(item)]
        if self.spec.last_layer < self.spec.layer_count - 1:
            return {"activation": b"".join(states)}
        token_id = token_from_state(states[-1])
        return {"token_id": token_id, "text": f" t{token_id}"}

    def _run_layers(self, cache: dict[int, bytes], state: bytes) -> bytes:
        for layer in range(self.spec.first_layer, self.spec.last_layer + 1):
            state = run_layer(cache, layer, state)
        return state

    def close(self, sequence: str) -> None:
        """Free the cache and the position of a sequence."""
        self.caches.pop(sequence, None)
        self.positions.pop(sequence, None)


def run_layer(cache: dict[int, bytes], layer: int, state: bytes) -> bytes:
    """Mix the input state into the layer's cache and return the layer's output."""
    key = hashlib.blake2b(cache.get(layer, b"") + state, digest_size=STATE_BYTES)
    cache[layer] = key.digest()
    mixed = layer.to_bytes(4, "big") + cache[layer]
    return hashlib.blake2b(mixed, digest_size=STATE_BYTES).digest()


def input_states(item: dict[str, Any]) -> list[bytes]:
    """Return the hidden states that a step feeds to the engine's first layer."""
    activation = item.get("activation")
    if activation is not None:
        return [
            activation[i : i + STATE_BYTES]
            for i in range(0, len(activation), STATE_BYTES)
        ]
    if item.get("prompt") is not None:
        tokens = [embed_token(token) for token in item.get("emitted", ())]
        return [embed(item["prompt"].encode()), *tokens]
    return [embed_token(item["token_id"])]


def embed(data: bytes) -> bytes:
    """Return the hidden state of an encoded input, ``STATE_BYTES`` long."""
    return hashlib.blake2b(data, digest_size=STATE_BYTES).digest()


def embed_token(token_id: int) -> bytes:
    """Return the hidden state of a token."""
    return embed(b"token" + token_id.to_bytes(4, "big"))


def token_from_state(state: bytes) -> int:
    """Return the token for the output state of the last layer."""
    return int.from_bytes(state[:4], "big") % VOCABULARY


def expected_tokens(prompt: str, layer_count: int, count: int) -> list[int]:
    """Return the tokens that the complete model generates for a prompt."""
    cache: dict[int, bytes] = {}
    state = embed(prompt.encode())
    tokens: list[int] = []
    while len(tokens) < count:
        for layer in range(layer_count):
            state = run_layer(cache, layer, state)
        tokens.append(token_from_state(state))
        state = embed_token(tokens[-1])
    return tokens


class _Handler(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state


class StatusHandler(_Handler):
    """Reports the loaded layers and the counters."""

    def get(self) -> None:
        """Return the status."""
        state, spec = self.state, self.state.spec
        self.finish(
            {
                "engine_id": state.engine_id,
                "model": spec.model,
                "version": spec.version,
                "first_layer": spec.first_layer,
                "last_layer": spec.last_layer,
                "checks_fencing": spec.checks_fencing,
                "fencing": state.fencing_token,
                "loads": state.loads,
                "refused_loads": state.refused_loads,
                "open_sequences": len(state.positions),
                "started": len(state.started),
                "steps": state.steps,
                "sequence_steps": state.sequence_steps,
                "double_runs": state.double_runs,
                "out_of_order": state.out_of_order,
            }
        )


class StepHandler(_Handler):
    """Runs a step for several sequences; steps run one at a time."""

    async def post(self) -> None:
        """Run the step."""
        items = msgspec.msgpack.decode(self.request.body)
        state, spec = self.state, self.state.spec
        async with state.lock:
            await state.unfrozen.wait()
            step_ms = spec.fixed_ms + spec.per_sequence_ms * len(items)
            # Sleeping in a thread is accurate to 0.1 ms; timers of the event loop are
            # late by 1 or 2 ms.
            await asyncio.to_thread(time.sleep, step_ms / 1000.0)
            results = [state.run(item) for item in items]
            state.steps += 1
            state.sequence_steps += len(items)
        if state.responses_to_drop:
            state.responses_to_drop -= 1
            self.request.connection.detach().close()
            self._finished = True
            return
        self.finish(msgspec.msgpack.encode(results))


class CloseHandler(_Handler):
    """Frees sequences."""

    def post(self) -> None:
        """Free the sequences."""
        for sequence in msgspec.msgpack.decode(self.request.body):
            self.state.close(sequence)
        self.finish()


class LoadHandler(_Handler):
    """Loads other layers, which discards all caches."""

    async def post(self) -> None:
        """Execute the order; refuse an outdated fencing token if those are checked."""
        state = self.state
        order = msgspec.json.decode(self.request.body)
        fencing_token = order.pop("fencing")
        if fencing_token < state.fencing_token and state.spec.checks_fencing:
            state.refused_loads += 1
            self.set_status(409)
            self.finish("old fencing number")
            return
        async with state.lock:
            state.spec = dataclasses.replace(state.spec, **order)
            state.fencing_token = max(state.fencing_token, fencing_token)
            state.loads += 1
            state.caches.clear()
            state.positions.clear()
        self.finish({})


class ControlHandler(_Handler):
    """Lets tests ``freeze``, ``thaw`` or ``restart`` the engine or ``drop`` a response.

    ``drop`` runs the next step but loses its response.
    """

    def post(self, what: str) -> None:
        """Apply the control action."""
        match what:
            case "freeze":
                self.state.unfrozen.clear()
            case "thaw":
                self.state.unfrozen.set()
            case "drop":
                self.state.responses_to_drop += 1
            case "restart":
                self.state.engine_id = uuid.uuid4().hex
                self.state.caches.clear()
                self.state.positions.clear()
        self.finish({})


def make_application(spec: EngineSpec) -> Application:
    """Return a stand-in engine's application."""
    arguments = {"state": EngineState(spec)}
    return Application(
        [
            (r"/v1/status", StatusHandler, arguments),
            (r"/v1/step", StepHandler, arguments),
            (r"/v1/load", LoadHandler, arguments),
            (r"/v1/close", CloseHandler, arguments),
            (r"/control/([a-z]+)", ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
