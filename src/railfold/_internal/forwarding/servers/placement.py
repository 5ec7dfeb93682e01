"""Placement of the layers of models on engines.

Only the entry that holds the lease gives orders. Decisions are based on the layers that
engines register, and not on the orders that were given: an engine may execute an order
late whose answer was lost. The placement is therefore updated periodically.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from railfold._internal.core import LayerRange
from railfold._internal.decisions.domains import group_by_domain, split_into_groups
from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.decisions.leadership import Leadership
from railfold._internal.decisions.orders import (
    DesiredStateReached,
    GiveOrder,
    LoadOrder,
    NewerTokenSeen,
    OrderLimits,
    Reconciler,
    WaitForLease,
    WaitForSequences,
    WaitForSlot,
)
from railfold._internal.decisions.placement import (
    EnginePlacement,
    all_engines_busy,
    count_layers_to_load,
    estimate_throughput,
    group_demands_rps,
    plan_layers,
    planning_order,
    uncovered_ranges,
)
from railfold._internal.decisions.routing_table import (
    EngineModel,
    RoutingTable,
    ServiceSpec,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.engine_calls import EngineCalls
from railfold._internal.forwarding.servers.layer_orders import LayerOrders
from railfold._internal.forwarding.store.leadership import LEASE_S
from railfold._internal.observability.events import LayersPlanned

__all__ = ["PlacementController"]

# Interval between updates of the placement.
_INTERVAL_S = 0.2

# Time after the end of a load for the engine's registration to arrive here. An engine
# registers its layers once they are loaded; on the first sites the registration arrived
# up to 0.8 s later.
_REGISTRATION_DELAY_S = 1.2

# Time after which an order is given again that wasn't sent since its engine was silent.
_UNSENT_RETRY_S = 0.5

# If all engines are empty, planning waits until no new engine has registered for
# ``_SETTLE_S``, but at most for ``_MAX_SETTLE_S`` after this process started. A plan
# that is made too early leaves later engines without layers.
_SETTLE_S = 1.0
_MAX_SETTLE_S = 4.0

# The same wait at the first start of an installation. Its engines start one after the
# other: on the first sites the last engine registered 6.5 s after the first, and
# clients followed after 12 s.
_FIRST_START_S = 7.0

# Share of the usual load time that a load takes before the first request arrives.
_FIRST_START_LOAD_SHARE = 0.1

# Time after which a suspect engine is left out of plans, so that its layers are placed
# on other engines. A load isn't worth its cost for a shorter outage.
_SUSPECT_GRACE_S = 0.3

# Ratio of the capacity that a domain needs to its share of the arrival rate. It lets
# the domain take over a third of another domain's share, and absorb the bursts of the
# users, which reach 1.5 to 1.7 times the mean rate.
_HEADROOM_FACTOR = 1.6

# Rates are rounded up to powers of this factor, so that a small change of the arrival
# rate doesn't cause a new plan.
_RATE_ROUNDING_FACTOR = 1.25

# Everything that the plan for a group of engines depends on.
_PlanInput = tuple[EngineModel, tuple[EnginePlacement, ...], "_Demand"]


@dataclass(frozen=True, slots=True)
class _Demand:
    """Demand on a group of engines.

    :param needed_rps: requests a second that the group should be able to serve.
    :param objective_s: longest time to the first event that any route allows.
    """

    needed_rps: float
    objective_s: float


# Failure domain of a group of engines, and its number among the domain's groups.
_GroupKey = tuple[str, int]

# Everything that the throughput of a group depends on, and the throughput in requests a
# second.
_KnownThroughput = tuple[tuple[EngineModel, tuple[EnginePlacement, ...], float], float]


@dataclass(frozen=True, slots=True)
class _Group:
    """Engines of a failure domain whose layers are planned together."""

    failure_domain: str
    number: int
    members: tuple[DirectoryEntry, ...]

    @property
    def key(self) -> _GroupKey:
        """Key that identifies the group."""
        return (self.failure_domain, self.number)


class PlacementController:
    """Plans the layers of all models and orders engines to load them.

    :param first_start: whether the installation starts for the first time.
    """

    def __init__(
        self,
        router: Router,
        leadership: Leadership,
        calls: EngineCalls,
        *,
        first_start: bool,
    ) -> None:
        self._first_start = first_start
        self._router = router
        self._leadership = leadership
        self._orders = LayerOrders(router, leadership, calls)
        self._loop = asyncio.get_running_loop()
        self._reconcilers: dict[str, Reconciler] = {}
        self._targets: dict[str, LayerRange] = {}
        self._inputs_without_changes: dict[_GroupKey, _PlanInput] = {}
        self._throughputs: dict[_GroupKey, _KnownThroughput] = {}
        self._known_ids: set[str] = set()
        self._started_s = self._loop.time()
        self._last_new_engine_s = self._loop.time()

    async def run(self, ready: asyncio.Event) -> None:
        """Update the placement periodically until cancelled."""
        ready.set()
        while True:
            await self._update()
            await asyncio.sleep(_INTERVAL_S)

    async def _update(self) -> None:
        now_s = self._loop.time()
        table = self._router.table
        self._track_engines(now_s)
        if table is None or self._leadership.current_token(now_s) is None:
            self._targets.clear()  # Another entry may plan now.
            self._inputs_without_changes.clear()
            self._throughputs.clear()
            return
        for spec in table.model_services():
            if spec.model is not None:
                objective_s = _longest_objective_s(table, spec.name)
                await self._place(spec, spec.model, objective_s, now_s)

    def _track_engines(self, now_s: float) -> None:
        known = {
            e.server_id
            for e in self._router.directory
            if e.registration.is_model_engine
        }
        if known - self._known_ids:
            self._last_new_engine_s = now_s
        self._known_ids = known
        for departed_id in set(self._reconcilers) - known:
            del self._reconcilers[departed_id]
            self._targets.pop(departed_id, None)
            self._orders.forget(departed_id)

    async def _place(
        self, spec: ServiceSpec, model: EngineModel, objective_s: float, now_s: float
    ) -> None:
        entries = [e for e in self._router.directory.servers_of(spec.name)]
        usable = [e for e in entries if self._is_usable(e, model, now_s)]
        if not any(e.registration.layers for e in usable) and not self._is_settled(
            now_s
        ):
            return
        free = [e for e in usable if not self._executes_unknown_order(e, now_s)]
        groups = [
            _Group(members[0].registration.failure_domain, number, tuple(members))
            for domain_members in _by_domain(free, model)
            for number, members in enumerate(
                split_into_groups(domain_members, lambda e: e.server_id)
            )
        ]
        arriving_rps = self._router.arriving_rps(spec.name)
        needed_rps = _round_up_rate(_HEADROOM_FACTOR * arriving_rps)
        group_arriving_rps = arriving_rps / max(1, len(groups))
        served_rps = [self._group_throughput_rps(g, model, objective_s) for g in groups]
        for index in planning_order(served_rps):
            group = groups[index]
            group_rps = group_demands_rps(served_rps, needed_rps)[index]
            demand = _Demand(group_rps, objective_s)
            plan = self._group_plan(group, model, demand, group_arriving_rps)
            self._targets.update(plan)
            if plan:
                served_rps[index] = self._group_throughput_rps(
                    group, model, objective_s
                )
                # Let other tasks run in between: a plan takes about 10 ms, and many may
                # be made in a row.
                await asyncio.sleep(0)
        self._router.metrics.gauge("placement.served_rps", sum(served_rps))
        self._router.metrics.gauge("placement.needed_rps", needed_rps)
        self._give_orders(usable, model, self._loop.time())

    def _is_usable(
        self, entry: DirectoryEntry, model: EngineModel, now_s: float
    ) -> bool:
        if entry.draining:
            return False
        held_layers = entry.registration.layers
        if held_layers is not None and not model.has_layers(held_layers):
            return False  # It holds another model, or registers invalid layers.
        since_s = entry.suspect_since_s
        return since_s is None or now_s - since_s < _SUSPECT_GRACE_S

    def _is_settled(self, now_s: float) -> bool:
        if self._first_start:
            return now_s - self._started_s >= _FIRST_START_S
        if now_s - self._last_new_engine_s >= _SETTLE_S:
            return True
        return now_s - self._started_s >= _MAX_SETTLE_S

    def _executes_unknown_order(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Return whether an engine without layers executes an order of another entry.

        The order's layers aren't known, so that plans can't include the engine.
        """
        if entry.registration.layers is not None or entry.server_id in self._targets:
            return False
        return self._orders.is_executing(entry.server_id, now_s)

    def _group_throughput_rps(
        self, group: _Group, model: EngineModel, objective_s: float
    ) -> float:
        engines = tuple(self._engine_placement(entry, model) for entry in group.members)
        plan_input = (model, engines, objective_s)
        known = self._throughputs.get(group.key)
        if known is not None and known[0] == plan_input:
            return known[1]
        estimate = estimate_throughput(engines, model, objective_s)
        self._throughputs[group.key] = (plan_input, estimate.throughput_rps)
        return estimate.throughput_rps

    def _group_plan(
        self, group: _Group, model: EngineModel, demand: _Demand, arriving_rps: float
    ) -> dict[str, LayerRange]:
        engines = tuple(self._engine_placement(entry, model) for entry in group.members)
        if all_engines_busy(engines, model, arriving_rps):
            engines = tuple(
                replace(engine, busy=engine.held_layers is not None)
                for engine in engines
            )
        # In most updates nothing has changed, and a plan takes about 10 ms.
        plan_input = (model, engines, demand)
        if self._inputs_without_changes.get(group.key) == plan_input:
            return {}
        plan = plan_layers(engines, model, demand.needed_rps, demand.objective_s)
        if plan:
            self._inputs_without_changes.pop(group.key, None)
            self._log_plan(group.failure_domain, engines, model, demand, plan)
        else:
            self._inputs_without_changes[group.key] = plan_input
        return plan

    def _log_plan(
        self,
        domain: str,
        engines: tuple[EnginePlacement, ...],
        model: EngineModel,
        demand: _Demand,
        plan: dict[str, LayerRange],
    ) -> None:
        self._router.metrics.count("layers.planned")
        after = [
            replace(engine, held_layers=plan.get(engine.server_id, engine.held_layers))
            for engine in engines
        ]
        current = estimate_throughput(engines, model, demand.objective_s)
        planned = estimate_throughput(after, model, demand.objective_s)
        event = LayersPlanned(
            domain,
            round(current.throughput_rps, 1),
            round(planned.throughput_rps, 1),
            round(demand.needed_rps, 1),
            self._router.fleet_arrivals.announcing_entries,
            [str(chain) for chain in planned.chains],
            {server_id: str(layers) for server_id, layers in plan.items()},
        )
        self._router.log.write(event)

    def _engine_placement(
        self, entry: DirectoryEntry, model: EngineModel
    ) -> EnginePlacement:
        """Return an engine with its layers and state, as the input of a plan.

        Planned layers count as held. A plan is executed over many updates, and is
        changed only where an engine was lost.
        """
        kind = model.accelerators[entry.registration.accelerator]
        return EnginePlacement(
            entry.server_id,
            kind.slowed(entry.slowness),
            self._targets.get(entry.server_id, entry.registration.layers),
            order_pending=entry.server_id in self._targets,
            busy=self._router.fleet_load.own_load(entry.server_id).tokens > 0,
        )

    def _give_orders(
        self,
        entries: list[DirectoryEntry],
        model: EngineModel,
        now_s: float,
    ) -> None:
        by_id = {e.server_id: e for e in entries}
        self._drop_reached_targets(by_id)
        for server_id in self._by_urgency(entries, model):
            if len(self._orders.in_progress) >= model.loads_at_once:
                return
            if self._orders.has_other_order(server_id, self._targets[server_id], now_s):
                del self._targets[server_id]  # Plan again without the engine.
            elif server_id not in self._orders.in_progress:
                self._order_if_due(
                    by_id[server_id], self._targets[server_id], model, now_s
                )

    def _drop_reached_targets(self, by_id: Mapping[str, DirectoryEntry]) -> None:
        for server_id, target in list(self._targets.items()):
            entry = by_id.get(server_id)
            if entry is not None and entry.registration.layers == target:
                del self._targets[server_id]

    def _by_urgency(
        self,
        entries: list[DirectoryEntry],
        model: EngineModel,
    ) -> list[str]:
        """Return the ids of the engines with planned layers, most urgent first.

        Engines of the domains with the fewest uncovered layers come first.
        """
        uncovered_counts: dict[str, int] = {}
        for members in _by_domain(entries, model):
            gaps = uncovered_ranges(
                (e.registration.layers for e in members), model.layer_count
            )
            domain = members[0].registration.failure_domain
            uncovered_counts[domain] = sum(len(gap) for gap in gaps)
        domains = {e.server_id: e.registration.failure_domain for e in entries}
        known = [server_id for server_id in self._targets if server_id in domains]
        return sorted(
            known, key=lambda s: (uncovered_counts.get(domains[s], 0), domains[s], s)
        )

    def _order_if_due(
        self,
        entry: DirectoryEntry,
        layers: LayerRange,
        model: EngineModel,
        now_s: float,
    ) -> None:
        fencing_token = self._leadership.current_token(now_s)
        if fencing_token is None:
            return
        held_layers = entry.registration.layers
        load_s = self._load_s(held_layers, layers, model, now_s)
        reconciler = self._reconciler(entry.server_id, model)
        loaded = (model.name, "", held_layers) if held_layers is not None else None
        decision = reconciler.decide(
            (LoadOrder(model.name, "", layers, fencing_token), 0),
            loaded=loaded,
            engine_fencing_token=0,
            open_sequences=0,
            last_contact_s=now_s,
            now_s=now_s,
        )
        match decision:
            case GiveOrder(order=order):
                reconciler.record_order(now_s, load_s + _REGISTRATION_DELAY_S)
                self._orders.start_order(
                    entry,
                    order,
                    load_s,
                    lambda: reconciler.record_order(self._loop.time(), _UNSENT_RETRY_S),
                )
            case (
                DesiredStateReached()
                | WaitForLease()
                | WaitForSequences()
                | WaitForSlot()
                | NewerTokenSeen()
            ):
                pass

    def _reconciler(self, server_id: str, model: EngineModel) -> Reconciler:
        limits = OrderLimits(lease_s=LEASE_S, loads_per_s=float(model.loads_at_once))
        return self._reconcilers.setdefault(server_id, Reconciler(limits))

    def _load_s(
        self,
        held_layers: LayerRange | None,
        layers: LayerRange,
        model: EngineModel,
        now_s: float,
    ) -> float:
        """Return how long an engine takes to load layers it doesn't hold yet."""
        load_s = (
            model.load_s * count_layers_to_load(held_layers, layers) / model.layer_count
        )
        early = now_s - self._started_s < _FIRST_START_S + _MAX_SETTLE_S
        if self._first_start and early:
            return load_s * _FIRST_START_LOAD_SHARE
        return load_s


def _by_domain(
    entries: Iterable[DirectoryEntry], model: EngineModel
) -> list[list[DirectoryEntry]]:
    known = [e for e in entries if e.registration.accelerator in model.accelerators]
    return group_by_domain(known, lambda e: e.registration.failure_domain)


def _longest_objective_s(table: RoutingTable, service: str) -> float:
    """Return the longest latency objective of the routes to a service, in seconds.

    The result is infinite if the service has no route.
    """
    objectives_s = [
        route.objective_s
        for route in table.routes
        if any(part.service == service for part in route.services)
    ]
    return max(objectives_s, default=math.inf)


def _round_up_rate(per_s: float) -> float:
    """Return a rate rounded up to a power of the factor, at least 1.0."""
    return float(
        _RATE_ROUNDING_FACTOR
        ** math.ceil(math.log(max(1.0, per_s), _RATE_ROUNDING_FACTOR))
    )
