"""Child that keeps the layers of models placed on engines.

Only the holder of the lease gives orders. What each engine registered decides,
not which orders were given: an order without an answer may be carried out late,
and is met by looking again.
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
    GiveOrder,
    LevelReached,
    LoadOrder,
    OrderLimits,
    Reconciler,
    WaitForLease,
    WaitForSequences,
    WaitForSlot,
    WaitForSuccessor,
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

_INTERVAL_S = 0.2

# An engine registers new layers once they are loaded; what it answered with a
# lag of up to 0.8 s on the first sites.
_REGISTRATION_DELAY_S = 1.2

# A plan for engines that are all empty waits until none has appeared for this
# long: one that is made too early leaves engines without layers of their own.
_SETTLE_S = 1.0
_MAX_SETTLE_S = 4.0

# When an installation starts for the first time its engines come up one by one,
# the last of them 6.5 s after the first on the first sites, and clients come
# 12 s after.
_FIRST_START_S = 7.0

# Loads before the first request take a tenth of their time.
_FIRST_START_LOAD_SHARE = 0.1

# An engine that is suspect for this long is given up, and its layers placed
# elsewhere; a shorter silence isn't worth a load.
_SUSPECT_GRACE_S = 0.3

# What a domain should be able to serve, over its share of what arrives: enough to
# take up a third of another domain's share, and the users' bursts of 1.5 to 1.7.
_HEADROOM_FACTOR = 1.6

# Rates are rounded up to powers of this, so that a plan isn't asked for anew whenever
# a request more or less arrives.
_RATE_ROUNDING_FACTOR = 1.25

# What a plan for a group of engines depends on.
_PlanInput = tuple[EngineModel, tuple[EnginePlacement, ...], "_Demand"]


@dataclass(frozen=True, slots=True)
class _Demand:
    """What clients want of a group of engines.

    :param needed_rps: requests a second.
    :param objective_s: the longest time to a first event that any route allows.
    """

    needed_rps: float
    objective_s: float


# Failure domain and number of a group of engines.
_GroupKey = tuple[str, int]

# What the throughput of a group depends on, and the throughput.
_KnownThroughput = tuple[tuple[EngineModel, tuple[EnginePlacement, ...], float], float]


@dataclass(frozen=True, slots=True)
class _Group:
    """Engines of a failure domain whose layers are placed together."""

    failure_domain: str
    number: int
    members: tuple[DirectoryEntry, ...]

    @property
    def key(self) -> _GroupKey:
        return (self.failure_domain, self.number)


class PlacementController:
    """Keeps every model's layers placed."""

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
        """Look at the placement until cancelled."""
        ready.set()
        while True:
            await self._update()
            await asyncio.sleep(_INTERVAL_S)

    async def _update(self) -> None:
        now_s = self._loop.time()
        table = self._router.table
        self._track_engines(now_s)
        if table is None or self._leadership.fencing(now_s) is None:
            self._targets.clear()  # Another may plan meanwhile.
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
                # Whatever is due runs in between: a plan takes some 10 ms, and there
                # may be many at once.
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
            return False  # It is of another model, or doesn't know what it holds.
        since_s = entry.suspect_since_s
        return since_s is None or now_s - since_s < _SUSPECT_GRACE_S

    def _is_settled(self, now_s: float) -> bool:
        if self._first_start:
            return now_s - self._started_s >= _FIRST_START_S
        if now_s - self._last_new_engine_s >= _SETTLE_S:
            return True
        return now_s - self._started_s >= _MAX_SETTLE_S

    def _executes_unknown_order(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Return whether an engine without layers is carrying out another's order.

        Whoever gave it isn't known, nor to what end; a plan can't count on the engine.
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
            engines = tuple(replace(r, busy=r.held_layers is not None) for r in engines)
        # Most looks find what the one before found, and a plan takes some 10 ms.
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
            replace(r, held_layers=plan.get(r.server_id, r.held_layers))
            for r in engines
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
        """Return an engine as plans see it.

        What was planned counts as held: a plan is carried out over many looks, and
        only changed where an engine was lost.
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
                del self._targets[server_id]  # Planned anew, around the engine.
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
        """Return engines to order: those of the most complete domains first."""
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
        fencing = self._leadership.fencing(now_s)
        if fencing is None:
            return
        held_layers = entry.registration.layers
        load_s = self._load_s(held_layers, layers, model, now_s)
        reconciler = self._reconciler(entry.server_id, model)
        loaded = (model.name, "", held_layers) if held_layers is not None else None
        decision = reconciler.decide(
            (LoadOrder(model.name, "", layers, fencing), 0),
            loaded=loaded,
            engine_fencing=0,
            open_sequences=0,
            heard_s=now_s,
            now_s=now_s,
        )
        match decision:
            case GiveOrder(order=order):
                reconciler.ordered(now_s, load_s + _REGISTRATION_DELAY_S)
                self._orders.start_order(entry, order, load_s)
            case (
                LevelReached()
                | WaitForLease()
                | WaitForSequences()
                | WaitForSlot()
                | WaitForSuccessor()
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
        """Return how long an engine takes to load what it doesn't hold, undisturbed."""
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
    """Return the longest objective of the routes to a service."""
    objectives_s = [
        route.objective_s
        for route in table.routes
        if any(part.service == service for part in route.services)
    ]
    return max(objectives_s, default=math.inf)


def _round_up_rate(per_s: float) -> float:
    """Return the next power of the step from a rate, at least one request a second."""
    return float(
        _RATE_ROUNDING_FACTOR
        ** math.ceil(math.log(max(1.0, per_s), _RATE_ROUNDING_FACTOR))
    )
