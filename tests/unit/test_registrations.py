"""Registrations that others write: what can't be meant names no backend server.

The store's records may come from any writer. One that couldn't be used was taken as a
ready backend server: with no address, at port 99999, with layers below 0 or beyond the
model. The latter raised IndexError wherever coverage is reckoned, in all entries at
once.
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

SOUND: dict[str, Any] = {
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

MISSING = object()

ODD_FIELDS = [
    ("service", [MISSING, None, "", 5, ["llm"], "x" * 300]),
    ("address", [MISSING, None, "", 7, "10.1.64.9", "10.1.64.9:", "10.1.64.9:99999"]),
    ("address", ["host:80", "10.1.64.9:0", "10.1.64.9:-1", "10.1.64.9:8²", ":80"]),
    ("address", ["[fe80::1%a\r\nX: 1]:80", "[fe80::1%é]:80"]),
    ("zone", [MISSING, None, "", 3]),
    ("slots", [MISSING, None, 0, -1, "96", 96.0, True, 10**30]),
    ("state", [MISSING, None, "", "READY", "starting", 1]),
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


def changed(field: str, value: Any) -> bytes:
    entry = {name: known for name, known in SOUND.items() if name != field}
    if value is not MISSING:
        entry[field] = value
    return json.dumps(entry).encode()


def test_a_sound_registration_is_taken_whole() -> None:
    assert decode_registration("i-1", json.dumps(SOUND).encode()) == Registration(
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
def test_what_plain_and_older_servers_leave_out_may_be_missing(field: str) -> None:
    decode_registration("i-1", changed(field, MISSING))


@pytest.mark.parametrize("layers", [None, {"from": None, "target_version": None}])
def test_an_engine_that_isnt_placed_yet_holds_nothing(layers: Any) -> None:
    assert decode_registration("i-1", changed("layers", layers)).layers is None


@pytest.mark.parametrize(
    ("field", "value"),
    [(field, value) for field, values in ODD_FIELDS for value in values],
)
def test_a_record_that_means_nothing_is_refused(field: str, value: Any) -> None:
    with pytest.raises(EngineError):
        decode_registration("i-1", changed(field, value))


@pytest.mark.parametrize(
    "value",
    [b"\xff\xfe", b"{", b"[]", b"null", b"7", b'"ready"', b"{}", b" " * 20_000],
)
def test_bytes_that_are_no_record_are_refused(value: bytes) -> None:
    with pytest.raises(EngineError):
        decode_registration("i-1", value)


@pytest.mark.parametrize("key", ["", "i 1", "i-1\r\nX: 1", "i-\ufffd", "x" * 200])
def test_an_id_that_no_header_can_hold_is_refused(key: str) -> None:
    with pytest.raises(EngineError):
        decode_registration(key, json.dumps(SOUND).encode())


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
def test_a_report_that_means_nothing_is_refused(body: bytes) -> None:
    with pytest.raises(EngineError):
        decode_report(body)


@pytest.mark.parametrize("body", [b"ok", b"", b"\xff", b"[]", b'{"born": "1"}'])
def test_an_answer_need_not_tell_when_its_sender_started(body: bytes) -> None:
    assert decode_started_at_ms(body) is None


def test_layers_beyond_the_model_cover_only_what_the_model_has() -> None:
    held = [LayerRange(-5, 3), LayerRange(70, 4000), LayerRange(200, 300)]
    assert uncovered_ranges(held, 80) == [LayerRange(4, 69)]


ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def chains_from(records: list[tuple[str, bytes]]) -> Callable[[], object]:
    """Take records into a directory; return what plans a chain from it."""
    directory = EngineDirectory()
    for key, value in records:
        try:
            directory.register(decode_registration(key, value))
        except EngineError:
            directory.withdraw(key)
    replicas = directory.layer_replicas("llm", MODEL, "west", lambda _: ServerLoad(), 3)
    held = [entry.registration.layers for entry in directory]
    uncovered_ranges(held, MODEL.layer_count)
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
            | st.builds(changed, st.sampled_from(sorted(SOUND)), ANYTHING),
        ),
        max_size=8,
    )
)
def test_no_record_stops_an_entry_from_planning(
    records: list[tuple[str, bytes]],
) -> None:
    plan = chains_from(records)
    with contextlib.suppress(NoCapacityError):
        plan()


@given(st.sampled_from(sorted(SOUND)), ANYTHING)
def test_others_hold_beside_a_record_that_means_nothing(field: str, value: Any) -> None:
    whole = {**SOUND, "layers": {"from": 0, "target_version": 80}, "kind": "a100s"}
    whole["address"] = "10.9.9.9:80"
    odd = changed(field, value)
    plan = chains_from([("whole", json.dumps(whole).encode()), ("odd", odd)])
    if b"10.9.9.9" not in odd:
        plan()
