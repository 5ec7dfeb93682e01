"""Messages between entries: which peers get them, and which messages are refused.

These tests guard against messages that don't reach most of a large fleet, and against
malformed, forged or replayed datagrams and store records that are accepted or that
raise unexpected errors.
"""

from __future__ import annotations

import random
from collections import deque

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import Address
from railfold._internal.decisions.peers import Peer, PeerView, SeenMessages
from railfold._internal.errors import PeerMessageError
from railfold._internal.forwarding.peers.peer_messages import (
    MAX_CRASHES_SENT,
    ArrivalsNotice,
    CrashesNotice,
    CrashNotice,
    DomainLoadNotice,
    EntryStarted,
    Envelope,
    LoadContributionNotice,
    LoadRows,
    LoadSumNotice,
    PeerMessageCodec,
    PermitReply,
    PermitRequest,
    PlacementLeaderNotice,
    RateLimitNotice,
    SuccessNotice,
    TrialStarted,
)
from railfold._internal.forwarding.store.shared_records import (
    decode_entry,
    decode_hold,
    decode_peer_key,
)

NOW_S = 1_764_000_000.0
DIGEST = "0" * 32


def peer(name: str, started_at_ms: int = 1) -> Peer:
    return Peer(name, Address("10.0.0.1", 7355), started_at_ms)


def view_with_size(size: int) -> PeerView:
    view = PeerView(peer("entry-0"))
    for number in range(1, size):
        view.join(peer(f"entry-{number}"))
    return view


@pytest.mark.parametrize("size", [1, 2, 9])
def test_small_fleet_is_notified_directly(size: int) -> None:
    view = view_with_size(size)
    assert len(view.sample(random.Random(1), ())) == size - 1
    assert not view.needs_relay


@pytest.mark.parametrize(
    ("size", "loss_probability"), [(21, 0.0), (68, 0.0), (380, 0.0), (380, 0.05)]
)
def test_gossip_reaches_nearly_all_of_a_large_fleet(
    size: int, loss_probability: float
) -> None:
    """Simulates 200 messages per fleet, in one case with lost datagrams.

    An entry that misses one message gets the next.
    """
    rng = random.Random(7)
    names = [f"entry-{n}" for n in range(size)]
    missed = max_rounds = max_sent = 0
    for _ in range(200):
        rounds = {names[0]: 0}
        waiting = deque([names[0]])
        while waiting:
            sender = waiting.popleft()
            others = [n for n in names if n != sender]
            receivers = rng.sample(others, 8)
            max_sent = max(max_sent, len(receivers))
            for name in receivers:
                if name not in rounds and rng.random() >= loss_probability:
                    rounds[name] = rounds[sender] + 1
                    waiting.append(name)
        missed += size - len(rounds)
        max_rounds = max(max_rounds, *rounds.values())
    assert missed / (200 * size) < 0.001
    assert max_rounds <= 6
    assert max_sent == 8


def test_only_a_later_incarnation_replaces_a_peer() -> None:
    view = view_with_size(1)
    assert view.join(peer("entry-5", 20))
    assert not view.join(peer("entry-5", 20))
    assert not view.join(peer("entry-5", 10))
    assert view.join(peer("entry-5", 30))
    view.replace([peer("entry-5", 20), peer("entry-6")])
    starts = {p.name: p.started_at_ms for p in view.sample(random.Random(1), ())}
    assert starts == {"entry-5": 30, "entry-6": 1}


def test_peer_that_left_the_list_gets_no_messages() -> None:
    view = view_with_size(4)
    view.replace([peer("entry-1")])
    assert [p.name for p in view.sample(random.Random(1), ())] == ["entry-1"]


def test_message_is_not_sent_to_oneself_or_back_to_its_sender() -> None:
    view = view_with_size(4)
    assert not view.join(peer("entry-0", 99))
    receivers = {p.name for p in view.sample(random.Random(1), ("entry-2",))}
    assert receivers == {"entry-1", "entry-3"}


