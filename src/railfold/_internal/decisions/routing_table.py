"""Routes, services and credentials of one configuration version.

A table is immutable: a request keeps the one it was admitted under, and a newer
one replaces it whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from railfold._internal.core import LayerRange
from railfold._internal.errors import (
    NotReadyError,
    UnauthorizedError,
    UnknownTargetError,
)

__all__ = [
    "Accelerator",
    "ClientLimits",
    "CredentialOwner",
    "EngineModel",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceSpec",
    "WeightedService",
    "admission_rank",
    "require_table",
]


# Ranks go from 0 to 9.
_PRIORITY_COUNT = 10


class RouteKind(Enum):
    """How often a request on a route may run, and the form of its answer."""

    SAFE = auto()  # May run more than once.
    UNSAFE = auto()  # Runs at most once.
    STREAM = auto()  # A stream of events; may run again only if resumable.


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    :param timeout_s: the longest time a request may be held.
    :param objective_s: time to the answer, or to its first event.
    :param max_attempts: how many backend servers may run one request.
    :param allowed_pause_s: the longest pause between two events of an answer that is
        in time, if it is told.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    public: bool
    resumable: bool
    allowed_pause_s: float | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RouteKind.SAFE:
                return True
            case RouteKind.UNSAFE:
                return False
            case RouteKind.STREAM:
                return self.resumable


@dataclass(frozen=True, slots=True)
class Accelerator:
    """A kind of accelerator.

    :param memory_mb: for layers and the state of requests together.
    :param step_factor: how many times longer than the model's base a decode
        step takes.
    :param prefill_factor: the same for reading a prompt.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float = 1.0

    def slowed(self, slowness: float) -> Accelerator:
        """Return one whose steps take ``slowness`` times longer."""
        if slowness == 1.0:
            return self
        return replace(
            self,
            step_factor=self.step_factor * slowness,
            prefill_factor=self.prefill_factor * slowness,
        )


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A model whose layers are spread over engines.

    :param layer_mb: memory of one layer.
    :param request_mb_per_token: a request's state of one token in one layer.
    :param mean_tokens: prompt and answer of a usual request.
    :param load_s: time to load all layers at once.
    :param loads_at_once: how many loads run at full speed at a time.
    :param step_s: time of one decode step over all layers on a base accelerator.
    :param tokens_per_event: decode steps between two events of a stream.
    :param sequence_step_s: what each usual request in flight adds to that time.
    :param prompt_s: time to read a usual prompt through all layers on a base
        accelerator.
    :param answer_tokens: decode steps of a usual answer.
    :param activation_bytes: what a stage passes on for each token.
    :param pipe_bytes_per_s: of the pipe between two failure domains, which all share;
        0 if it isn't told.
    :param domain_delays_s: one-way latency between two failure domains, as told.
    """

    name: str
    layer_count: int
    layer_mb: float
    request_mb_per_token: float
    mean_tokens: int
    load_s: float
    loads_at_once: int
    max_sequences: int
    accelerators: Mapping[str, Accelerator]
    step_s: float = 0.001
    tokens_per_event: int = 1
    sequence_step_s: float = 0.0
    prompt_s: float = 0.0
    answer_tokens: int = 200
    activation_bytes: float = 0.0
    pipe_bytes_per_s: float = 0.0
    domain_delays_s: Mapping[tuple[str, str], float] = field(default_factory=dict)

    def mean_state_tokens(self, prompt_tokens: int, max_answer_tokens: int) -> int:
        """Return how many tokens a request's state holds, on average over its stay.

        Its prompt and half of its answer, which is rarely as long as it may be.
        """
        answer_tokens = min(max_answer_tokens, self.answer_tokens)
        return prompt_tokens + answer_tokens // 2

    def has_layers(self, layers: LayerRange) -> bool:
        """Return whether the model has all of these layers."""
        return 0 <= layers.first <= layers.last < self.layer_count

    def capacity_tokens(self, accelerator: Accelerator, layers: int) -> int:
        """Return how many tokens of requests fit beside so many layers."""
        free_mb = accelerator.memory_mb - layers * self.layer_mb
        return max(0, int(free_mb / (layers * self.request_mb_per_token)))


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; ``model`` is given if its backend servers are model engines."""

    name: str
    health_path: str
    model: EngineModel | None = None


@dataclass(frozen=True, slots=True)
class CredentialOwner:
    """The workspace that holds a credential."""

    workspace: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One configuration version.

    :param credentials: owners by credential; ``None`` if none are used.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    credentials: Mapping[str, CredentialOwner] | None
    limits: ClientLimits
    _by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)
    _tightest_objective_s: dict[str, float] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
            for weighted in route.services:
                tightest_known_s = self._tightest_objective_s.get(
                    weighted.service, route.objective_s
                )
                self._tightest_objective_s[weighted.service] = min(
                    tightest_known_s, route.objective_s
                )
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of ``path``.

        :raises UnknownTargetError: there is none.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        raise UnknownTargetError(
            f"no route leads to {host}{path}",
            why=f"configuration version {self.version} has none",
        )

    def authorize(self, route: Route, credential: str) -> CredentialOwner | None:
        """Return who holds a credential; nothing where none is needed.

        :raises UnauthorizedError: the credential isn't known.
        """
        if self.credentials is None:
            return None
        owner = self.credentials.get(credential)
        if owner is None and not route.public:
            raise UnauthorizedError(
                "the credential isn't known",
                why=f"configuration version {self.version} doesn't hold it",
                hint="send 'Authorization: Bearer <credential>'",
            )
        return owner

    def objective_slack(self, route: Route, service: str) -> float:
        """Return how far a route's objective is from the tightest one of a service.

        As a share of it: 0 for the tightest route, 0.5 for an objective twice as long.
        """
        tightest_s = self._tightest_objective_s.get(service, route.objective_s)
        return max(0.0, 1.0 - tightest_s / max(1e-9, route.objective_s))

    def model_services(self) -> list[ServiceSpec]:
        """Return the services whose backend servers are model engines."""
        return [spec for spec in self.services.values() if spec.model is not None]


def admission_rank(route: Route, workspace_priority: int | None) -> int:
    """Return the order in which requests get scarce room; the lowest goes first.

    By the workspace's rank, then by the route's: workspaces of one rank still have
    routes that are more and less urgent.
    """
    rank = route.priority if workspace_priority is None else workspace_priority
    return _PRIORITY_COUNT * rank + route.priority


def require_table(table: RoutingTable | None) -> RoutingTable:
    """Return the table.

    :raises NotReadyError: there is no configuration yet.
    """
    if table is None:
        raise NotReadyError(
            "no configuration was read yet", hint="come back after Retry-After"
        )
    return table
