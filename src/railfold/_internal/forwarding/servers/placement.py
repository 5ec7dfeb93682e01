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

__all__ = ["PlacementKeeper"]

_LOOK_S = 0.2

# An engine registers new layers once they are loaded; what it answered with a
# lag of up to 0.8 s on the first sites.
_READ_BACK_S = 1.2

# A plan for engines that are all empty waits until none has appeared for this
# long: one that is made too early leaves engines without layers of their own.
_SETTLED_S = 1.0
_SETTLED_MOST_S = 4.0

# When an installation starts for the first time its engines come up one by one,
# the last of them 6.5 s after the first on the first sites, and clients come
# 12 s after.
_FIRST_START_S = 7.0

# Loads before the first request take a tenth of their time.
_FIRST_START_LOAD_SHARE = 0.1

# An engine that is suspect for this long is given up, and its layers placed
# elsewhere; a shorter silence isn't worth a load.
_GIVEN_UP_S = 0.3

# What a domain should be able to serve, over its share of what arrives: enough to
# take up a third of another domain's share, and the users' bursts of 1.5 to 1.7.
_HEADROOM = 1.6

# Rates are rounded up to powers of this, so that a plan isn't asked for anew whenever
# a request more or less arrives.
_RATE_STEP = 1.25

# What a plan for a group of engines depends on.
_Question = tuple[EngineModel, tuple[EnginePlacement, ...], "_Wanted"]


@dataclass(frozen=True, slots=True)
class _Wanted:
    """What clients want of a group of engines.

    :param needed_rps: requests a second.
    :param objective_s: the longest time to a first event that any route allows.
    """

    needed_rps: float
    objective_s: float


# Failure domain and number of a group of engines.
_GroupKey = tuple[str, int]

# What the throughput of a group depends on, and the throughput.
_KnownSupply = tuple[tuple[EngineModel, tuple[EnginePlacement, ...], float], float]


@dataclass(frozen=True, slots=True)
class _Group:
    """Engines of a failure domain whose layers are placed together."""

    failure_domain: str
    number: int
    members: tuple[DirectoryEntry, ...]

    @property
    def key(self) -> _GroupKey:
        return (self.failure_domain, self.number)