def test_seen_messages_are_remembered_in_bounded_memory() -> None:
    memory = SeenMessages()
    assert memory.add(b"1")
    assert not memory.add(b"1")
    for number in range(10_000):
        memory.add(number.to_bytes(8))
    assert len(memory._seen_ids) <= 4096


@pytest.fixture
def codec() -> PeerMessageCodec:
    return PeerMessageCodec(b"k" * 32)


CRASHES = CrashesNotice(
    DIGEST,
    "llm",
    "draft",
    "quality",
    [CrashNotice("i-" + "7" * 40, 10, 5, "v" * 30, 2**40)] * MAX_CRASHES_SENT,
)
PROMPT_PART_CRASHES = msgspec.structs.replace(CRASHES, prompt_part=True)


@pytest.mark.parametrize(
    "message",
    [
        CRASHES,
        PROMPT_PART_CRASHES,
        SuccessNotice(DIGEST, 10),
        TrialStarted(DIGEST),
        EntryStarted("entry-1", "10.0.0.1:7355", 1),
        PlacementLeaderNotice("entry-1"),
        ArrivalsNotice("entry-1", {"s" * 30 + str(n): 1.5 for n in range(16)}),
        RateLimitNotice("i-1@5", 1.4, 20),
        RateLimitNotice("i-1@5", None, 20),
        PermitRequest("entry-1", 7, RateLimitNotice("i-1@5", 1.4, 20), 100),
        PermitReply("entry-1", 7, granted=True, wait_ms=20),
        LoadContributionNotice("entry-1", 3, LoadRows([[6, 50, 1, 40, 1], [7, 900]])),
        LoadSumNotice("entry-1", 3, [5], 2, LoadRows([[6, 5]], 1, 2), 5, {"west-a": 1}),
        DomainLoadNotice("west-b", 3, 2, LoadRows([]), {"west-a": 1}, hops=1),
    ],
)
def test_messages_survive_encoding_and_decoding(
    codec: PeerMessageCodec, message: object
) -> None:
    envelope = Envelope("entry-1", b"8 bytes.", int(NOW_S * 1000), message)  # type: ignore[arg-type]
    assert codec.decode(codec.encode(envelope), NOW_S) == envelope


def test_sum_of_a_large_failure_domain_fits_in_a_datagram(
    codec: PeerMessageCodec,
) -> None:
    """Sums of domains with more than 64 entries were refused as too large."""
    included = [65_535 - n for n in range(127)]
    rows = LoadRows([[2**32 - 2 - 2 * n, 200, 9] for n in range(80)], 0, 2)
    message = LoadSumNotice("entry-1", 3, included, 127, rows, 5, {"west-a": 1})
    envelope = Envelope("entry-1", b"8 bytes.", int(NOW_S * 1000), message)
    assert codec.decode(codec.encode(envelope), NOW_S) == envelope


def test_message_with_a_wrong_key_is_refused(codec: PeerMessageCodec) -> None:
    envelope = Envelope("entry-1", b"8 bytes.", int(NOW_S * 1000), TrialStarted(DIGEST))
    forged = PeerMessageCodec(b"x" * 32).encode(envelope)
    with pytest.raises(PeerMessageError, match="authentication"):
        codec.decode(forged, NOW_S)


def test_replayed_message_is_refused(
    codec: PeerMessageCodec,
) -> None:
    envelope = Envelope("entry-1", b"8 bytes.", int(NOW_S * 1000), TrialStarted(DIGEST))
    datagram = codec.encode(envelope)
    codec.decode(datagram, NOW_S + 5.0)
    with pytest.raises(PeerMessageError, match="too old"):
        codec.decode(datagram, NOW_S + 60.0)


