"""An engine gets one load order at a time, and only from the agent in charge.

The tests guard against orders that are lost and not repeated, orders of an agent whose
lease has expired or whose token is outdated, orders that cut open sequences, and more
loads per second than the weight store allows.
"""

from __future__ import annotations

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.configuration import ChangeRecord, Configuration
from railfold._internal.decisions.configured_loads import configured_load
from railfold._internal.decisions.orders import (
    DesiredStateReached,
    GiveOrder,
    LoadOrder,
    NewerTokenSeen,
    OrderDecision,
    OrderLimits,
    Reconciler,
    WaitForLease,
    WaitForSequences,
    WaitForSlot,
)

LIMITS = OrderLimits(lease_s=5.0, loads_per_s=2.0, retry_s=3.0)
ORDER = LoadOrder("m", "2", LayerRange(0, 3), 7)
PREVIOUS_LOAD = ("m", "1", LayerRange(0, 3))


def decide(
    reconciler: Reconciler, now_s: float = 10.0, **changes: object
) -> OrderDecision:
    arguments = {
        "loaded": PREVIOUS_LOAD,
        "engine_fencing_token": 3,
        "open_sequences": 0,
        "last_contact_s": now_s,
        **changes,
    }
    slot = arguments.pop("slot", 0)
    return reconciler.decide((ORDER, slot), now_s=now_s, **arguments)  # type: ignore[arg-type]


@pytest.fixture
def reconciler() -> Reconciler:
    """A reconciler that has sent no order yet."""
    return Reconciler(LIMITS)


def test_order_is_repeated_until_the_engine_reports_it(reconciler: Reconciler) -> None:
    assert decide(reconciler) == GiveOrder(ORDER)
    reconciler.record_order(10.0)
    assert decide(reconciler, 11.0) == WaitForSlot(13.0)
    assert decide(reconciler, 13.0) == GiveOrder(ORDER)
    wanted = ("m", "2", LayerRange(0, 3))
    assert decide(reconciler, 14.0, loaded=wanted) == DesiredStateReached()
    assert decide(reconciler, 20.0) == GiveOrder(ORDER)


def test_resumed_agent_gives_no_order_on_an_expired_lease(
    reconciler: Reconciler,
) -> None:
    assert decide(reconciler, 100.0, last_contact_s=94.0) == WaitForLease()
    assert decide(reconciler, 100.0, last_contact_s=96.0) == GiveOrder(ORDER)


def test_agent_without_contact_to_an_entry_gives_no_order(
    reconciler: Reconciler,
) -> None:
    assert decide(reconciler, last_contact_s=float("-inf")) == WaitForLease()


def test_newer_token_at_the_engine_stops_orders(reconciler: Reconciler) -> None:
    assert decide(reconciler, engine_fencing_token=8) == NewerTokenSeen()


def test_order_waits_for_open_sequences(reconciler: Reconciler) -> None:
    assert decide(reconciler, open_sequences=1) == WaitForSequences()


def test_slots_limit_the_load_rate_at_the_weight_store(reconciler: Reconciler) -> None:
    assert decide(reconciler, 10.0, slot=4) == WaitForSlot(12.0)
    assert decide(reconciler, 12.0, slot=4) == GiveOrder(ORDER)


def configuration() -> Configuration:
    hosts = [f"h{n}" for n in range(6)]
    found = Configuration()
    for offset, name in enumerate(("first", "second")):
        placed = hosts if name == "first" else hosts[:1]
        body = {
            "model": name,
            "version": "1",
            "layer_count": 4,
            "placements": [
                {"host": host, "first_layer": 0, "last_layer": 3} for host in placed
            ],
        }
        change = ChangeRecord(f"w{offset}", "ana", "pipeline", name, 0, body)
        found.fold(offset, 1.0, change)
    return found


def test_each_host_has_its_own_slot() -> None:
    found = [configured_load(configuration(), f"h{n}") for n in range(6)]
    slots = [wanted[1] for wanted in found[1:] if wanted]
    assert len(set(slots)) == 5
    assert max(slots) < 6


def test_last_changed_pipeline_determines_the_load() -> None:
    wanted = configured_load(configuration(), "h0")
    assert wanted is not None
    assert (wanted[0].model, wanted[0].fencing_token) == ("second", 2)
    assert configured_load(configuration(), "elsewhere") is None
