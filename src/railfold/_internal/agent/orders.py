"""Sends load orders until the engine has loaded the layers that are configured."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from absl import logging

from railfold._internal.agent.engine_backend import EngineBackend
from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.decisions.configured_loads import configured_load
from railfold._internal.decisions.orders import (
    DesiredStateReached,
    GiveOrder,
    LoadOrder,
    OrderDecision,
    Reconciler,
    WaitForSequences,
    WaitForSlot,
)
from railfold._internal.engines.interface import Engine
from railfold._internal.errors import EngineError
from railfold._internal.observability.metrics import Metrics

__all__ = ["OrderSender"]

_CHECK_INTERVAL_S = 0.1


class OrderSender:
    """Sends load orders to one engine, one at a time.

    :param last_contact_s: returns when a frame last arrived from an entry, in loop
        time; the agent may send orders only for a limited time after it.
    """

    def __init__(
        self,
        host: str,
        engine: Engine,
        backend: EngineBackend,
        replica: ConfigurationReplica,
        reconciler: Reconciler,
        last_contact_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._engine = engine
        self._backend = backend
        self._replica = replica
        self._reconciler = reconciler
        self._last_contact_s = last_contact_s
        self._metrics = metrics
        self._desired: tuple[LoadOrder, int] | None = None
        self._desired_at_version = 0

    async def run(self, ready: asyncio.Event) -> None:
        """Compare desired and loaded layers and send orders, until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            decision = self._decide()
            reload_pending = isinstance(
                decision, GiveOrder | WaitForSequences | WaitForSlot
            )
            self._backend.set_reload_pending(reload_pending)
            if isinstance(decision, GiveOrder):
                await self._send_order(decision.order)

    def _decide(self) -> OrderDecision:
        status = self._backend.status
        if status is None:
            return DesiredStateReached()  # No order while the status is unknown.
        loaded = None
        if status.layers is not None:
            loaded = (status.model, status.version, status.layers)
        return self._reconciler.decide(
            self._desired_order(),
            loaded=loaded,
            engine_fencing_token=status.fencing_token,
            open_sequences=self._backend.report().running,
            last_contact_s=self._last_contact_s(),
            now_s=asyncio.get_running_loop().time(),
        )

    def _desired_order(self) -> tuple[LoadOrder, int] | None:
        # The computation iterates over all hosts, so it runs once per version.
        if self._replica.version != self._desired_at_version:
            self._desired = configured_load(self._replica.configuration, self._host)
            self._desired_at_version = self._replica.version
        return self._desired

    async def _send_order(self, order: LoadOrder) -> None:
        # There is no await between the lease check and the order, because the lease
        # could expire during it.
        self._reconciler.record_order(asyncio.get_running_loop().time())
        self._metrics.count("orders.given")
        logging.info("ordering the engine to load %s", order)
        try:
            await self._engine.load(order)
        except EngineError as error:
            self._metrics.count("orders.failed")
            logging.warning("the engine didn't execute the order: %s", error)
        await self._backend.read_status()
