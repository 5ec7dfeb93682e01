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
    MAX_ROWS_BYTES,
    DomainLoadNotice,
    LoadContributionNotice,
    LoadRows,
    LoadSumNotice,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.observability.events import LoadNewsChanged

__all__ = ["LoadExchange", "LoadMessage"]

LoadMessage = LoadContributionNotice | LoadSumNotice | DomainLoadNotice

# What an entry sends and receives for this; 6 KB/s are for all of control.
_BUDGET_BYTES_PER_S = 4500.0

# Requests stay for seconds, so that sums that are younger change little.
_MIN_INTERVAL_S = 0.4
_MAX_INTERVAL_S = 10.0

# A round is this part of the interval long if nothing is lost.
_TYPICAL_ROUND_SHARE = 0.75

# After so many intervals without a sum an entry reckons by itself.
_LIFETIME_INTERVALS = 6

_STEPS_PER_INTERVAL = 8

# Of code, envelope, names and headers of the network.
_MESSAGE_OVERHEAD_BYTES = 200

# What tokens are counted in, so that most amounts take one or two bytes.
_TOKENS_PER_UNIT = 16

# The busiest ranks and workspaces of an entry, and of a sum.
_MAX_OWN_DEMAND_ROWS = 32
_MAX_SUM_DEMAND_ROWS = 64

_LOAD_AMOUNT_COUNT = 4
_DEMAND_AMOUNT_COUNT = 1

# Messages whose pages haven't all come.
_MAX_INCOMPLETE_MESSAGES = 32

# Below this share of entries whose load is known, the exchange is logged as lost.
_MIN_KNOWN_SHARE = 0.5

# How long a server counts as full that rejected requests of others lately.
_FULL_DURATION_S = 0.1

# A sum of another domain that arrives as a round ends is passed on once more.
_MAX_HOPS = 2