MALFORMED_MESSAGES = [
    {"type": "crashes", "digest": DIGEST, "service": "", "route": "", "workspace": ""},
    {"type": "crashes", "digest": "x", "service": "s", "route": "", "workspace": ""},
    {"type": "trial", "digest": "Z" * 32},
    {"type": "cleared", "digest": DIGEST, "ago_ms": -1},
    {"type": "cleared", "digest": DIGEST, "ago_ms": 10**12},
    {"type": "entry", "name": "n" * 200, "address": "a", "started_at_ms": 1},
    {"type": "arrivals", "name": "entry-1", "per_s": {"draft": -1.0}},
    {"type": "arrivals", "name": "entry-1", "per_s": {"draft": float("inf")}},
    {"type": "arrivals", "name": "entry-1", "per_s": {str(n): 1.0 for n in range(99)}},
    {"type": "limit", "server_id": "i-1", "per_s": -1.0, "age_ms": 1},
    {"type": "limit", "server_id": "i-1", "per_s": float("nan"), "age_ms": 1},
    {"type": "limit", "server_id": "i-1", "per_s": 1.0, "age_ms": -1},
    {"type": "permit?", "name": "e", "question": 1, "limit": {}, "max_wait_ms": 1},
    {"type": "permit", "name": "e", "question": 1, "granted": 1, "wait_ms": 1},
    {"type": "load", "name": "e", "round": -1, "content": {"rows": []}},
    {"type": "load", "name": "e", "round": 1, "content": {"rows": [[1]]}},
    {"type": "load", "name": "e", "round": 1, "content": {"rows": [[1, -1]]}},
    {"type": "load", "name": "e", "round": 1, "content": {"rows": [[1, 2**40]]}},
    {"type": "load", "name": "e", "round": 1, "content": {"rows": [[1, 2]] * 200}},
    {"type": "load", "name": "e", "round": 1, "content": {"rows": [], "page": 99}},
    {"type": "load-sum", "name": "e", "round": 1, "content": {"rows": []}},
    {"type": "unknown to this version"},
    {},
    5,
]


@pytest.mark.parametrize("message", MALFORMED_MESSAGES)
def test_malformed_messages_are_refused(
    codec: PeerMessageCodec, message: object
) -> None:
    body = msgspec.msgpack.encode(
        {
            "sender": "entry-1",
            "message_id": b"8 bytes.",
            "sent_unix_ms": int(NOW_S * 1000),
            "message": message,
        }
    )
    with pytest.raises(PeerMessageError):
        codec.decode(codec._mac(body) + body, NOW_S)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=2000))
def test_arbitrary_bytes_raise_only_peer_message_errors(data: bytes) -> None:
    codec = PeerMessageCodec(b"k" * 32)
    for datagram in (data, codec._mac(data) + data):
        with pytest.raises(PeerMessageError):
            codec.decode(datagram, NOW_S)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_records_raise_only_peer_message_errors(value: bytes) -> None:
    for decode in (decode_hold, decode_peer_key, lambda v: decode_entry("e", v, 0.0)):
        with pytest.raises(PeerMessageError):
            decode(value)


@pytest.mark.parametrize(
    ("decode", "value"),
    [
        (decode_peer_key, b'{"key":"c2hvcnQ="}'),
        (decode_peer_key, b'{"key":"no base64 at all!"}'),
        (
            lambda value: decode_entry("entry-1", value, 0.0),
            b'{"address":"nowhere","started_at_ms":1,"written_at_unix_ms":1}',
        ),
        (
            decode_hold,
            b'{"service":"","route":"","workspace":"","held_at_unix_ms":1,"holds":1,'
            b'"crashes":[]}',
        ),
        (
            decode_hold,
            b'{"service":"s","route":"","workspace":"","held_at_unix_ms":1,"holds":0,'
            b'"crashes":[]}',
        ),
    ],
)
def test_malformed_records_are_refused(decode: object, value: bytes) -> None:
    with pytest.raises(PeerMessageError):
        decode(value)  # type: ignore[operator]


def test_row_of_an_entry_that_is_gone_is_skipped() -> None:
    row = b'{"address":"10.0.0.1:7355","started_at_ms":1,"written_at_unix_ms":5000}'
    assert decode_entry("entry-1", row, not_before_unix_s=4.0) == peer("entry-1")
    assert decode_entry("entry-1", row, not_before_unix_s=6.0) is None
