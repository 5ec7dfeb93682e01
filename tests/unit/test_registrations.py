"""Invalid registration records are rejected instead of adding a backend server.

Any writer may put records into the store. A record without an address, with port 99999,
or with layers below 0 or beyond the model must not be taken for a ready backend server:
such layers would raise IndexError in all entries at once when they compute coverage.
"""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.core import LayerRange
from railfold._internal.decisions.engine_directory import (
    EngineDirectory,
    Registration,
)
from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.decisions.placement import uncovered_ranges
from railfold._internal.decisions.planner import LinkCosts, PlannerWeights, plan_chain
from railfold._internal.errors import EngineError, NoCapacityError
from railfold._internal.platform.engines import (
    decode_registration,
    decode_report,
    decode_started_at_ms,
)
from tests.lib.models import MODEL

VALID: dict[str, Any] = {
    "service": "llm",
    "address": "10.1.64.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "models": [{"name": "inspect", "version": 1, "adapters": []}],
    "layers": {"from": 0, "target_version": 20, "version": 1},
    "kind": "l4",
    "cold_left_ms": 0,
    "seq": 3,
    "born": 1_764_716_400_123,
}

OMITTED = object()

INVALID_FIELDS = [
    ("service", [OMITTED, None, "", 5, ["llm"], "x" * 300]),
    ("address", [OMITTED, None, "", 7, "10.1.64.9", "10.1.64.9:", "10.1.64.9:99999"]),
    ("address", ["host:80", "10.1.64.9:0", "10.1.64.9:-1", "10.1.64.9:8²", ":80"]),
    ("address", ["[fe80::1%a\r\nX: 1]:80", "[fe80::1%é]:80"]),
    ("zone", [OMITTED, None, "", 3]),
    ("slots", [OMITTED, None, 0, -1, "96", 96.0, True, 10**30]),
    ("state", [OMITTED, None, "", "READY", "starting", 1]),
    ("version", [None, 1, ["v1"], "v" * 100]),
    ("cold_left_ms", [None, "", "0", [0], -1, -0.5]),
    ("stage", [5, "", ["unified"]]),
    ("seq", [None, "3", 3.0, -1, True, 10**30]),
    ("models", [None, "inspect", [5], [{"name": 5}], [{}], {}]),
    ("layers", [5, [], {"from": 0}, {"target_version": 20}, {"from": "0"}]),
    ("layers", [{"from": -1, "target_version": 20}]),
    ("layers", [{"from": 20, "target_version": 0}]),
    ("layers", [{"from": 0, "target_version": 10**12}]),
    ("kind", [5, "", ["l4"]]),
    ("born", [None, "1764716400123", 1764716400123.0, -5, 0, True, [], 10**30]),
]


def encode_with(field: str, value: Any) -> bytes:
    """Return an encoded record that is valid but for one field."""
    entry = {name: known for name, known in VALID.items() if name != field}
    if value is not OMITTED:
        entry[field] = value
    return json.dumps(entry).encode()


def test_valid_registration_is_decoded_completely() -> None:
    assert decode_registration("i-1", json.dumps(VALID).encode()) == Registration(
        registered_id="i-1",
        service="llm",
        address="10.1.64.9:8080",
        failure_domain="hall-a",
        slots=96,
        draining=False,
        model="inspect",
        layers=LayerRange(0, 19),
        accelerator="l4",
        started_at_ms=1_764_716_400_123,
        version="v1 weights 1",
    )


@pytest.mark.parametrize("field", ["models", "layers", "kind", "born", "seq"])
def test_fields_that_plain_and_older_servers_omit_are_optional(field: str) -> None:
    decode_registration("i-1", encode_with(field, OMITTED))


@pytest.mark.parametrize("layers", [None, {"from": None, "target_version": None}])
def test_engine_without_a_placement_holds_no_layers(layers: Any) -> None:
    assert decode_registration("i-1", encode_with("layers", layers)).layers is None


