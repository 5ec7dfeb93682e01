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
    """The engine holds what is wanted, or nothing is wanted of it."""


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
        self._wanted: LoadOrder | None = None
        self._wanted_since_s = 0.0
        self._ordered_s: float | None = None
        self._retry_s = limits.retry_s

    def decide(
        self,
        wanted: tuple[LoadOrder, int] | None,
        *,
        loaded: tuple[str, str, LayerRange] | None,
        engine_fencing: int,
        open_sequences: int,
        last_contact_s: float,
        now_s: float,
    ) -> OrderDecision:
        """Return what to do now.

        :param loaded: model, version and layers as read back.
        :param engine_fencing: the highest number that the engine has seen.
        :param last_contact_s: when an entry was heard last, on the monotonic clock.
        :param now_s: the monotonic clock right now.
        """
        if wanted is None:
            return DesiredStateReached()
        order, slot = wanted
        if order != self._wanted:
            self._wanted, self._wanted_since_s = order, now_s
            self._ordered_s = None
        if loaded == (order.model, order.version, order.layers):
            return DesiredStateReached()
        if engine_fencing > order.fencing_token:
            return NewerTokenSeen()
        if open_sequences:
            return WaitForSequences()
        turn_s = self._turn_s(slot)
        if now_s < turn_s:
            return WaitForSlot(turn_s)
        if now_s - last_contact_s > self._limits.lease_s:
            return WaitForLease()
        return GiveOrder(order)

    def record_order(self, now_s: float, retry_s: float | None = None) -> None:
        """An order was given.

        :param retry_s: after which time it may be given again, if that isn't the
            usual one.
        """
        self._ordered_s = now_s
        self._retry_s = self._limits.retry_s if retry_s is None else retry_s

    def _turn_s(self, slot: int) -> float:
        if self._ordered_s is not None:
            return self._ordered_s + self._retry_s
        return self._wanted_since_s + slot / self._limits.loads_per_s
