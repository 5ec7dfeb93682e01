"""Decoding of registrations and engine reports, and encoding of orders to engines."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, UnsetType

from railfold._internal.core import Chain, LayerRange, parse_address
from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.decoding import decode
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
_JSON_HEADER = ("Content-Type", "application/json")

# Other clients of the store may write to the stream of registrations too. A server's
# registration has about 400 bytes; a record above this limit isn't decoded, to save the
# time.
_MAX_REGISTRATION_BYTES = 16 * 1024

# Ids and addresses are copied unescaped into the headers of every request.
_HEADER_SAFE_TEXT = re.compile(r"[!-~]{1,128}")

# Limits far above any real model and server, and low enough to iterate over. They keep
# an invalid number from using up processor time or memory.
_MAX_LAYERS = 4096
_MAX_SLOTS = 1_000_000
_MAX_SLOWNESS = 10_000.0

_Name = Annotated[str, Meta(min_length=1, max_length=256)]
_Version = Annotated[str, Meta(max_length=64)]
_Count = Annotated[int, Meta(ge=0, le=2**53)]
_StartedAt = Annotated[int, Meta(ge=1, le=2**53)]
_LayerNumber = Annotated[int, Meta(ge=0, le=_MAX_LAYERS)]


class _Model(msgspec.Struct, frozen=True):
    name: _Name
    version: int = 1


class _Layers(msgspec.Struct, frozen=True):
    """Layers from ``from`` up to, but not including, ``target_version``.

    The platform uses the second field name for several purposes; it isn't a version
    here.
    """

    first: _LayerNumber | None = msgspec.field(default=None, name="from")
    target_version: _LayerNumber | None = None
    version: int | None = None


class _RegistrationRecord(msgspec.Struct, frozen=True):
    """A backend server's registration; its id is the record's key.

    ``kind`` is the kind of accelerator. ``cold_left_ms``, ``stage`` and ``seq`` are
    only validated, because a record in which they have another type isn't a backend
    server's. ``born`` is the Unix time of the server's start, in milliseconds; older
    versions of the platform don't include it.
    """

    service: _Name
    address: str
    zone: _Name
    slots: Annotated[int, Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal["ready", "draining"]
    models: list[_Model] = []
    layers: _Layers | None = None
    kind: _Name | None = None
    version: _Version = ""
    cold_left_ms: Annotated[float, Meta(ge=0.0)] = 0.0
    stage: _Name | None = None
    seq: _Count = 0
    born: _StartedAt | UnsetType = UNSET


class _StalledRequest(msgspec.Struct, frozen=True):
    """A stalled request; ``address`` is the backend server that it waits for."""

    address: str = ""


class _Report(msgspec.Struct, frozen=True):
    """An engine's state; ``seq`` is the number of orders that it has accepted.

    ``pace`` is the duration of its steps relative to the usual one.
    """

    seq: _Count = 0
    pace: Annotated[float, Meta(ge=0.0, le=_MAX_SLOWNESS)] = 1.0
    busy: bool = False
    layers: _Layers | None = None
    stalled: list[_StalledRequest] = []
    born: _StartedAt | UnsetType = UNSET


class _Incarnation(msgspec.Struct, frozen=True):
    """The start time that a server includes in any of its messages."""

    born: _StartedAt | UnsetType = UNSET


class _PlaceOrder(msgspec.Struct, frozen=True):
    """An order to load layers; ``target_version`` is the end, which is exclusive."""

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


_REGISTRATION_DECODER = msgspec.json.Decoder(_RegistrationRecord)
_REPORT_DECODER = msgspec.json.Decoder(_Report)
_INCARNATION_DECODER = msgspec.json.Decoder(_Incarnation)


def decode_registration(key: str, value: bytes) -> Registration:
    """Decode a backend server's registration record with this key.

    :raises EngineError: the record is invalid.
    """
    if not _HEADER_SAFE_TEXT.fullmatch(key):
        raise EngineError("a registration's id is invalid", why=repr(key[:40]))
    if len(value) > _MAX_REGISTRATION_BYTES:
        raise EngineError("a registration is too large", why=f"{len(value)} bytes")
    try:
        record = decode(_REGISTRATION_DECODER, value)
        return _registration(key, record)
    except ValueError as error:  # Includes msgspec.DecodeError.
        raise EngineError("a registration can't be read", why=str(error)) from error


def _registration(key: str, record: _RegistrationRecord) -> Registration:
    """Translate a registration record.

    :raises ValueError: its address or its layers are invalid.
    """
    address = parse_address(record.address)
    if address.port == 0 or not _HEADER_SAFE_TEXT.fullmatch(record.address):
        raise ValueError(f"{record.address!r} isn't a valid address of a server")
    return Registration(
        registered_id=key,
        service=record.service,
        address=str(address),
        failure_domain=record.zone,
        slots=record.slots,
        draining=record.state == "draining",
        model=record.models[0].name if record.models else "",
        layers=_layer_range(record.layers),
        accelerator=record.kind or "",
        started_at_ms=_started_at_ms(record.born),
        version=_software_version(record),
    )


def _software_version(record: _RegistrationRecord) -> str:
    """Return a text that identifies the versions of the software and the weights."""
    weights = f" weights {record.models[0].version}" if record.models else ""
    return f"{record.version}{weights}"


def decode_report(body: bytes) -> EngineReport:
    """Decode the body of an engine's report.

    :raises EngineError: the body is invalid.
    """
    try:
        report = decode(_REPORT_DECODER, body)
        layers = _layer_range(report.layers)
    except ValueError as error:  # Includes msgspec.DecodeError.
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
    """Return the start time of the server that sent ``body``, if it is included.

    The time is a Unix time in milliseconds.
    """
    try:
        return _started_at_ms(decode(_INCARNATION_DECODER, body).born)
    except msgspec.DecodeError:
        # The body of a plain service's health check may be any text.
        return None


def _layer_range(layers: _Layers | None) -> LayerRange | None:
    """Return the range of layers; ``None`` if it is missing or empty.

    :raises ValueError: only one end is given, or the end is before the start.
    """
    if layers is None:
        return None
    first, end = layers.first, layers.target_version
    if first is None and end is None:
        return None
    if first is None or end is None or end < first:
        raise ValueError("the layers need a start and an end that isn't before it")
    return LayerRange(first, end - 1) if end > first else None


def _started_at_ms(born: int | UnsetType) -> int | None:
    return None if born is UNSET else born


def report_call() -> EngineCall:
    """Return the call that requests an engine's report."""
    return EngineCall("GET", _REPORT_PATH, (("Host", "engine"),))


def place_call(layers: LayerRange, fencing_token: int, order_count: int) -> EngineCall:
    """Return the call that orders an engine to hold exactly these layers.

    :param fencing_token: token of the lease under which the order is given.
    :param order_count: number of accepted orders in the engine's latest report.
    """
    order = _PlaceOrder(
        first=layers.first,
        target_version=layers.last + 1,
        fence_token=fencing_token,
        expected_rev=order_count,
    )
    return _order_call(msgspec.json.encode(order))


def reroute_call(request_id: str, chain: Chain) -> EngineCall:
    """Return the call that moves a running request to another chain."""
    return _order_call(
        msgspec.json.encode(_RerouteOrder(request_id, chain_text(chain)))
    )


def _order_call(body: bytes) -> EngineCall:
    return EngineCall("POST", _ORDER_PATH, (("Host", "engine"), _JSON_HEADER), body)


def chain_text(chain: Chain) -> str:
    """Return a chain in the engines' format; the end of a range is exclusive."""
    return ",".join(
        f"{stage.address}={stage.layers.first}-{stage.layers.last + 1}"
        for stage in chain.stages
    )
