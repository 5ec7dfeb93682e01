"""Backend servers' registrations and reports, and orders to engines."""

from __future__ import annotations

import msgspec

from railfold._internal.core import Chain, LayerRange
from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.errors import EngineError
from railfold._internal.forwarding.dialect import EngineCall, EngineReport

__all__ = [
    "chain_text",
    "decode_registration",
    "decode_report",
    "place_call",
    "report_call",
    "reroute_call",
]

_REPORT_PATH = "/railfold/report"
_ORDER_PATH = "/railfold/order"
_JSON = ("Content-Type", "application/json")


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int = 1


class _Layers(msgspec.Struct, frozen=True):
    """``from`` is the first layer, ``target_version`` the one after the last.

    The second name serves several calls; it holds no version here.
    """

    first: int | None = msgspec.field(default=None, name="from")
    target_version: int | None = None
    version: int | None = None


class _Entry(msgspec.Struct, frozen=True):
    """A registration; its id is the record's key.

    ``kind`` is the accelerator's.
    """

    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    models: list[_Model] = []
    layers: _Layers | None = None
    kind: str | None = None


class _Stalled(msgspec.Struct, frozen=True):
    """A request (``id``) that stands still, and whom it waits for."""

    address: str = ""


class _Report(msgspec.Struct, frozen=True):
    """An engine's state; ``seq`` counts the orders that it has begun.

    ``pace`` is how many times longer than usual its steps take.
    """

    seq: int = 0
    pace: float = 1.0
    busy: bool = False
    layers: _Layers | None = None
    stalled: list[_Stalled] = []


class _PlaceOrder(msgspec.Struct, frozen=True):
    """``target_version`` is the layer after the last one to hold."""

    first: int = msgspec.field(name="from")
    target_version: int
    fence_token: int
    expected_rev: int
    operation: str = "place"
    mode: str = "wait"


class _RerouteOrder(msgspec.Struct, frozen=True):
    id: str
    path: str
    operation: str = "repath"


_ENTRY_DECODER = msgspec.json.Decoder(_Entry)
_REPORT_DECODER = msgspec.json.Decoder(_Report)


def decode_registration(key: str, value: bytes) -> Registration:
    """Return a backend server's registration.

    :raises EngineError: it can't be read.
    """
    try:
        entry = _ENTRY_DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise EngineError("a registration can't be read", why=str(error)) from error
    return Registration(
        server_id=key,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        draining=entry.state != "ready",
        model=entry.models[0].name if entry.models else "",
        layers=_layers(entry.layers),
        accelerator=entry.kind or "",
    )


def decode_report(body: bytes) -> EngineReport:
    """Return an engine's report.

    :raises EngineError: it can't be read.
    """
    try:
        report = _REPORT_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise EngineError("a report can't be read", why=str(error)) from error
    return EngineReport(
        order_count=report.seq,
        busy=report.busy,
        layers=_layers(report.layers),
        stalled=frozenset(s.address for s in report.stalled),
        slowness=max(1.0, report.pace),
    )


def _layers(layers: _Layers | None) -> LayerRange | None:
    if layers is None or layers.first is None or layers.target_version is None:
        return None
    if layers.target_version <= layers.first:
        return None
    return LayerRange(layers.first, layers.target_version - 1)


def report_call() -> EngineCall:
    """Return the call that asks an engine for its report."""
    return EngineCall("GET", _REPORT_PATH, (("Host", "engine"),))


def place_call(layers: LayerRange, fencing: int, order_count: int) -> EngineCall:
    """Return the order to hold these layers and no others."""
    order = _PlaceOrder(
        first=layers.first,
        target_version=layers.last + 1,
        fence_token=fencing,
        expected_rev=order_count,
    )
    return _order(msgspec.json.encode(order))


def reroute_call(request_id: str, chain: Chain) -> EngineCall:
    """Return the order to go on with a request over another chain."""
    return _order(msgspec.json.encode(_RerouteOrder(request_id, chain_text(chain))))


def _order(body: bytes) -> EngineCall:
    return EngineCall("POST", _ORDER_PATH, (("Host", "engine"), _JSON), body)


def chain_text(chain: Chain) -> str:
    """Return a chain as engines read it: the end of a range is exclusive."""
    return ",".join(
        f"{stage.address}={stage.layers.first}-{stage.layers.last + 1}"
        for stage in chain.stages
    )