class PlacementKeeper:
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
        self._left_as_is: dict[_GroupKey, _Question] = {}
        self._supplies: dict[_GroupKey, _KnownSupply] = {}
        self._known: set[str] = set()
        self._started_s = self._loop.time()
        self._changed_s = self._loop.time()

    async def run(self, ready: asyncio.Event) -> None:
        """Look at the placement until cancelled."""
        ready.set()
        while True:
            await self._look()
            await asyncio.sleep(_LOOK_S)

    async def _look(self) -> None:
        now_s = self._loop.time()
        table = self._router.table
        self._note_appearances(now_s)
        if table is None or self._leadership.current_token(now_s) is None:
            self._targets.clear()  # Another may plan meanwhile.
            self._left_as_is.clear()
            self._supplies.clear()
            return
        for spec in table.model_services():
            if spec.model is not None:
                objective_s = _loosest_objective_s(table, spec.name)
                await self._place(spec, spec.model, objective_s, now_s)

    def _note_appearances(self, now_s: float) -> None:
        known = {
            e.server_id
            for e in self._router.directory
            if e.registration.is_model_engine
        }
        if known - self._known:
            self._changed_s = now_s
        self._known = known
        for gone in set(self._reconcilers) - known:
            del self._reconcilers[gone]
            self._targets.pop(gone, None)
            self._orders.forget(gone)

    async def _place(
        self, spec: ServiceSpec, model: EngineModel, objective_s: float, now_s: float
    ) -> None:
        entries = [e for e in self._router.directory.servers_of(spec.name)]
        usable = [e for e in entries if self._usable(e, model, now_s)]
        if not any(e.registration.layers for e in usable) and not self._settled(now_s):
            return
        free = [e for e in usable if not self._carries_order(e, now_s)]
        groups = [
            _Group(members[0].registration.failure_domain, number, tuple(members))
            for domain_members in _by_domain(free, model)
            for number, members in enumerate(
                split_into_groups(domain_members, lambda e: e.server_id)
            )
        ]
        arriving_rps = self._router.arriving_rps(spec.name)
        needed_rps = _rounded(_HEADROOM * arriving_rps)
        part_rps = arriving_rps / max(1, len(groups))
        served_rps = [self._served_rps(g, model, objective_s) for g in groups]
        for index in planning_order(served_rps):
            group = groups[index]
            group_rps = group_demands_rps(served_rps, needed_rps)[index]
            wanted = _Wanted(group_rps, objective_s)
            plan = self._group_plan(group, model, wanted, part_rps)
            self._targets.update(plan)
            if plan:
                served_rps[index] = self._served_rps(group, model, objective_s)
                # Whatever is due runs in between: a plan takes some 10 ms, and there
                # may be many at once.
                await asyncio.sleep(0)
        self._router.metrics.gauge("placement.served_rps", sum(served_rps))
        self._router.metrics.gauge("placement.needed_rps", needed_rps)
        self._give(usable, model, self._loop.time())

    def _usable(self, entry: DirectoryEntry, model: EngineModel, now_s: float) -> bool:
        if entry.draining:
            return False
        held = entry.registration.layers
        if held is not None and not model.has_layers(held):
            return False  # It is of another model, or doesn't know what it holds.
        since_s = entry.suspect_since_s
        return since_s is None or now_s - since_s < _GIVEN_UP_S

    def _settled(self, now_s: float) -> bool:
        if self._first_start:
            return now_s - self._started_s >= _FIRST_START_S
        if now_s - self._changed_s >= _SETTLED_S:
            return True
        return now_s - self._started_s >= _SETTLED_MOST_S

    def _carries_order(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Return whether an engine without layers is carrying out another's order.

        Whoever gave it isn't known, nor to what end; a plan can't count on the engine.
        """
        if entry.registration.layers is not None or entry.server_id in self._targets:
            return False
        return self._orders.is_carrying(entry.server_id, now_s)

    def _served_rps(
        self, group: _Group, model: EngineModel, objective_s: float
    ) -> float:
        rooms = tuple(self._room(entry, model) for entry in group.members)
        question = (model, rooms, objective_s)
        known = self._supplies.get(group.key)
        if known is not None and known[0] == question:
            return known[1]
        supply = estimate_throughput(rooms, model, objective_s)
        self._supplies[group.key] = (question, supply.throughput_rps)
        return supply.throughput_rps

    def _group_plan(
        self, group: _Group, model: EngineModel, wanted: _Wanted, arriving_rps: float
    ) -> dict[str, LayerRange]:
        rooms = tuple(self._room(entry, model) for entry in group.members)
        if all_engines_busy(rooms, model, arriving_rps):
            rooms = tuple(replace(r, busy=r.held_layers is not None) for r in rooms)
        # Most looks find what the one before found, and a plan takes some 10 ms.
        question = (model, rooms, wanted)
        if self._left_as_is.get(group.key) == question:
            return {}
        plan = plan_layers(rooms, model, wanted.needed_rps, wanted.objective_s)
        if plan:
            self._left_as_is.pop(group.key, None)
            self._log_plan(group.failure_domain, rooms, model, wanted, plan)
        else:
            self._left_as_is[group.key] = question
        return plan

    def _log_plan(
        self,
        domain: str,
        rooms: tuple[EnginePlacement, ...],
        model: EngineModel,
        wanted: _Wanted,
        plan: dict[str, LayerRange],
    ) -> None:
        self._router.metrics.count("layers.planned")
        after = [
            replace(r, held_layers=plan.get(r.server_id, r.held_layers)) for r in rooms
        ]
        now = estimate_throughput(rooms, model, wanted.objective_s)
        then = estimate_throughput(after, model, wanted.objective_s)
        event = LayersPlanned(
            domain,
            round(now.throughput_rps, 1),
            round(then.throughput_rps, 1),
            round(wanted.needed_rps, 1),
            self._router.fleet_arrivals.announcing_entries,
            [str(chain) for chain in then.chains],
            {server_id: str(layers) for server_id, layers in plan.items()},
        )
        self._router.log.write(event)

    def _room(self, entry: DirectoryEntry, model: EngineModel) -> EnginePlacement:
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

    def _give(
        self,
        entries: list[DirectoryEntry],
        model: EngineModel,
        now_s: float,
    ) -> None:
        by_id = {e.server_id: e for e in entries}
        self._drop_reached(by_id)
        for server_id in self._by_urgency(entries, model):
            if len(self._orders.under_way) >= model.loads_at_once:
                return
            if self._orders.has_other_order(server_id, self._targets[server_id], now_s):
                del self._targets[server_id]  # Planned anew, around the engine.
            elif server_id not in self._orders.under_way:
                self._decide(by_id[server_id], self._targets[server_id], model, now_s)

    def _drop_reached(self, by_id: Mapping[str, DirectoryEntry]) -> None:
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
        missing: dict[str, int] = {}
        for members in _by_domain(entries, model):
            gaps = uncovered_ranges(
                (e.registration.layers for e in members), model.layer_count
            )
            domain = members[0].registration.failure_domain
            missing[domain] = sum(len(gap) for gap in gaps)
        domains = {e.server_id: e.registration.failure_domain for e in entries}
        known = [server_id for server_id in self._targets if server_id in domains]
        return sorted(known, key=lambda s: (missing.get(domains[s], 0), domains[s], s))

    def _decide(
        self,
        entry: DirectoryEntry,
        layers: LayerRange,
        model: EngineModel,
        now_s: float,
    ) -> None:
        fencing = self._leadership.current_token(now_s)
        if fencing is None:
            return
        held = entry.registration.layers
        load_s = self._load_s(held, layers, model, now_s)
        reconciler = self._reconciler(entry.server_id, model)
        loaded = (model.name, "", held) if held is not None else None
        decision = reconciler.decide(
            (LoadOrder(model.name, "", layers, fencing), 0),
            loaded=loaded,
            engine_fencing_token=0,
            open_sequences=0,
            last_contact_s=now_s,
            now_s=now_s,
        )
        match decision:
            case GiveOrder(order=order):
                reconciler.record_order(now_s, load_s + _READ_BACK_S)
                self._orders.give(entry, order, load_s)
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
        held: LayerRange | None,
        layers: LayerRange,
        model: EngineModel,
        now_s: float,
    ) -> float:
        """Return how long an engine takes to load what it doesn't hold, undisturbed."""
        load_s = model.load_s * count_layers_to_load(held, layers) / model.layer_count
        early = now_s - self._started_s < _FIRST_START_S + _SETTLED_MOST_S
        if self._first_start and early:
            return load_s * _FIRST_START_LOAD_SHARE
        return load_s


def _by_domain(
    entries: Iterable[DirectoryEntry], model: EngineModel
) -> list[list[DirectoryEntry]]:
    known = [e for e in entries if e.registration.accelerator in model.accelerators]
    return group_by_domain(known, lambda e: e.registration.failure_domain)


def _loosest_objective_s(table: RoutingTable, service: str) -> float:
    """Return the longest objective of the routes to a service."""
    objectives_s = [
        route.objective_s
        for route in table.routes
        if any(part.service == service for part in route.services)
    ]
    return max(objectives_s, default=math.inf)


def _rounded(per_s: float) -> float:
    """Return the next power of the step from a rate, at least one request a second."""
    return float(_RATE_STEP ** math.ceil(math.log(max(1.0, per_s), _RATE_STEP)))
