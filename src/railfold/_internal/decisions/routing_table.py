"""Routes, services and credentials of one configuration version.

A routing table is immutable. A request keeps the table it was admitted under; a newer
configuration version comes with a new table.
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


# Priorities of routes and workspaces range from 0, the most urgent, to 9.
_PRIORITY_COUNT = 10


class RouteKind(Enum):
    """Whether requests of a route may run more than once, and how they are answered."""

    SAFE = auto()  # May run more than once.
    UNSAFE = auto()  # Runs at most once.
    STREAM = auto()  # Answered by a stream of events; may run again only if resumable.


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    :param timeout_s: longest time that a request may take.
    :param objective_s: time objective for the answer, or for its first event.
    :param priority: 0 to 9; requests of a lower number go first.
    :param max_attempts: how many backend servers may run one request.
    :param public: whether requests need no credential.
    :param resumable: whether a stream can be resumed at a later event.
    :param allowed_pause_s: objective for the longest pause between two events of an
        answer; None if the configuration has none.
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

    :param memory_mb: memory for layers and the state of requests together.
    :param step_factor: duration of a decode step relative to the model's base
        accelerator.
    :param prefill_factor: the same for processing a prompt.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float = 1.0

    def slowed(self, slowness: float) -> Accelerator:
        """Return an accelerator that takes ``slowness`` times as long."""
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
    :param request_mb_per_token: memory of a request's state for one token in one layer.
    :param mean_tokens: length of a typical request, prompt and answer together.
    :param load_s: time to load all layers at once.
    :param loads_at_once: how many loads run at full speed at the same time.
    :param max_sequences: how many requests an engine can run as a first stage.
    :param step_s: time of one decode step over all layers on the base accelerator.
    :param tokens_per_event: decode steps between two events of a stream.
    :param sequence_step_s: time that each typical request in flight adds to ``step_s``.
    :param prompt_s: time to process a typical prompt through all layers on the base
        accelerator.
    :param answer_tokens: decode steps of a typical answer.
    :param activation_bytes: size of what a stage sends to the next one for each token.
    :param pipe_bytes_per_s: bandwidth between two failure domains, shared by all
        entries; 0 if the configuration has none.
    :param domain_delays_s: one-way latency between two failure domains, as far as it is
        configured.
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
        """Return the size of a request's state in tokens, averaged over its duration.

        It is the prompt and half of the expected answer. Answers are rarely as long as
        their limit, so that the expected length is at most that of a typical answer.

        :param max_answer_tokens: the request's limit on its answer.
        """
        answer_tokens = min(max_answer_tokens, self.answer_tokens)
        return prompt_tokens + answer_tokens // 2

    def has_layers(self, layers: LayerRange) -> bool:
        """Return whether the model has all of these layers."""
        return 0 <= layers.first <= layers.last < self.layer_count

    def capacity_tokens(self, accelerator: Accelerator, layers: int) -> int:
        """Return how many tokens of requests fit in memory beside this many layers."""
        free_mb = accelerator.memory_mb - layers * self.layer_mb
        return max(0, int(free_mb / (layers * self.request_mb_per_token)))


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service.

    :param health_path: path of its backend servers' health check.
    :param model: the model, if its backend servers are model engines.
    """

    name: str
    health_path: str
    model: EngineModel | None = None


@dataclass(frozen=True, slots=True)
class CredentialOwner:
    """The workspace that a credential belongs to.

    :param priority: the workspace's priority, 0 to 9; None if it has none.
    """

    workspace: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of a client's requests and on its idle time."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Routes, services and credentials of one configuration version.

    :param services: services by name.
    :param credentials: owners by credential; None if no credentials are used.
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
        """Return the route of the host with the longest prefix of ``path``.

        :raises UnknownTargetError: there is no such route.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        raise UnknownTargetError(
            f"no route leads to {host}{path}",
            why=f"configuration version {self.version} has none",
        )

    def authorize(self, route: Route, credential: str) -> CredentialOwner | None:
        """Return the owner of a credential, or None if no credential is needed.

        :raises UnauthorizedError: the credential isn't known and the route isn't
            public.
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
        """Return how much shorter the shortest objective of a service's routes is.

        It is a share of the route's own objective: 0 for the route with the shortest
        one, 0.5 for an objective twice as long.
        """
        tightest_s = self._tightest_objective_s.get(service, route.objective_s)
        return max(0.0, 1.0 - tightest_s / max(1e-9, route.objective_s))

    def model_services(self) -> list[ServiceSpec]:
        """Return the services whose backend servers are model engines."""
        return [spec for spec in self.services.values() if spec.model is not None]


def admission_rank(route: Route, workspace_priority: int | None) -> int:
    """Return the rank by which requests get scarce capacity; the lowest goes first.

    Requests are ordered by the workspace's priority, then by the route's, since
    workspaces of the same priority still have more and less urgent routes.

    :param workspace_priority: if None, the route's priority takes its place.
    """
    rank = route.priority if workspace_priority is None else workspace_priority
    return _PRIORITY_COUNT * rank + route.priority


def require_table(table: RoutingTable | None) -> RoutingTable:
    """Return the table if there is one.

    :raises NotReadyError: no configuration has been read yet.
    """
    if table is None:
        raise NotReadyError(
            "no configuration was read yet", hint="retry after the delay in Retry-After"
        )
    return table
