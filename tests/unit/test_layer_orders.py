"""Orders to engines that still carry out another one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.orders import LoadOrder
from railfold._internal.forwarding.dialect import OrderBegun, OrderOutcome
from railfold._internal.forwarding.servers.layer_orders import LayerOrders

WANTED = LayerRange(0, 9)
OTHER = LayerRange(10, 19)


@dataclass
class Engine:
    """Answers reports and orders; what it was asked to hold is kept."""

    busy: bool = False
    placed: list[LayerRange] = field(default_factory=list)

    async def call(
        self, entry: object, call: object, timeout_s: float, check: Any = None
    ) -> SimpleNamespace:
        if isinstance(call, LayerRange):
            self.placed.append(call)
            self.busy = True
        return SimpleNamespace(head=None, body=b"")

    def report_call(self) -> None:
        return None

    def decode_report(self, body: bytes) -> SimpleNamespace:
        return SimpleNamespace(busy=self.busy, started_at_ms=1, order_count=0)

    def place_call(self, layers: LayerRange, fencing: int, count: int) -> LayerRange:
        return layers

    def decode_started_at_ms(self, body: bytes) -> int:
        return 1

    def order_outcome(self, head: object) -> OrderOutcome:
        return OrderBegun()


def orders_of(engine: Engine) -> LayerOrders:
    router = SimpleNamespace(
        dialect=engine,
        metrics=SimpleNamespace(count=lambda name: None),
        log=SimpleNamespace(write=lambda event: None),
    )
    leadership = SimpleNamespace(
        current_token=lambda now_s: 1, record_refused_token=lambda number: None
    )
    return LayerOrders(
        cast("Any", router), cast("Any", leadership), cast("Any", engine)
    )


async def given(orders: LayerOrders, layers: LayerRange) -> None:
    entry = SimpleNamespace(
        server_id="e1",
        registration=SimpleNamespace(layers=None),
        is_other_incarnation=lambda started_at_ms: False,
    )
    orders.give(cast("Any", entry), LoadOrder("m", "", layers, 1), 0.0)
    while orders.under_way:  # noqa: ASYNC110
        await asyncio.sleep(0)


@pytest.mark.asyncio
async def test_an_engine_with_anothers_order_isnt_counted_on() -> None:
    engine = Engine(busy=True)
    orders = orders_of(engine)
    await given(orders, WANTED)
    now_s = asyncio.get_running_loop().time()
    assert engine.placed == []
    assert orders.is_carrying("e1", now_s)
    assert orders.has_other_order("e1", WANTED, now_s)
    assert not orders.is_carrying("e1", now_s + 5.0)


@pytest.mark.asyncio
async def test_an_engine_that_is_slow_to_carry_its_order_out_keeps_it() -> None:
    engine = Engine()
    orders = orders_of(engine)
    await given(orders, WANTED)
    await given(orders, WANTED)
    now_s = asyncio.get_running_loop().time()
    assert engine.placed == [WANTED]
    assert orders.is_carrying("e1", now_s)
    assert not orders.has_other_order("e1", WANTED, now_s)
    assert orders.has_other_order("e1", OTHER, now_s)
    orders.forget("e1")
    assert not orders.is_carrying("e1", now_s)
