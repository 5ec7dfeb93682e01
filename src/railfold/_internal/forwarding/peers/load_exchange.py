"""Child that exchanges load and arrival rates with the other entries.

The load of all entries is added up in rounds (see
:mod:`railfold._internal.decisions.load_rounds`). Messages name backend servers and the
keys of demand by short digests. The receiver looks these up among the servers and
workspaces that it knows itself, and ignores those that it doesn't know.
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
from railfold._internal.observability.events import LoadCoverageChanged

__all__ = ["LoadExchange", "LoadMessage"]

LoadMessage = LoadContributionNotice | LoadSumNotice | DomainLoadNotice

# The bandwidth that an entry may use for the exchange, for sending and receiving
# together. All control traffic has 6 KB/s.
_BUDGET_BYTES_PER_S = 4500.0

# Limits of the interval between rounds. Most requests run for seconds, so that sums
# change little in a shorter time.
_MIN_INTERVAL_S = 0.4
_MAX_INTERVAL_S = 10.0

# The duration of a round, as a share of the interval, if no message is lost.
_TYPICAL_ROUND_SHARE = 0.75

# How many intervals a sum is used. If no newer one arrives by then, the entry estimates
# the load of the others from its own.
_LIFETIME_INTERVALS = 6

_STEPS_PER_INTERVAL = 8

# Bytes of a message besides its rows: authentication code, envelope, names and network
# headers.
_MESSAGE_OVERHEAD_BYTES = 200

# Tokens are sent in units of this many, so that most amounts take one or two bytes.
_TOKENS_PER_UNIT = 16

# The maximum number of demand rows, each for one service, priority and workspace, in an
# entry's contribution and in a sum. Those with the highest arrival rates are kept.
_MAX_OWN_DEMAND_ROWS = 32
_MAX_SUM_DEMAND_ROWS = 64

# The number of amounts in a row of load, and in a row of demand.
_LOAD_AMOUNT_COUNT = 4
_DEMAND_AMOUNT_COUNT = 1

# The maximum number of messages that are kept while some of their pages are missing.
_MAX_INCOMPLETE_MESSAGES = 32

# The exchange is logged as lost while the load of fewer entries than this share is
# known.
_MIN_KNOWN_SHARE = 0.5

# How long a server counts as full after another entry announced that it rejects
# requests.
_FULL_DURATION_S = 0.1

# How often a sum of another domain is forwarded within this domain. The second time is
# for a sum that reaches the collector as its round ends.
_MAX_HOPS = 2

# The server id under which entries announce that they are overloaded, as one sequence.
_OVERLOADED_ENTRIES = "overloaded entries"

# The name under which the load of all other entries is stored.
_OTHER_ENTRIES = "others"


class LoadExchange:
    """Sends contributions and sums of load to other entries, and processes theirs.

    :param name: name of this entry.
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
        """Take part in the rounds until cancelled."""
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
        """Process another entry's message, once all its pages have arrived.

        A sum of another domain is forwarded if this entry isn't the next collector.
        """
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
                    self._step()  # The round may be complete now.
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
        """Return the amounts of a message; ``None`` while pages of it are missing.

        Trailing zeros, which are left out on the wire, are restored.
        """
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
        logging.info("a load message of another entry is ignored: %s", cause)

    def _apply_others_load(self, others_load: OtherEntriesLoad, now_s: float) -> None:
        """Store the load and the arrival rates of the other entries."""
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
            key = _load_key(_OVERLOADED_ENTRIES)
            _, overloaded, *_ = others_load.amounts_by_key.get(key, (0, 0))
            router.admission.others_announced(overloaded, entries, now_s)
            load, arrivals = router.fleet_load, router.fleet_demand
            load.announced(_OTHER_ENTRIES, loads, others_load.at_s, now_s, entries)
            arrivals.announced(_OTHER_ENTRIES, demand, others_load.at_s, now_s, entries)
        router.metrics.count("load.sums_taken")

    # This entry's contribution

    def _own_amounts(self, now_s: float) -> AmountsByKey:
        """Return the load and the arrival rates of this entry, as sent to others."""
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
        if router.admission.is_overloaded(now_s):
            own[_load_key(_OVERLOADED_ENTRIES)] = (0, 1, 0, 0)
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

    # Interval of the rounds

    def _adjust_interval(
        self, total: AmountsByKey, members: Mapping[str, Sequence[str]]
    ) -> None:
        """Set the interval so that the exchange stays within its bandwidth.

        Per round, an entry on average sends one contribution and one sum and receives
        the same; contributions are about half as large as sums. The sum of each other
        domain is also received, forwarded and sent to the next collector.
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
        """Record the share of entries whose load is known; log if it is lost or back.

        :param others: whether there are other entries.
        """
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
        event = LoadCoverageChanged(
            state, known_entries, self._router.entries, round(age_s * 1000, 1)
        )
        self._router.log.write(event)


def _digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest())


def _short_digest(name: str) -> int:
    """Return a 16-bit key, so that one message can list a large domain's entries."""
    return _digest(name) & 0xFFFF


def _load_key(server_id: str) -> int:
    """Return the key of a backend server's load, an even number."""
    return _digest(server_id) & ~1


def _demand_key(key: DemandKey) -> int:
    """Return the key of an arrival rate, an odd number."""
    return _digest(f"{key.priority}/{key.service}/{key.workspace}") | 1


def _demand_keys(table: RoutingTable) -> list[DemandKey]:
    """Return the keys of all demand that a configuration allows, sorted."""
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
    """Return the amounts with only the highest arrival rates, up to the maximum."""
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
    return -(-tokens // _TOKENS_PER_UNIT)  # Rounded up.


def _split_into_pages(amounts_by_key: AmountsByKey) -> list[LoadRows]:
    """Return the amounts as rows, in pages that each fit in a datagram.

    Trailing zeros of a row are left out.
    """
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
    """Return the encoded size of a row, given by its key and amounts."""
    key, amounts = row
    return 1 + _int_bytes(key) + sum(map(_int_bytes, amounts))


def _int_bytes(value: int) -> int:
    """Return the size of an integer from 0 to 2^32 - 1 in MessagePack."""
    for size, limit in ((1, 1 << 7), (2, 1 << 8), (3, 1 << 16)):
        if value < limit:
            return size
    return 5
