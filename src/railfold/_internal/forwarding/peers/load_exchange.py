"""Child that announces this entry's load and arrivals, and takes the others'.

Servers and demand are named by short digests, which each entry finds again among the
servers and workspaces that it knows itself.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence

import msgspec
from absl import logging

from railfold._internal.decisions.fleet_demand import DemandKey
from railfold._internal.decisions.fleet_load import EntryLoad
from railfold._internal.decisions.load_rounds import (
    AmountsByKey,
    DomainSum,
    LoadRounds,
    OtherEntriesLoad,
    PublishSum,
    SendContribution,
)
from railfold._internal.decisions.routing_table import (
    Route,
    RoutingTable,
    admission_rank,
)
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import (
    MOST_ROWS_BYTES,
    DomainLoadNotice,
    LoadPartNotice,
    LoadRows,
    LoadSumNotice,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.observability.events import LoadNewsChanged

__all__ = ["LoadExchange", "LoadMessage"]

LoadMessage = LoadPartNotice | LoadSumNotice | DomainLoadNotice

# What an entry sends and receives for this; 6 KB/s are for all of control.
_BYTES_PER_S = 4500.0

# Requests stay for seconds, so that sums that are younger change little.
_SHORTEST_INTERVAL_S = 0.4
_LONGEST_INTERVAL_S = 10.0

# A round is this part of the interval long if nothing is lost.
_USUAL_ROUND = 0.75

# After so many intervals without a sum an entry reckons by itself.
_LIFETIME_INTERVALS = 6

_STEPS_PER_INTERVAL = 8

# Of code, envelope, names and headers of the network.
_MESSAGE_BYTES = 200

# What tokens are counted in, so that most amounts take one or two bytes.
_TOKENS_UNIT = 16

# The busiest ranks and workspaces of an entry, and of a sum.
_MOST_DEMAND_ROWS = 32
_MOST_DEMAND_ROWS_OF_SUM = 64

_LOAD_AMOUNTS = 4
_DEMAND_AMOUNTS = 1

# Messages whose pages haven't all come.
_INCOMPLETE_KEPT = 32

# Below this share of entries whose load is known, the exchange is logged as lost.
_KNOWN_SHARE = 0.5

# How long a server counts as full that rejected requests of others lately.
_FULL_S = 0.1

# A sum of another domain that arrives as a round ends is passed on once more.
_MOST_HOPS = 2

_OTHERS = "others"


class LoadExchange:
    """Sends parts and sums of load to other entries, and takes theirs.

    :param name: this entry's.
    """

    def __init__(self, name: str, router: Router, channel: PeerChannel) -> None:
        self._name = name
        self._router = router
        self._channel = channel
        self._loop = asyncio.get_running_loop()
        self._rounds = LoadRounds(
            name, router.failure_domain, _SHORTEST_INTERVAL_S, router.rng.random
        )
        self._pages: OrderedDict[tuple[str, str, int], dict[int, LoadRows]]
        self._pages = OrderedDict()
        self._demand_version: int | None = None
        self._demand_keys: dict[int, DemandKey] = {}
        self._knows_others: bool | None = None

    async def run(self, ready: asyncio.Event) -> None:
        """Exchange until cancelled."""
        ready.set()
        while True:
            self._step()
            await asyncio.sleep(self._rounds.interval_s / _STEPS_PER_INTERVAL)

    def _step(self) -> None:
        now_s = self._loop.time()
        members = self._channel.names_by_domain if self._channel.peers else {}
        self._note_known(now_s, others=sum(map(len, members.values())) > 1)
        if sum(map(len, members.values())) < 2:
            return
        for action in self._rounds.step(now_s, members, lambda: self._own(now_s)):
            match action:
                case SendContribution(to=to, round=number, contribution=part):
                    for rows in _pages(part):
                        message = LoadPartNotice(self._name, number, rows)
                        self._channel.tell_one(to, message)
                case PublishSum():
                    self._publish(action, members, now_s)

    def _publish(
        self, action: PublishSum, members: Mapping[str, Sequence[str]], now_s: float
    ) -> None:
        included = [_short_digest(name) for name in action.included]
        total = _bounded(action.total)
        for rows in _pages(total):
            message = LoadSumNotice(
                self._name,
                action.round,
                included,
                action.entries,
                rows,
                math.ceil(action.age_s * 1000),
                dict(action.known_rounds),
            )
            self._channel.tell_each(action.to, message)
        for rows in (
            _pages(_bounded(action.domain_total))
            if action.other_domain_receivers
            else ()
        ):
            domain_message = DomainLoadNotice(
                self._router.failure_domain,
                action.round,
                len(action.included),
                rows,
                dict(action.known_rounds),
            )
            self._channel.tell_each(action.other_domain_receivers, domain_message)
        for known in action.forwarded_sums:
            self._hand_over(known, action.next_collector)
        self._router.metrics.count("load.sums_published")
        taken = self._rounds.sum_received(
            self._name,
            action.round,
            total,
            action.entries,
            now_s,
            includes_own=True,
            age_s=action.age_s,
            known_rounds=action.known_rounds,
        )
        self._pace(total, members)
        if taken is not None:
            self._take(taken, now_s)

    def _hand_over(self, known: DomainSum, collector: str) -> None:
        seen = (
            {self._router.failure_domain: known.known_round}
            if known.known_round
            else {}
        )
        for rows in _pages(known.amounts_by_key) if collector != self._name else ():
            message = DomainLoadNotice(
                known.domain, known.round, known.entries, rows, seen, hops=1
            )
            self._channel.tell_one(collector, message)

    # Messages of other entries

    def received(self, message: LoadMessage) -> None:
        """Take a message, once all its pages are there."""
        now_s = self._loop.time()
        if isinstance(message, DomainLoadNotice) and message.hops < _MOST_HOPS:
            home = self._channel.names_by_domain.get(self._router.failure_domain, ())
            collector = self._rounds.next_collector(home, now_s)
            if collector != self._name:
                passed_on = msgspec.structs.replace(message, hops=message.hops + 1)
                self._channel.tell_one(collector, passed_on)
                return
        parts = self._assemble(message)
        if parts is None:
            return
        match message:
            case LoadPartNotice(name=name, round=number):
                if self._rounds.contribution_received(name, number, parts):
                    self._step()  # It may be the last one.
                else:
                    self._router.metrics.count("load.parts_late")
            case DomainLoadNotice(domain=domain, round=number, entries=entries):
                seen = message.seen.get(self._router.failure_domain)
                foreign = DomainSum(domain, number, entries, parts, seen)
                self._rounds.domain_sum_received(foreign, now_s)
            case LoadSumNotice(name=name, round=number, entries=entries):
                taken = self._rounds.sum_received(
                    name,
                    number,
                    parts,
                    entries,
                    now_s,
                    includes_own=_short_digest(self._name) in message.included,
                    age_s=message.age_ms / 1000.0,
                    known_rounds=message.seen,
                )
                self._pace(parts, self._channel.names_by_domain)
                if taken is not None:
                    self._take(taken, now_s)

    def _assemble(self, message: LoadMessage) -> AmountsByKey | None:
        sender = (
            message.domain if isinstance(message, DomainLoadNotice) else message.name
        )
        content = message.content
        key = (type(message).__name__, sender, message.round)
        pages = self._pages.pop(key, {})
        pages[content.page] = content
        if len(pages) < content.pages:
            self._pages[key] = pages
            if len(self._pages) > _INCOMPLETE_KEPT:
                self._pages.popitem(last=False)
            return None
        parts: dict[int, tuple[int, ...]] = {}
        for page in pages.values():
            for digest, *amounts in page.rows:
                wanted = _DEMAND_AMOUNTS if digest % 2 else _LOAD_AMOUNTS
                if len(amounts) > wanted:
                    self._refuse(f"a row of {len(amounts)} amounts")
                    return None
                parts[digest] = (*amounts, *(0,) * (wanted - len(amounts)))
        return parts

    def _refuse(self, cause: str) -> None:
        self._router.metrics.count("peers.refused")
        logging.info("another entry's load is passed over: %s", cause)

    def _take(self, taken: OtherEntriesLoad, now_s: float) -> None:
        """Take what the other entries have under way, and what arrives there."""
        router = self._router
        loads: dict[str, EntryLoad] = {}
        servers = {_load_key(e.server_id): e.server_id for e in router.directory}
        demand_keys = self._known_demand_keys()
        demand: dict[DemandKey, float] = {}
        for digest, amounts in taken.amounts_by_key.items():
            if digest % 2:
                if digest in demand_keys:
                    demand[demand_keys[digest]] = float(amounts[0])
            elif digest in servers:
                tokens, sequences, pending_prompt_tokens, full = amounts
                loads[servers[digest]] = EntryLoad(
                    tokens * _TOKENS_UNIT,
                    sequences,
                    pending_prompt_tokens * _TOKENS_UNIT,
                )
                if full:
                    router.fleet_load.announced_full(servers[digest], now_s + _FULL_S)
        entries = taken.entries
        if entries:
            load, arrivals = router.fleet_load, router.fleet_demand
            load.announced(_OTHERS, loads, taken.at_s, now_s, entries)
            arrivals.announced(_OTHERS, demand, taken.at_s, now_s, entries)
        router.metrics.count("load.sums_taken")

    # This entry's own part

    def _own(self, now_s: float) -> AmountsByKey:
        router = self._router
        own: dict[int, tuple[int, ...]] = {}
        full = set(router.fleet_load.full_servers(now_s))
        for server_id in full | set(router.fleet_load.own):
            part = router.fleet_load.own_load(server_id)
            own[_load_key(server_id)] = (
                _units(part.tokens),
                part.sequences,
                _units(part.pending_prompt_tokens),
                int(server_id in full),
            )
        arriving = router.fleet_demand.own_per_s(now_s)
        busiest = sorted(arriving, key=lambda key: -arriving[key])[:_MOST_DEMAND_ROWS]
        for key in busiest:
            if round(arriving[key]):
                own[_demand_key(key)] = (round(arriving[key]),)
        return own

    def _known_demand_keys(self) -> Mapping[int, DemandKey]:
        table = self._router.table
        if table is not None and table.version != self._demand_version:
            self._demand_version = table.version
            keys = _demand_keys(table)
            self._demand_keys = {_demand_key(key): key for key in keys}
        return self._demand_keys

    # Pace

    def _pace(self, total: AmountsByKey, members: Mapping[str, Sequence[str]]) -> None:
        """Let the interval follow from what a round takes of the budget.

        On average an entry sends a part and a sum, and receives as much, where parts
        are about half as large. Sums of other domains come, are passed on and handed
        over, once a domain.
        """
        pages = _pages(total)
        sum_bytes = len(pages) * _MESSAGE_BYTES + sum(map(_row_bytes, total.items()))
        home = max(1, len(members.get(self._router.failure_domain, ())))
        messages = 2.5 + 4.0 * max(0, len(members) - 1) / home
        interval_s = messages * sum_bytes / (_BYTES_PER_S * _USUAL_ROUND)
        interval_s = min(_LONGEST_INTERVAL_S, max(_SHORTEST_INTERVAL_S, interval_s))
        self._rounds.interval_s = interval_s
        lifetime_s = _LIFETIME_INTERVALS * interval_s
        self._router.fleet_load.lifetime_s = lifetime_s
        self._router.fleet_demand.lifetime_s = lifetime_s
        self._router.metrics.gauge("load.interval_s", interval_s)

    def _note_known(self, now_s: float, *, others: bool) -> None:
        load, metrics = self._router.fleet_load, self._router.metrics
        known = load.known_entries(now_s)
        age_s = load.age_s(now_s)
        share = min(1.0, known / max(1, self._router.entries))
        metrics.gauge("load.known_share", share)
        metrics.gauge("load.age_s", age_s)
        knows_others = share >= _KNOWN_SHARE
        if not others or knows_others == self._knows_others:
            return
        self._knows_others = knows_others
        state = "known" if knows_others else "lost"
        event = LoadNewsChanged(
            state, known, self._router.entries, round(age_s * 1000, 1)
        )
        self._router.log.write(event)


def _digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest())


def _short_digest(name: str) -> int:
    """Return a key that lets all entries of a large failure domain fit in a message."""
    return _digest(name) & 0xFFFF


def _load_key(server_id: str) -> int:
    """Return an even key."""
    return _digest(server_id) & ~1


def _demand_key(key: DemandKey) -> int:
    """Return an odd key."""
    return _digest(f"{key.priority}/{key.service}/{key.workspace}") | 1


def _demand_keys(table: RoutingTable) -> list[DemandKey]:
    """Return what may arrive by a configuration."""
    owners = set(table.credentials.values()) if table.credentials is not None else ()
    workspaces: dict[str, set[int | None]] = {"": {None}}
    for owner in owners:
        workspaces.setdefault(owner.workspace, set()).add(owner.priority)
    ranks: dict[tuple[str, int], Route] = {}
    for route in table.routes:
        for choice in route.services:
            ranks.setdefault((choice.service, route.priority), route)
    found: set[DemandKey] = set()
    for (service, _), route in ranks.items():
        for workspace, priorities in workspaces.items():
            for priority in priorities:
                rank = admission_rank(route, priority)
                found.add(DemandKey(service, rank, workspace))
    return sorted(found)


def _bounded(parts: AmountsByKey) -> AmountsByKey:
    """Return parts without arrivals but the largest."""
    demand = sorted((key for key in parts if key % 2), key=lambda key: -parts[key][0])
    left_out = set(demand[_MOST_DEMAND_ROWS_OF_SUM:])
    if not left_out:
        return parts
    return {key: amounts for key, amounts in parts.items() if key not in left_out}


def _units(tokens: int) -> int:
    return -(-tokens // _TOKENS_UNIT)


def _pages(parts: AmountsByKey) -> list[LoadRows]:
    """Return rows in pages that fit in a datagram each."""
    pages: list[list[list[int]]] = [[]]
    left = MOST_ROWS_BYTES
    for key, amounts in parts.items():
        row = [key, *amounts]
        while len(row) > 2 and not row[-1]:
            row.pop()
        size = _row_bytes((key, row[1:]))
        if size > left:
            pages.append([])
            left = MOST_ROWS_BYTES
        left -= size
        pages[-1].append(row)
    return [LoadRows(rows, page, len(pages)) for page, rows in enumerate(pages)]


def _row_bytes(row: tuple[int, Sequence[int]]) -> int:
    key, amounts = row
    return 1 + _int_bytes(key) + sum(map(_int_bytes, amounts))


def _int_bytes(value: int) -> int:
    for size, limit in ((1, 1 << 7), (2, 1 << 8), (3, 1 << 16)):
        if value < limit:
            return size
    return 5