@pytest.mark.parametrize(
    ("field", "value"),
    [(field, value) for field, values in INVALID_FIELDS for value in values],
)
def test_invalid_field_is_rejected(field: str, value: Any) -> None:
    with pytest.raises(EngineError):
        decode_registration("i-1", encode_with(field, value))


@pytest.mark.parametrize(
    "value",
    [b"\xff\xfe", b"{", b"[]", b"null", b"7", b'"ready"', b"{}", b" " * 20_000],
)
def test_bytes_that_arent_a_record_are_rejected(value: bytes) -> None:
    with pytest.raises(EngineError):
        decode_registration("i-1", value)


@pytest.mark.parametrize("key", ["", "i 1", "i-1\r\nX: 1", "i-\ufffd", "x" * 200])
def test_id_that_doesnt_fit_in_a_header_is_rejected(key: str) -> None:
    with pytest.raises(EngineError):
        decode_registration(key, json.dumps(VALID).encode())


@pytest.mark.parametrize(
    "body",
    [
        b'{"pace": 1e300}',
        b'{"pace": -1}',
        b'{"seq": -1}',
        b'{"seq": 1.5}',
        b'{"layers": {"from": -3, "target_version": 2}}',
        b'{"layers": {"from": 0, "target_version": 1000000000}}',
        b'{"born": true}',
        b'{"stalled": [{"address": 5}]}',
        b"\xff",
    ],
)
def test_invalid_report_is_rejected(body: bytes) -> None:
    with pytest.raises(EngineError):
        decode_report(body)


@pytest.mark.parametrize("body", [b"ok", b"", b"\xff", b"[]", b'{"born": "1"}'])
def test_answer_without_a_valid_start_time_has_none(body: bytes) -> None:
    assert decode_started_at_ms(body) is None


def test_layers_beyond_the_model_count_only_within_the_model() -> None:
    layer_ranges = [LayerRange(-5, 3), LayerRange(70, 4000), LayerRange(200, 300)]
    assert uncovered_ranges(layer_ranges, 80) == [LayerRange(4, 69)]


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def planner_of(records: list[tuple[str, bytes]]) -> Callable[[], object]:
    """Register records; return a function that plans a chain with them."""
    directory = EngineDirectory()
    for key, value in records:
        try:
            directory.register(decode_registration(key, value))
        except EngineError:
            directory.withdraw(key)
    replicas = directory.layer_replicas("llm", MODEL, "west", lambda _: ServerLoad(), 3)
    layer_ranges = [entry.registration.layers for entry in directory]
    uncovered_ranges(layer_ranges, MODEL.layer_count)
    return lambda: plan_chain(
        replicas,
        MODEL.layer_count,
        exclude=frozenset(),
        prefer=(),
        costs=LinkCosts(),
        weights=PlannerWeights(),
        rng=random.Random(1),
        partial=True,
    )


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["i-1", "i-2", "i-3", ""]) | st.text(max_size=5),
            st.binary(max_size=30)
            | st.builds(encode_with, st.sampled_from(sorted(VALID)), ANY_JSON),
        ),
        max_size=8,
    )
)
def test_arbitrary_records_dont_stop_an_entry_from_planning(
    records: list[tuple[str, bytes]],
) -> None:
    plan = planner_of(records)
    with contextlib.suppress(NoCapacityError):
        plan()


@given(st.sampled_from(sorted(VALID)), ANY_JSON)
def test_invalid_record_doesnt_affect_other_servers(field: str, value: Any) -> None:
    valid = {**VALID, "layers": {"from": 0, "target_version": 80}, "kind": "a100s"}
    valid["address"] = "10.9.9.9:80"
    invalid = encode_with(field, value)
    plan = planner_of([("whole", json.dumps(valid).encode()), ("odd", invalid)])
    if b"10.9.9.9" not in invalid:
        plan()
