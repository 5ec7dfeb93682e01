"""Orders to an engine: which one to give now, if any.

Only the agent beside an engine gives orders, one at a time, and compares what
the engine then says with what the configuration wants: the level is reconciled,
not an order fired once. Each order carries a fencing number from the log's
order. Some engines refuse an older number; others ignore it, and there the
agent is the fence: it gives no order unless it heard from an entry within its
lease, looked at on the monotonic clock right before, and none if the engine has
seen a newer number. A paused agent that wakes finds its lease lapsed.
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
    """Load these layers of this model version.

    :param fencing_token: version of the pipeline in the log's order.
    """

    model: str
    version: str
    layers: LayerRange
    fencing_token: int


@dataclass(frozen=True, slots=True)
class DesiredStateReached:
    """The engine holds what is desired, or nothing is desired of it."""


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """Give this order now."""

    order: LoadOrder


@dataclass(frozen=True, slots=True)
class WaitForLease:
    """No entry was heard within the lease: another agent may be in charge."""


@dataclass(frozen=True, slots=True)
class NewerTokenSeen:
    """The engine has seen a newer fencing number than ours."""


@dataclass(frozen=True, slots=True)
class WaitForSequences:
    """Sequences are open on what is loaded; refuse new ones until it is free."""


@dataclass(frozen=True, slots=True)
class WaitForSlot:
    """Its turn at the weight store comes at loop time ``at_s``."""

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
    """Bounds of orders.

    :param loads_per_s: what the weight store allows all hosts together.
    :param retry_s: least time between two orders.
    """

    lease_s: float = 5.0
    loads_per_s: float = 2.0
    retry_s: float = 5.0


class Reconciler:
    """Decides on orders for one engine."""

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

        :param loaded: model, version and layers as read back.
        :param engine_fencing_token: the highest number that the engine has seen.
        :param last_contact_s: when an entry was heard last, on the monotonic clock.
        :param now_s: the monotonic clock right now.
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
        """An order was given.

        :param retry_s: after which time it may be given again, if that isn't the
            usual one.
        """
        self._last_order_s = now_s
        self._retry_s = self._limits.retry_s if retry_s is None else retry_s

    def _next_order_s(self, slot: int) -> float:
        if self._last_order_s is not None:
            return self._last_order_s + self._retry_s
        return self._desired_since_s + slot / self._limits.loads_per_s
