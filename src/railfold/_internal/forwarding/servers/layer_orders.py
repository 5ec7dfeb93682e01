"""Giving engines orders to hold layers, and reading back what became of them.

An order names how many orders the engine has taken before, so that one that arrives
after a newer one is refused.
"""

from __future__ import annotations

import asyncio
from collections.abc import Set

from railfold._internal.core import LayerRange
from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.decisions.leadership import Leadership
from railfold._internal.decisions.orders import LoadOrder
from railfold._internal.errors import EngineError, LeaseLostError
from railfold._internal.forwarding.dialect import (
    OrderBegun,
    OrderFenced,
    OrderOutcome,
    OrderRefused,
    OrderUnsettled,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.engine_calls import EngineCalls
from railfold._internal.observability.events import LayersOrdered

__all__ = ["LayerOrders"]

_ORDER_TIMEOUT_S = 0.5

# A registration is read this often while its engine loads: half of the time between
# two looks at the placement, which give the places of ended loads away.
_READ_S = 0.1

# For how long an engine that says that it carries an order out is left alone, twice as
# long each time: it loads a few layers, or waits for requests that end.
_CARRYING_S = 1.0
_CARRYING_MOST_S = 4.0

# An order is for one incarnation: what its successor says proves nothing of it.
_ANOTHER_ANSWERED = OrderUnsettled("the engine has started again")


class LayerOrders:
    """Orders under way, one at an engine."""

    def __init__(
        self, router: Router, leadership: Leadership, calls: EngineCalls
    ) -> None:
        self._router = router
        self._leadership = leadership
        self._calls = calls
        self._loop = asyncio.get_running_loop()
        self._under_way: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # The last order that each engine began, and until when one is taken to be
        # still carrying an order out.
        self._begun: dict[str, LayerRange] = {}
        self._carrying_until_s: dict[str, float] = {}
        self._carrying_s: dict[str, float] = {}

    @property
    def under_way(self) -> Set[str]:
        """Engines whose order is being sent, or that are loading."""
        return self._under_way

    def is_carrying(self, server_id: str, now_s: float) -> bool:
        """Return whether an engine said lately that it carries an order out."""
        return now_s < self._carrying_until_s.get(server_id, 0.0)

    def has_other_order(self, server_id: str, layers: LayerRange, now_s: float) -> bool:
        """Return whether it is to hold other layers than these by that order."""
        return (
            self.is_carrying(server_id, now_s) and self._begun.get(server_id) != layers
        )

    def forget(self, server_id: str) -> None:
        """Forget an engine that is gone."""
        self._begun.pop(server_id, None)
        self._carrying_until_s.pop(server_id, None)
        self._carrying_s.pop(server_id, None)

    def give(self, entry: DirectoryEntry, order: LoadOrder, load_s: float) -> None:
        """Begin to give an order.

        :param load_s: how long its load takes, undisturbed; it keeps its place among
            the loads for no longer.
        """
        self._under_way.add(entry.server_id)
        task = self._loop.create_task(self._follow(entry, order, load_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(
        self, entry: DirectoryEntry, order: LoadOrder, load_s: float
    ) -> None:
        """Send an order, and keep its place among the loads to its end."""
        try:
            outcome = await self._send(entry, order)
            self._note(entry, order, outcome)
            match outcome:
                case OrderBegun():
                    self._begun[entry.server_id] = order.layers
                    self._carrying_s.pop(entry.server_id, None)
                    await self._wait_loaded(entry, order.layers, load_s)
                case OrderFenced():
                    self._leadership.record_refused_token(order.fencing_token)
                case OrderRefused() | OrderUnsettled():
                    pass  # The level is looked at again when the order is due.
        finally:
            self._under_way.discard(entry.server_id)

    def _note(
        self, entry: DirectoryEntry, order: LoadOrder, outcome: OrderOutcome
    ) -> None:
        held = entry.registration.layers
        event = LayersOrdered(
            entry.server_id,
            str(order.layers),
            str(held) if held else "none",
            order.fencing_token,
            _outcome_text(outcome),
        )
        self._router.metrics.count("orders.given")
        self._router.log.write(event)

    async def _send(self, entry: DirectoryEntry, order: LoadOrder) -> OrderOutcome:
        dialect = self._router.dialect
        try:
            response = await self._calls.call(
                entry, dialect.report_call(), _ORDER_TIMEOUT_S
            )
            report = dialect.decode_report(response.body)
            if entry.is_other_incarnation(report.started_at_ms):
                return _ANOTHER_ANSWERED
            if report.busy:
                # Another order would begin its work anew.
                self._note_carrying(entry.server_id)
                return OrderRefused("it still carries an order out")
            call = dialect.place_call(
                order.layers, order.fencing_token, report.order_count
            )
            response = await self._calls.call(
                entry, call, _ORDER_TIMEOUT_S, lambda: self._require_lease(order)
            )
        except LeaseLostError as error:
            return OrderRefused(error.what)
        except EngineError as error:
            return OrderUnsettled(str(error))
        if entry.is_other_incarnation(dialect.decode_started_at_ms(response.body)):
            return _ANOTHER_ANSWERED
        return dialect.order_outcome(response.head)

    def _note_carrying(self, server_id: str) -> None:
        known_s = self._carrying_s.get(server_id)
        span_s = _CARRYING_S if known_s is None else min(2 * known_s, _CARRYING_MOST_S)
        self._carrying_s[server_id] = span_s
        self._carrying_until_s[server_id] = self._loop.time() + span_s

    def _require_lease(self, order: LoadOrder) -> None:
        """Look at the lease once more, right before the order leaves.

        Reading the report and opening a connection take time, and the host may have
        been suspended meanwhile: another may place layers by now.
        """
        if self._leadership.current_token(self._loop.time()) != order.fencing_token:
            raise LeaseLostError("the lease was lost before the order was sent")

    async def _wait_loaded(
        self, entry: DirectoryEntry, layers: LayerRange, load_s: float
    ) -> None:
        """Hold the place among the loads while the engine loads."""
        due_s = self._loop.time() + load_s
        # The registration is read by another child.
        while self._loop.time() < due_s and entry.registration.layers != layers:  # noqa: ASYNC110
            await asyncio.sleep(_READ_S)


def _outcome_text(outcome: OrderOutcome) -> str:
    match outcome:
        case OrderBegun():
            return "begun"
        case OrderFenced():
            return "fenced"
        case OrderRefused(reason=reason):
            return f"refused: {reason}"
        case OrderUnsettled(reason=reason):
            return f"no answer: {reason}"
