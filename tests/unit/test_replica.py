"""A process's configuration never returns to an older version, whatever peers send.

Guards against outdated or damaged snapshots and checkpoints that replace a newer state,
against changes that are folded although an earlier one is missing, and against a
replica that stays outdated.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.configuration.scanner import ConfigurationScanner
from railfold._internal.decisions.configuration import (
    ChangeRecord,
    CheckpointRecord,
    Configuration,
)
from railfold._internal.links.connection import LinkMessage
from railfold._internal.links.messages import (
    ConfigurationChange,
    ConfigurationRequest,
    Frame,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.records import LogRecord

pytestmark = pytest.mark.looptime


class FakePeer:
    """A link and its peer at once; records the messages that are sent to it."""

    name = "peer"

    def __init__(self) -> None:
        self.peer = self
        self.sent: list[LinkMessage] = []

    def send(self, message: LinkMessage) -> None:
        self.sent.append(message)


def encoded_change(offset: int, base: int) -> bytes:
    body = {"hosts": [f"h{offset}"]}
    change = ChangeRecord(f"w{offset}", "ana", "service", "line-records", base, body)
    return msgspec.json.encode(change)


def replica_at(changes: int) -> ConfigurationReplica:
    replica = ConfigurationReplica(Metrics(), lambda: None)
    for offset in range(changes):
        replica.fold(offset, 1.0, encoded_change(offset, offset))
    return replica


def deliver_frame(
    replica: ConfigurationReplica, peer: FakePeer, *messages, version: int = 0
):  # type: ignore[no-untyped-def]
    """Pass a frame with these messages to a replica."""
    replica.handle_frame(peer, Frame(version, list(messages)))  # type: ignore[arg-type]


async def test_outdated_replica_requests_one_snapshot_and_catches_up() -> None:
    behind, ahead, peer = replica_at(1), replica_at(3), FakePeer()
    deliver_frame(behind, peer, version=3)
    deliver_frame(behind, peer, version=3)
    assert peer.sent == [ConfigurationRequest(1)]
    deliver_frame(behind, peer, ahead.snapshot(), version=3)
    assert behind.version == 3
    assert behind.configuration.digest() == ahead.configuration.digest()


async def test_snapshot_is_requested_from_another_peer_only_after_a_timeout() -> None:
    behind, first, second = replica_at(1), FakePeer(), FakePeer()
    deliver_frame(behind, first, version=3)
    deliver_frame(behind, second, version=3)
    assert (len(first.sent), len(second.sent)) == (1, 0)
    await asyncio.sleep(3.0)
    deliver_frame(behind, second, version=3)
    assert second.sent == [ConfigurationRequest(1)]


async def test_closed_link_ends_the_wait_for_its_snapshot() -> None:
    behind, first, second = replica_at(1), FakePeer(), FakePeer()
    deliver_frame(behind, first, version=3)
    behind.link_down(first)  # type: ignore[arg-type]
    deliver_frame(behind, second, version=3)
    assert second.sent == [ConfigurationRequest(1)]


def test_older_snapshot_is_not_restored() -> None:
    ahead, stale, peer = replica_at(3), replica_at(1), FakePeer()
    deliver_frame(ahead, peer, stale.snapshot(), version=1)
    assert ahead.version == 3
    assert peer.sent == []


def test_only_outdated_peer_gets_a_snapshot() -> None:
    ahead, peer = replica_at(3), FakePeer()
    deliver_frame(ahead, peer, ConfigurationRequest(1))
    assert peer.sent == [ahead.snapshot()]
    deliver_frame(ahead, peer, ConfigurationRequest(3))
    assert len(peer.sent) == 1


def test_snapshot_with_a_wrong_digest_is_refused() -> None:
    behind, ahead, peer = replica_at(1), replica_at(3), FakePeer()
    damaged = msgspec.structs.replace(ahead.snapshot(), digest="0" * 32)
    deliver_frame(behind, peer, damaged)
    assert behind.version == 1


async def test_change_after_a_missing_one_is_not_folded() -> None:
    behind, peer = replica_at(1), FakePeer()
    deliver_frame(
        behind, peer, ConfigurationChange(2, 2, 1.0, encoded_change(2, 2)), version=3
    )
    assert behind.version == 1
    assert peer.sent == [ConfigurationRequest(1)]
    deliver_frame(behind, peer, ConfigurationChange(1, 1, 1.0, encoded_change(1, 1)))
    assert behind.version == 2


def test_unreadable_record_is_skipped() -> None:
    replica = replica_at(1)
    replica.fold(1, 1.0, b'{"type":"later"}')
    replica.fold(2, 1.0, encoded_change(2, 1))
    assert replica.version == 3


def checkpoint(source: Configuration, *, digest: str = "") -> CheckpointRecord:
    return CheckpointRecord(
        "c1",
        "entry-0",
        source.next_offset - 1,
        digest or source.digest(),
        source.to_state(),
    )


def log_record(offset: int, body: object) -> LogRecord:
    return LogRecord(offset, 1.0, msgspec.to_builtins(body))


def test_only_a_checkpoint_closes_a_gap() -> None:
    complete, behind = replica_at(4), replica_at(1)
    scanner = ConfigurationScanner(behind, Metrics())
    assert scanner.expired(3) == 3
    late_body = msgspec.json.decode(encoded_change(3, 3))
    assert scanner.record(LogRecord(3, 1.0, late_body)) is None
    assert behind.version == 1
    scanner.record(log_record(4, checkpoint(complete.configuration)))
    assert behind.version == 4
    assert not scanner.in_gap
    assert scanner.next_offset() == 4


def test_checkpoint_with_a_wrong_digest_is_refused_and_audited() -> None:
    complete, behind = replica_at(3), replica_at(1)
    wrong = checkpoint(complete.configuration, digest="0" * 32)
    scanner = ConfigurationScanner(behind, Metrics())
    scanner.expired(2)
    scanner.record(log_record(3, wrong))
    assert behind.version == 1
    complete.fold(3, 1.0, msgspec.json.encode(wrong))
    assert complete.configuration.audit[-1].verdict.value == "checkpoint_refused"


@pytest.mark.parametrize("changes", [1, 3])
def test_checkpoint_of_the_same_state_is_not_audited(changes: int) -> None:
    replica = replica_at(changes)
    before = len(replica.configuration.audit)
    data = msgspec.json.encode(checkpoint(replica.configuration))
    replica.fold(changes, 1.0, data)
    assert len(replica.configuration.audit) == before