_OTHER_ENTRIES = "others"


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
            name, router.failure_domain, _MIN_INTERVAL_S, router.rng.random
        )
        self._incomplete_messages: OrderedDict[
            tuple[str, str, int], dict[int, LoadRows]
        ]
        self._incomplete_messages = OrderedDict()
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
        self._update_known_share(now_s, others=sum(map(len, members.values())) > 1)
        if sum(map(len, members.values())) < 2:
            return
        for action in self._rounds.step(
            now_s, members, lambda: self._own_amounts(now_s)
        ):
            match action:
                case SendContribution(to=to, round=number, contribution=contribution):
                    for rows in _split_into_pages(contribution):
                        message = LoadContributionNotice(self._name, number, rows)
                        self._channel.send_to(to, message)
                case PublishSum():
                    self._publish(action, members, now_s)

    def _publish(
        self, action: PublishSum, members: Mapping[str, Sequence[str]], now_s: float
    ) -> None:
        included = [_short_digest(name) for name in action.included]
        total = _limit_demand_rows(action.total)
        for rows in _split_into_pages(total):
            message = LoadSumNotice(
                self._name,
                action.round,
                included,
                action.entries,
                rows,
                math.ceil(action.age_s * 1000),
                dict(action.known_rounds),
            )
            self._channel.send_to_each(action.to, message)
        for rows in (
            _split_into_pages(_limit_demand_rows(action.domain_total))
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
            self._channel.send_to_each(action.other_domain_receivers, domain_message)
        for domain_sum in action.forwarded_sums:
            self._forward_domain_sum(domain_sum, action.next_collector)
        self._router.metrics.count("load.sums_published")
        others_load = self._rounds.sum_received(
            self._name,
            action.round,
            total,
            action.entries,
            now_s,
            includes_own=True,
            age_s=action.age_s,
            known_rounds=action.known_rounds,
        )
        self._adjust_interval(total, members)
        if others_load is not None:
            self._apply_others_load(others_load, now_s)

    def _forward_domain_sum(self, domain_sum: DomainSum, collector: str) -> None:
        known_rounds = (
            {self._router.failure_domain: domain_sum.known_round}
            if domain_sum.known_round
            else {}
        )
        for rows in (
            _split_into_pages(domain_sum.amounts_by_key)
            if collector != self._name
            else ()
        ):
            message = DomainLoadNotice(
                domain_sum.domain,
                domain_sum.round,
                domain_sum.entries,
                rows,
                known_rounds,
                hops=1,
            )
            self._channel.send_to(collector, message)

    # Messages of other entries

    def message_received(self, message: LoadMessage) -> None:
        """Take a message, once all its pages are there."""
        now_s = self._loop.time()
        if isinstance(message, DomainLoadNotice) and message.hops < _MAX_HOPS:
            domain_members = self._channel.names_by_domain.get(
                self._router.failure_domain, ()
            )
            collector = self._rounds.next_collector(domain_members, now_s)
            if collector != self._name:
                forwarded = msgspec.structs.replace(message, hops=message.hops + 1)
                self._channel.send_to(collector, forwarded)
                return
        amounts_by_key = self._assemble(message)
        if amounts_by_key is None:
            return
        match message:
            case LoadContributionNotice(name=name, round=number):
                if self._rounds.contribution_received(name, number, amounts_by_key):
                    self._step()  # It may be the last one.
                else:
                    self._router.metrics.count("load.parts_late")
            case DomainLoadNotice(domain=domain, round=number, entries=entries):
                known_round = message.seen.get(self._router.failure_domain)
                domain_sum = DomainSum(
                    domain, number, entries, amounts_by_key, known_round
                )
                self._rounds.domain_sum_received(domain_sum, now_s)
            case LoadSumNotice(name=name, round=number, entries=entries):
                others_load = self._rounds.sum_received(
                    name,
                    number,
                    amounts_by_key,
                    entries,
                    now_s,
                    includes_own=_short_digest(self._name) in message.included,
                    age_s=message.age_ms / 1000.0,
                    known_rounds=message.seen,
                )
                self._adjust_interval(amounts_by_key, self._channel.names_by_domain)
                if others_load is not None:
                    self._apply_others_load(others_load, now_s)

    def _assemble(self, message: LoadMessage) -> AmountsByKey | None:
        sender = (
            message.domain if isinstance(message, DomainLoadNotice) else message.name
        )
        content = message.content
        key = (type(message).__name__, sender, message.round)
        pages = self._incomplete_messages.pop(key, {})
        pages[content.page] = content
        if len(pages) < content.pages:
            self._incomplete_messages[key] = pages
            if len(self._incomplete_messages) > _MAX_INCOMPLETE_MESSAGES:
                self._incomplete_messages.popitem(last=False)
            return None
        amounts_by_key: dict[int, tuple[int, ...]] = {}
        for page in pages.values():
            for digest, *amounts in page.rows:
                amount_count = (
                    _DEMAND_AMOUNT_COUNT if digest % 2 else _LOAD_AMOUNT_COUNT
                )
                if len(amounts) > amount_count:
                    self._reject(f"a row of {len(amounts)} amounts")
                    return None
                amounts_by_key[digest] = (
                    *amounts,
                    *(0,) * (amount_count - len(amounts)),
                )
        return amounts_by_key

    def _reject(self, cause: str) -> None:
        self._router.metrics.count("peers.refused")
        logging.info("another entry's load is passed over: %s", cause)

    def _apply_others_load(self, others_load: OtherEntriesLoad, now_s: float) -> None:
        """Take what the other entries have under way, and what arrives there."""
        router = self._router
        loads: dict[str, EntryLoad] = {}
        servers = {_load_key(e.server_id): e.server_id for e in router.directory}
        demand_keys = self._known_demand_keys()
        demand: dict[DemandKey, float] = {}
        for digest, amounts in others_load.amounts_by_key.items():
            if digest % 2:
                if digest in demand_keys:
                    demand[demand_keys[digest]] = float(amounts[0])
            elif digest in servers:
                tokens, sequences, pending_prompt_tokens, full = amounts
                loads[servers[digest]] = EntryLoad(
                    tokens * _TOKENS_PER_UNIT,
                    sequences,
                    pending_prompt_tokens * _TOKENS_PER_UNIT,
                )
                if full:
                    router.fleet_load.announced_full(
                        servers[digest], now_s + _FULL_DURATION_S
                    )
        entries = others_load.entries
        if entries:
            load, arrivals = router.fleet_load, router.fleet_demand
            load.announced(_OTHER_ENTRIES, loads, others_load.at_s, now_s, entries)
            arrivals.announced(_OTHER_ENTRIES, demand, others_load.at_s, now_s, entries)
        router.metrics.count("load.sums_taken")

    # This entry's own part

    def _own_amounts(self, now_s: float) -> AmountsByKey:
        router = self._router
        own: dict[int, tuple[int, ...]] = {}
        full = set(router.fleet_load.full_servers(now_s))
        for server_id in full | set(router.fleet_load.own):
            load = router.fleet_load.own_load(server_id)
            own[_load_key(server_id)] = (
                _token_units(load.tokens),
                load.sequences,
                _token_units(load.pending_prompt_tokens),
                int(server_id in full),
            )
        arrival_rates = router.fleet_demand.own_per_s(now_s)
        busiest = sorted(arrival_rates, key=lambda key: -arrival_rates[key])[
            :_MAX_OWN_DEMAND_ROWS
        ]
        for key in busiest:
            if round(arrival_rates[key]):
                own[_demand_key(key)] = (round(arrival_rates[key]),)
        return own

    def _known_demand_keys(self) -> Mapping[int, DemandKey]:
        table = self._router.table
        if table is not None and table.version != self._demand_version:
            self._demand_version = table.version
            keys = _demand_keys(table)
            self._demand_keys = {_demand_key(key): key for key in keys}
        return self._demand_keys

    # Pace

    def _adjust_interval(
        self, total: AmountsByKey, members: Mapping[str, Sequence[str]]
    ) -> None:
        """Let the interval follow from what a round takes of the budget.

        On average an entry sends a part and a sum, and receives as much, where parts
        are about half as large. Sums of other domains come, are passed on and handed
        over, once a domain.
        """
        pages = _split_into_pages(total)
        sum_bytes = len(pages) * _MESSAGE_OVERHEAD_BYTES + sum(
            map(_row_bytes, total.items())
        )
        domain_size = max(1, len(members.get(self._router.failure_domain, ())))
        messages = 2.5 + 4.0 * max(0, len(members) - 1) / domain_size
        interval_s = messages * sum_bytes / (_BUDGET_BYTES_PER_S * _TYPICAL_ROUND_SHARE)
        interval_s = min(_MAX_INTERVAL_S, max(_MIN_INTERVAL_S, interval_s))
        self._rounds.interval_s = interval_s
        lifetime_s = _LIFETIME_INTERVALS * interval_s
        self._router.fleet_load.lifetime_s = lifetime_s
        self._router.fleet_demand.lifetime_s = lifetime_s
        self._router.metrics.gauge("load.interval_s", interval_s)

    def _update_known_share(self, now_s: float, *, others: bool) -> None:
        load, metrics = self._router.fleet_load, self._router.metrics
        known_entries = load.known_entries(now_s)
        age_s = load.age_s(now_s)
        share = min(1.0, known_entries / max(1, self._router.entries))
        metrics.gauge("load.known_share", share)
        metrics.gauge("load.age_s", age_s)
        knows_others = share >= _MIN_KNOWN_SHARE
        if not others or knows_others == self._knows_others:
            return
        self._knows_others = knows_others
        state = "known" if knows_others else "lost"
        event = LoadNewsChanged(
            state, known_entries, self._router.entries, round(age_s * 1000, 1)
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
    demand_keys: set[DemandKey] = set()
    for (service, _), route in ranks.items():
        for workspace, priorities in workspaces.items():
            for priority in priorities:
                rank = admission_rank(route, priority)
                demand_keys.add(DemandKey(service, rank, workspace))
    return sorted(demand_keys)


def _limit_demand_rows(amounts_by_key: AmountsByKey) -> AmountsByKey:
    """Return amounts without arrivals but the largest."""
    demand = sorted(
        (key for key in amounts_by_key if key % 2),
        key=lambda key: -amounts_by_key[key][0],
    )
    excluded = set(demand[_MAX_SUM_DEMAND_ROWS:])
    if not excluded:
        return amounts_by_key
    return {
        key: amounts for key, amounts in amounts_by_key.items() if key not in excluded
    }


def _token_units(tokens: int) -> int:
    return -(-tokens // _TOKENS_PER_UNIT)


def _split_into_pages(amounts_by_key: AmountsByKey) -> list[LoadRows]:
    """Return rows in pages that fit in a datagram each."""
    pages: list[list[list[int]]] = [[]]
    remaining_bytes = MAX_ROWS_BYTES
    for key, amounts in amounts_by_key.items():
        row = [key, *amounts]
        while len(row) > 2 and not row[-1]:
            row.pop()
        row_bytes = _row_bytes((key, row[1:]))
        if row_bytes > remaining_bytes:
            pages.append([])
            remaining_bytes = MAX_ROWS_BYTES
        remaining_bytes -= row_bytes
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
