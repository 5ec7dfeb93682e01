"""Decide which load order, if any, to send to an engine now.

Only the agent on an engine's host sends orders to it, one at a time. The agent
compares the state that the engine reports with the state that the configuration
demands, and repeats the order until both agree. Each order carries a fencing token
that increases in the order of the log. Some engines refuse an order with an older
token. Other engines ignore the token, so the agent has to protect them: it sends an
order only if it had contact to an entry within its lease, which it checks on the
monotonic clock directly before, and only if the engine hasn't seen a newer token. An
agent that resumes after a pause therefore finds its lease expired.
"""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import LayerRange

__all__ = [
    "DesiredStateReached",
    "GiveOrder",
    "LoadOrder",
    "NewerTokenSeen",
    "OrderDecision",
    "OrderLimits",
    "Reconciler",
    "WaitForLease",
    "WaitForSequences",
    "WaitForSlot",
]


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load these layers of this model version.

    :param fencing_token: version of the pipeline, which increases in the log's order,
        or the token of the lease under which an entry places layers.
    """

    model: str
    version: str
    layers: LayerRange
    fencing_token: int


@dataclass(frozen=True, slots=True)
class DesiredStateReached:
    """The engine has loaded the desired layers, or no layers are desired."""


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """Send this order now."""

    order: LoadOrder


@dataclass(frozen=True, slots=True)
class WaitForLease:
    """No contact to an entry within the lease: another agent may be in charge."""


@dataclass(frozen=True, slots=True)
class NewerTokenSeen:
    """The engine has seen a newer fencing token than that of the desired order."""


@dataclass(frozen=True, slots=True)
class WaitForSequences:
    """Sequences use the loaded layers; new ones are refused until these have ended."""


@dataclass(frozen=True, slots=True)
class WaitForSlot:
    """The host may load from the weight store from loop time ``at_s`` on."""

    at_s: float


OrderDecision = (
    DesiredStateReached
    | GiveOrder
    | WaitForLease
    | NewerTokenSeen
    | WaitForSequences
    | WaitForSlot
)


@dataclass(frozen=True, slots=True)
class OrderLimits:
    """Limits on the orders to one engine.

    :param lease_s: how long after the last contact to an entry orders may be sent.
    :param loads_per_s: how many loads per second the weight store allows to all
        hosts together.
    :param retry_s: minimum time between two orders, unless
        :meth:`Reconciler.record_order` sets another.
    """

    lease_s: float = 5.0
    loads_per_s: float = 2.0
    retry_s: float = 5.0


class Reconciler:
    """Decides on the orders for one engine."""

    def __init__(self, limits: OrderLimits) -> None:
        self._limits = limits
        self._desired: LoadOrder | None = None
        self._desired_since_s = 0.0
        self._last_order_s: float | None = None
        self._retry_s = limits.retry_s

    def decide(
        self,
        desired: tuple[LoadOrder, int] | None,
        *,
        loaded: tuple[str, str, LayerRange] | None,
        engine_fencing_token: int,
        open_sequences: int,
        last_contact_s: float,
        now_s: float,
    ) -> OrderDecision:
        """Return what to do now.

        :param desired: the desired order, and the number of the host's slot in the
            sequence in which the hosts load from the weight store.
        :param loaded: model, version and layers that the engine reports as loaded.
        :param engine_fencing_token: the highest token that the engine has seen.
        :param open_sequences: number of sequences that use the loaded layers.
        :param last_contact_s: monotonic time of the last contact to an entry.
        :param now_s: the current monotonic time.
        """
        if desired is None:
            return DesiredStateReached()
        order, slot = desired
        if order != self._desired:
            self._desired, self._desired_since_s = order, now_s
            self._last_order_s = None
        if loaded == (order.model, order.version, order.layers):
            return DesiredStateReached()
        if engine_fencing_token > order.fencing_token:
            return NewerTokenSeen()
        if open_sequences:
            return WaitForSequences()
        next_order_s = self._next_order_s(slot)
        if now_s < next_order_s:
            return WaitForSlot(next_order_s)
        if now_s - last_contact_s > self._limits.lease_s:
            return WaitForLease()
        return GiveOrder(order)

    def record_order(self, now_s: float, retry_s: float | None = None) -> None:
        """Record that an order was sent.

        :param retry_s: after which time it may be sent again, if that isn't the
            limits' ``retry_s``.
        """
        self._last_order_s = now_s
        self._retry_s = self._limits.retry_s if retry_s is None else retry_s

    def _next_order_s(self, slot: int) -> float:
        if self._last_order_s is not None:
            return self._last_order_s + self._retry_s
        return self._desired_since_s + slot / self._limits.loads_per_s
