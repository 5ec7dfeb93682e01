"""Orders to engines to load layers, and tracking of their execution.

An order states how many orders the engine has begun before. So the engine refuses an
order that arrives after a newer one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set

from railfold._internal.core import LayerRange
from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.decisions.leadership import Leadership
from railfold._internal.decisions.orders import LoadOrder
from railfold._internal.errors import EngineError, LeaseLostError
from railfold._internal.forwarding.dialect import (
    OrderAccepted,
    OrderFenced,
    OrderOutcome,
    OrderOutcomeUnknown,
    OrderRefused,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.engine_calls import EngineCalls
from railfold._internal.observability.events import LayersOrdered

__all__ = ["LayerOrders"]

_ORDER_TIMEOUT_S = 0.5

# Interval at which an engine's registration is checked while it loads layers. It is
# half of the interval at which the placement is updated, which starts new loads when
# others have ended.
_POLL_INTERVAL_S = 0.1

# Time for which an engine gets no order after it reported that it is executing one,
# while it loads a few layers or waits for running requests to end. The time doubles
# with each such report, up to the maximum.
_MIN_EXECUTION_WAIT_S = 1.0
_MAX_EXECUTION_WAIT_S = 4.0

# Outcome if another incarnation answers: its answer doesn't tell whether the
# incarnation that the order is meant for executes it.
_ENGINE_RESTARTED = OrderOutcomeUnknown("the engine has started again")


class LayerOrders:
    """Orders in progress, at most one for each engine."""

    def __init__(
        self, router: Router, leadership: Leadership, calls: EngineCalls
    ) -> None:
        self._router = router
        self._leadership = leadership
        self._calls = calls
        self._loop = asyncio.get_running_loop()
        self._in_progress: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # The layers of the last order that each engine began.
        self._begun_layers: dict[str, LayerRange] = {}
        # Until when each engine is assumed to be executing an order, and for how long
        # that was assumed after its last report.
        self._executing_until_s: dict[str, float] = {}
        self._execution_wait_s: dict[str, float] = {}

    @property
    def in_progress(self) -> Set[str]:
        """Ids of the engines whose order is being sent, or that are loading layers."""
        return self._in_progress

    def is_executing(self, server_id: str, now_s: float) -> bool:
        """Return whether an engine recently reported that it is executing an order."""
        return now_s < self._executing_until_s.get(server_id, 0.0)

    def has_other_order(self, server_id: str, layers: LayerRange, now_s: float) -> bool:
        """Return whether an engine is executing an order for other layers."""
        return (
            self.is_executing(server_id, now_s)
            and self._begun_layers.get(server_id) != layers
        )

    def forget(self, server_id: str) -> None:
        """Forget an engine that isn't registered any more."""
        self._begun_layers.pop(server_id, None)
        self._executing_until_s.pop(server_id, None)
        self._execution_wait_s.pop(server_id, None)

    def start_order(
        self,
        entry: DirectoryEntry,
        order: LoadOrder,
        load_s: float,
        on_not_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """Start to send an order to an engine.

        :param load_s: how long the engine takes to load the layers if nothing slows it
            down. The order counts as in progress for at most this time after the engine
            has begun it.
        :param on_not_sent: called if the order wasn't sent, since the engine sent no
            report.
        """
        self._in_progress.add(entry.server_id)
        task = self._loop.create_task(
            self._run_order(entry, order, load_s, on_not_sent)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_order(
        self,
        entry: DirectoryEntry,
        order: LoadOrder,
        load_s: float,
        on_not_sent: Callable[[], None],
    ) -> None:
        """Send an order, and wait until the engine has loaded the layers."""
        try:
            outcome = await self._send(entry, order)
            if outcome is None:
                outcome = OrderRefused("it sent no report")
                on_not_sent()
            self._log_order(entry, order, outcome)
            match outcome:
                case OrderAccepted():
                    self._begun_layers[entry.server_id] = order.layers
                    self._execution_wait_s.pop(entry.server_id, None)
                    await self._wait_until_loaded(entry, order.layers, load_s)
                case OrderFenced():
                    self._leadership.record_refused_token(order.fencing_token)
                case OrderRefused() | OrderOutcomeUnknown():
                    pass  # The reconciler gives the order again when it is due.
        finally:
            self._in_progress.discard(entry.server_id)

    def _log_order(
        self, entry: DirectoryEntry, order: LoadOrder, outcome: OrderOutcome
    ) -> None:
        held_layers = entry.registration.layers
        event = LayersOrdered(
            entry.server_id,
            str(order.layers),
            str(held_layers) if held_layers else "none",
            order.fencing_token,
            _outcome_text(outcome),
        )
        self._router.metrics.count("orders.given")
        self._router.log.write(event)

    async def _send(
        self, entry: DirectoryEntry, order: LoadOrder
    ) -> OrderOutcome | None:
        """Send an order; return ``None`` if it wasn't sent for want of a report."""
        dialect = self._router.dialect
        try:
            response = await self._calls.call(
                entry, dialect.report_call(), _ORDER_TIMEOUT_S
            )
            report = dialect.decode_report(response.body)
        except EngineError:
            return None
        try:
            if entry.is_other_incarnation(report.started_at_ms):
                return _ENGINE_RESTARTED
            if report.busy:
                # A new order would make the engine start over.
                self._record_executing(entry.server_id)
                return OrderRefused("it is still executing an order")
            call = dialect.place_call(
                order.layers, order.fencing_token, report.order_count
            )
            response = await self._calls.order(
                entry, call, _ORDER_TIMEOUT_S, lambda: self._require_lease(order)
            )
        except LeaseLostError as error:
            return OrderRefused(error.what)
        except EngineError as error:
            return OrderOutcomeUnknown(str(error))
        if entry.is_other_incarnation(dialect.decode_started_at_ms(response.body)):
            return _ENGINE_RESTARTED
        return dialect.classify_order_answer(response.head)

    def _record_executing(self, server_id: str) -> None:
        last_wait_s = self._execution_wait_s.get(server_id)
        wait_s = (
            _MIN_EXECUTION_WAIT_S
            if last_wait_s is None
            else min(2 * last_wait_s, _MAX_EXECUTION_WAIT_S)
        )
        self._execution_wait_s[server_id] = wait_s
        self._executing_until_s[server_id] = self._loop.time() + wait_s

    def _require_lease(self, order: LoadOrder) -> None:
        """Check the lease once more, right before the order is sent.

        Reading the report and opening a connection take time, and the host may have
        been suspended meanwhile. Another entry may then hold the lease.

        :raises LeaseLostError: this entry doesn't hold the lease any more.
        """
        if self._leadership.current_token(self._loop.time()) != order.fencing_token:
            raise LeaseLostError("the lease was lost before the order was sent")

    async def _wait_until_loaded(
        self, entry: DirectoryEntry, layers: LayerRange, load_s: float
    ) -> None:
        """Wait until the engine registers the layers, for at most ``load_s``."""
        deadline_s = self._loop.time() + load_s
        # Another child updates the registration, without an event to wait for.
        while self._loop.time() < deadline_s and entry.registration.layers != layers:  # noqa: ASYNC110
            await asyncio.sleep(_POLL_INTERVAL_S)


def _outcome_text(outcome: OrderOutcome) -> str:
    match outcome:
        case OrderAccepted():
            return "begun"
        case OrderFenced():
            return "fenced"
        case OrderRefused(reason=reason):
            return f"refused: {reason}"
        case OrderOutcomeUnknown(reason=reason):
            return f"no answer: {reason}"
