"""Data of other processes that no decoder can read ends in a typed error.

Any other error ends the part of the process that reads it, again at each start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.configuration.scanner import _decode_checkpoint
from railfold._internal.errors import (
    ConfigurationRefusedError,
    EngineError,
    LinkProtocolError,
    LogUnavailableError,
    PeerMessageError,
    RailfoldError,
)
from railfold._internal.forwarding.peers.peer_messages import PeerMessageCodec
from railfold._internal.forwarding.store.shared_records import (
    decode_entry,
    decode_peer_key,
)
from railfold._internal.links.messages import decode_frame
from railfold._internal.observability.metrics import Metrics
from railfold._internal.platform.configuration import decode_configuration
from railfold._internal.platform.engines import (
    decode_registration,
    decode_report,
    decode_started_at_ms,
)
from railfold._internal.platform.store import _decode_json
from tests.lib.properties import examples

KEY = b"k" * 32
MAC_BYTES = 16

# Deeper than any decoder goes, and smaller than the limit on registrations.
DEPTH = 12_000

JSON_DATA = [
    b"[" * DEPTH,
    b'{"a":' * (DEPTH // 5),
    b'{"service":' + b"[" * DEPTH,
    b'{"service":"s","other":' + b"[" * DEPTH,
    b'{"slots":' + b"9" * 5000 + b"}",
    b'{"slots":1e999}',
    b'{"born":-1e999}',
    b'{"' + b"k" * 10_000 + b'":1}',
    b'"\xff\xfe"',
    b'"\\ud800"',
    b"",
    b"\0" * 100,
]

MESSAGE_PACK_DATA = [
    b"\x91" * DEPTH,
    b"\x81\xa1a" * DEPTH,
    b"\xdd\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xff",
    b"\xcf\xff\xff\xff\xff\xff\xff\xff\xff",
    b"",
]


def decode_datagram(body: bytes) -> Any:
    codec = PeerMessageCodec(KEY)
    return codec.decode(codec._mac(body) + body, 0.0)


def fold(data: bytes) -> None:
    replica = ConfigurationReplica(Metrics(), lambda: None)
    replica.fold(0, 0.0, data)
    assert replica.version == 0


JSON_READERS: list[Callable[[bytes], Any]] = [
    lambda data: decode_registration("i-1", data),
    decode_report,
    decode_started_at_ms,
    decode_configuration,
    decode_peer_key,
    lambda data: decode_entry("e", data, 0.0),
    lambda data: _decode_json(data, dict[str, int]),
    _decode_checkpoint,
    fold,
]
MESSAGE_PACK_READERS: list[Callable[[bytes], Any]] = [decode_frame, decode_datagram]

READER_ERRORS = (
    ConfigurationRefusedError,
    EngineError,
    LinkProtocolError,
    LogUnavailableError,
    PeerMessageError,
)


def read(reader: Callable[[bytes], Any], data: bytes) -> None:
    """Read data; only the typed errors of readers are expected."""
    try:
        reader(data)
    except READER_ERRORS as error:
        assert isinstance(error, RailfoldError)
        assert str(error)


@pytest.mark.parametrize("reader", JSON_READERS)
@pytest.mark.parametrize("data", JSON_DATA, ids=lambda data: repr(data[:12]))
def test_record_that_no_decoder_reads_ends_in_a_typed_error(
    reader: Callable[[bytes], Any], data: bytes
) -> None:
    read(reader, data)


@pytest.mark.parametrize("reader", MESSAGE_PACK_READERS)
@pytest.mark.parametrize("data", MESSAGE_PACK_DATA, ids=lambda data: repr(data[:6]))
def test_message_that_no_decoder_reads_ends_in_a_typed_error(
    reader: Callable[[bytes], Any], data: bytes
) -> None:
    read(reader, data)


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                [
                    "service",
                    "address",
                    "zone",
                    "slots",
                    "state",
                    "layers",
                    "born",
                    "seq",
                ]
            )
            | st.text(max_size=8),
            children,
            max_size=6,
        )
    ),
    max_leaves=20,
)


@examples(300)
@given(
    value=values,
    depth=st.sampled_from([0, 1, 50, 900, 1100, 5000]),
    cut=st.floats(0.1, 1.0),
)
def test_any_record_ends_in_a_value_or_a_typed_error(
    value: object, depth: int, cut: float
) -> None:
    text = msgspec.json.encode(value) if not _has_big_int(value) else b"9" * 40
    data = b"[" * depth + text + b"]" * depth
    data = data[: max(1, int(len(data) * cut))]
    for reader in JSON_READERS:
        read(reader, data)


def _has_big_int(value: object) -> bool:
    match value:
        case bool():
            return False
        case int():
            return not -(2**63) <= value < 2**63
        case list():
            return any(map(_has_big_int, value))
        case dict():
            return any(map(_has_big_int, value.values()))
        case _:
            return False
