"""Decoding of the configuration that operators publish on the platform."""

from __future__ import annotations

import msgspec

from railfold._internal.decisions.routing_table import (
    Accelerator,
    ClientLimits,
    CredentialOwner,
    EngineModel,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    WeightedService,
)
from railfold._internal.decoding import decode
from railfold._internal.errors import ConfigurationRefusedError

__all__ = ["decode_configuration"]

_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "stream": RouteKind.STREAM,
}


class _TrafficShare(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    """A route to one ``service``, or to several in ``traffic_split``.

    ``slo_ms`` is the latency objective. ``gap_aim_ms`` is the objective for the longest
    pause between two events of an answer.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 1000.0
    priority: int = 1
    service: str | None = None
    traffic_split: list[_TrafficShare] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _Model(msgspec.Struct, frozen=True):
    name: str
    load_s: float = 0.0


class _AcceleratorKind(msgspec.Struct, frozen=True):
    """A kind of accelerator with ``mb`` megabytes of memory.

    ``pace`` is the duration of its decode steps relative to the model's base
    accelerator, ``read_x`` the same for processing a prompt.
    """

    name: str
    mb: float
    pace: float = 1.0
    read_x: float = 1.0


class _TypicalRequest(msgspec.Struct, frozen=True):
    """Mean numbers of tokens in the prompt and in the answer."""

    prompt: float = 500.0
    answer: float = 200.0


class _DomainDelay(msgspec.Struct, frozen=True):
    """One-way latency between two failure domains, the same in both directions.

    ``target_version`` contains the second failure domain; the platform uses this field
    name for several purposes.
    """

    source: str = msgspec.field(name="from")
    to: str = msgspec.field(name="target_version")
    delay_ms: float = 0.0


class _Engine(msgspec.Struct, frozen=True):
    """A model engine that runs up to ``slots`` requests at a time.

    ``kv_bytes`` is the size of the state of one token over all layers. ``stride`` is
    the number of tokens in one event of a stream. ``usual`` is a typical request.

    A decode step takes ``step_ms``. Each request in flight adds ``per_seq_ms``, and
    ``context_per_k`` milliseconds per 1,000 tokens of its context. Processing a prompt
    takes the time for its tokens at ``read_per_s`` tokens per second, and in addition
    ``pairs_per_m`` milliseconds per million pairs of a token and an earlier token.

    A stage sends ``act_bytes`` bytes to the next one for each token. All transfers
    between two failure domains share ``pipe_mbps`` megabits per second.
    """

    slots: int
    kv_bytes: float
    models: list[_Model]
    layers: int = 0
    layer_mb: float = 0.0
    kinds: list[_AcceleratorKind] = []
    loads_at_once: int = 4
    usual: _TypicalRequest = _TypicalRequest()
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 100_000.0
    pairs_per_m: float = 0.0
    stride: int = 1
    act_bytes: float = 0.0
    pipe_mbps: float = 0.0
    delays: list[_DomainDelay] = []


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = "/health"
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, frozen=True):
    """A workspace with its credentials, and its priority if it has one."""

    name: str
    api_keys: list[str]
    priority: int | None = None


class _Configuration(msgspec.Struct, frozen=True):
    """The whole document; without ``tenants``, clients need no credentials."""

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


_DECODER = msgspec.json.Decoder(_Configuration)


def decode_configuration(value: bytes) -> RoutingTable:
    """Decode a configuration record.

    :raises ConfigurationRefusedError: the record is invalid.
    """
    try:
        document = decode(_DECODER, value)
        return RoutingTable(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services={s.name: _service(s) for s in document.services},
            credentials=_credentials(document.tenants),
            limits=ClientLimits(
                max_header_bytes=document.limits.max_header_bytes,
                max_body_bytes=document.limits.max_body_bytes,
                idle_timeout_s=document.limits.idle_timeout_ms / 1000.0,
            ),
        )
    except (
        ValueError,
        LookupError,
        ArithmeticError,
    ) as error:  # Includes msgspec.DecodeError.
        raise ConfigurationRefusedError("the configuration", [str(error)]) from error


def _route(route: _Route) -> Route:
    shares = route.traffic_split
    if route.service is not None:
        shares = [_TrafficShare(route.service, 1.0)]
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS[route.kind],
        services=tuple(WeightedService(s.service, s.weight) for s in shares),
        timeout_s=route.timeout_ms / 1000.0,
        objective_s=route.slo_ms / 1000.0,
        priority=route.priority,
        max_attempts=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
        allowed_pause_s=route.gap_aim_ms / 1000.0 if route.gap_aim_ms else None,
    )


def _service(service: _Service) -> ServiceSpec:
    engine = service.engine
    model = _model(engine) if engine is not None and engine.layers else None
    return ServiceSpec(service.name, service.health_path, model)


def _model(engine: _Engine) -> EngineModel:
    model = engine.models[0]
    bytes_per_token_and_layer = engine.kv_bytes / engine.layers
    return EngineModel(
        name=model.name,
        layer_count=engine.layers,
        layer_mb=engine.layer_mb,
        request_mb_per_token=bytes_per_token_and_layer / 1e6,
        mean_tokens=max(1, round(engine.usual.prompt + engine.usual.answer)),
        load_s=model.load_s,
        loads_at_once=max(1, engine.loads_at_once),
        max_sequences=engine.slots,
        step_s=engine.step_ms / 1000.0,
        tokens_per_event=max(1, engine.stride),
        sequence_step_s=_sequence_step_ms(engine) / 1000.0,
        prompt_s=_prompt_s(engine),
        answer_tokens=round(engine.usual.answer),
        activation_bytes=engine.act_bytes,
        pipe_bytes_per_s=engine.pipe_mbps * 1e6 / 8,
        domain_delays_s=_domain_delays_s(engine),
        accelerators={
            kind.name: Accelerator(kind.mb, kind.pace, kind.read_x)
            for kind in engine.kinds
        },
    )


def _domain_delays_s(engine: _Engine) -> dict[tuple[str, str], float]:
    delays_s: dict[tuple[str, str], float] = {}
    for delay in engine.delays:
        delays_s[delay.source, delay.to] = delay.delay_ms / 1000.0
        delays_s[delay.to, delay.source] = delay.delay_ms / 1000.0
    return delays_s


def _sequence_step_ms(engine: _Engine) -> float:
    """Return what a typical request, halfway through its answer, adds to a step."""
    context_tokens = engine.usual.prompt + engine.usual.answer / 2
    return engine.per_seq_ms + engine.context_per_k * context_tokens / 1000.0


def _prompt_s(engine: _Engine) -> float:
    """Return how long the base accelerator takes to process a typical prompt."""
    prompt = engine.usual.prompt
    pairs = prompt * prompt / 2
    return prompt / engine.read_per_s + engine.pairs_per_m * pairs / 1e9


def _credentials(
    tenants: list[_Tenant] | None,
) -> dict[str, CredentialOwner] | None:
    if tenants is None:
        return None
    return {
        key: CredentialOwner(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
