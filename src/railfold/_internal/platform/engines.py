"""Backend servers' registrations and reports, and orders to engines."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, UnsetType

from railfold._internal.core import Chain, LayerRange, parse_address
from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.errors import EngineError
from railfold._internal.forwarding.dialect import EngineCall, EngineReport

__all__ = [
    "chain_text",
    "decode_registration",
    "decode_report",
    "decode_started_at_ms",
    "place_call",
    "report_call",
    "reroute_call",
]

_REPORT_PATH = "/railfold/report"
_ORDER_PATH = "/railfold/order"
_JSON = ("Content-Type", "application/json")

# Others may write registrations too. A live server's takes some 400 bytes; more than
# this is not one, and is not worth the time to read it.
_MOST_BYTES = 16 * 1024

# Ids and addresses go into headers of every request, as they are.
_HEADER_TEXT = re.compile(r"[!-~]{1,128}")

# Far beyond any model and server there is, and small enough to count through. They
# keep a figure that means nothing from becoming work or memory inside.
_MOST_LAYERS = 4096
_MOST_SLOTS = 1_000_000
_SLOWEST = 10_000.0

_Name = Annotated[str, Meta(min_length=1, max_length=256)]
_Version = Annotated[str, Meta(max_length=64)]
_Count = Annotated[int, Meta(ge=0, le=2**53)]
_StartedAt = Annotated[int, Meta(ge=1, le=2**53)]
_LayerNumber = Annotated[int, Meta(ge=0, le=_MOST_LAYERS)]


class _Model(msgspec.Struct, frozen=True):
    name: _Name
    version: int = 1


class _Layers(msgspec.Struct, frozen=True):
    """``from`` is the first layer, ``target_version`` the one after the last.

    The second name serves several calls; it holds no version here.
    """

    first: _LayerNumber | None = msgspec.field(default=None, name="from")
    target_version: _LayerNumber | None = None
    version: int | None = None


class _Entry(msgspec.Struct, frozen=True):
    """A registration; its id is the record's key.

    ``kind`` is the accelerator's. ``cold_left_ms``, ``stage`` and ``seq`` aren't used,
    but a record in which they are of another type is none of a backend server.
    ``born`` is the Unix time of the server's start, in milliseconds; older platforms
    don't tell it.
    """

    service: _Name
    address: str
    zone: _Name
    slots: Annotated[int, Meta(ge=1, le=_MOST_SLOTS)]
    state: Literal["ready", "draining"]
    models: list[_Model] = []
    layers: _Layers | None = None
    kind: _Name | None = None
    version: _Version = ""
    cold_left_ms: Annotated[float, Meta(ge=0.0)] = 0.0
    stage: _Name | None = None
    seq: _Count = 0
    born: _StartedAt | UnsetType = UNSET


class _Stalled(msgspec.Struct, frozen=True):
    """A request (``id``) that stands still, and whom it waits for."""

    address: str = ""


class _Report(msgspec.Struct, frozen=True):
    """An engine's state; ``seq`` counts the orders that it has begun.

    ``pace`` is how many times longer than usual its steps take.
    """

    seq: _Count = 0
    pace: Annotated[float, Meta(ge=0.0, le=_SLOWEST)] = 1.0
    busy: bool = False
    layers: _Layers | None = None
    stalled: list[_Stalled] = []
    born: _StartedAt | UnsetType = UNSET


class _Incarnation(msgspec.Struct, frozen=True):
    """What any message of a server tells of the server itself."""

    born: _StartedAt | UnsetType = UNSET


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
_INCARNATION_DECODER = msgspec.json.Decoder(_Incarnation)


def decode_registration(key: str, value: bytes) -> Registration:
    """Return a backend server's registration.

    :raises EngineError: it can't be read, or says what no backend server can mean.
    """
    if not _HEADER_TEXT.fullmatch(key):
        raise EngineError("a registration's id can't be used", why=repr(key[:40]))
    if len(value) > _MOST_BYTES:
        raise EngineError("a registration is too large", why=f"{len(value)} bytes")
    try:
        entry = _ENTRY_DECODER.decode(value)
        return _registration(key, entry)
    except ValueError as error:  # Also a decoder's.
        raise EngineError("a registration can't be read", why=str(error)) from error


def _registration(key: str, entry: _Entry) -> Registration:
    """Translate an entry.

    :raises ValueError: its address or layers mean nothing.
    """
    address = parse_address(entry.address)
    if address.port == 0 or not _HEADER_TEXT.fullmatch(entry.address):
        raise ValueError(f"{entry.address!r} can't be connected to")
    return Registration(
        registered_id=key,
        service=entry.service,
        address=str(address),
        failure_domain=entry.zone,
        slots=entry.slots,
        draining=entry.state == "draining",
        model=entry.models[0].name if entry.models else "",
        layers=_layers(entry.layers),
        accelerator=entry.kind or "",
        started_at_ms=_started_at_ms(entry.born),
        version=_version(entry),
    )


def _version(entry: _Entry) -> str:
    """Return what tells software and weights apart from others."""
    weights = f" weights {entry.models[0].version}" if entry.models else ""
    return f"{entry.version}{weights}"


def decode_report(body: bytes) -> EngineReport:
    """Return an engine's report.

    :raises EngineError: it can't be read, or says what no engine can mean.
    """
    try:
        report = _REPORT_DECODER.decode(body)
        layers = _layers(report.layers)
    except ValueError as error:  # Also a decoder's.
        raise EngineError("a report can't be read", why=str(error)) from error
    return EngineReport(
        order_count=report.seq,
        busy=report.busy,
        layers=layers,
        stalled_addresses=frozenset(s.address for s in report.stalled),
        slowness=max(1.0, report.pace),
        started_at_ms=_started_at_ms(report.born),
    )


def decode_started_at_ms(body: bytes) -> int | None:
    """Return when the server that sent a message started, if the message tells."""
    try:
        return _started_at_ms(_INCARNATION_DECODER.decode(body).born)
    except msgspec.DecodeError:
        # A plain service's health answer may be any text.
        return None


def _layers(layers: _Layers | None) -> LayerRange | None:
    """Translate layers; none is held if the range is empty.

    :raises ValueError: one end is missing, or they are the wrong way round.
    """
    if layers is None:
        return None
    first, end = layers.first, layers.target_version
    if first is None and end is None:
        return None
    if first is None or end is None or end < first:
        raise ValueError("layers without two ends in order")
    return LayerRange(first, end - 1) if end > first else None


def _started_at_ms(born: int | UnsetType) -> int | None:
    return None if born is UNSET else born


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
