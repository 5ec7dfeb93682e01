"""A process's replica of the configuration, synchronized with its peers over links.

Every frame contains its sender's version. A process that receives a higher version
than its own requests a snapshot from that peer, and restores the snapshot only if it is
newer and its digest matches. Therefore no process returns to an older version, and a
process that starts while the log is unavailable gets the highest version that its peers
offer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from absl import logging

from railfold._internal.decisions.configuration import (
    Configuration,
    ConfigurationRecord,
    state_digest,
)
from railfold._internal.decoding import decode, decode_json
from railfold._internal.errors import ConfigurationRefusedError
from railfold._internal.links.connection import Link
from railfold._internal.links.messages import (
    ConfigurationChange,
    ConfigurationRequest,
    ConfigurationSnapshot,
    Frame,
)
from railfold._internal.observability.metrics import Metrics

__all__ = ["ConfigurationReplica"]

_SNAPSHOT_TIMEOUT_S = 2.0

_RECORD_DECODER = msgspec.json.Decoder(ConfigurationRecord)


class ConfigurationReplica:
    """The configuration in force in this process.

    :param on_change: called after the version has increased.
    """

    def __init__(self, metrics: Metrics, on_change: Callable[[], None]) -> None:
        self.configuration = Configuration()
        self._metrics = metrics
        self._on_change = on_change
        self._requested_link: Link | None = None
        self._requested_s = 0.0

    @property
    def version(self) -> int:
        """The version in force; it never decreases."""
        return self.configuration.version

    def fold(self, offset: int, appended_s: float, data: bytes) -> None:
        """Fold the JSON record at ``offset`` of the log; skip it if it is invalid."""
        previous_version = self.version
        try:
            record = decode(_RECORD_DECODER, data)
        except msgspec.MsgspecError:
            # The record may be from another writer or a later release. All processes
            # skip it, so that their replicas stay equal.
            self._metrics.count("configuration.unreadable_records")
            self.configuration.skip(offset)
            return
        entry = self.configuration.fold(offset, appended_s, record)
        if entry is not None:
            self._metrics.count(f"configuration.{entry.verdict.value}")
            logging.info(
                "configuration: %s by %s at offset %d: %s %s",
                entry.target,
                entry.operator,
                entry.offset,
                entry.verdict.value,
                "; ".join(entry.reasons),
            )
        self._report_change(previous_version)

    def handle_frame(self, link: Link, frame: Frame) -> None:
        """Process the configuration messages and the version in a peer's frame."""
        for message in frame.messages:
            match message:
                case ConfigurationChange():
                    if message.previous == self.configuration.next_offset:
                        self.fold(message.offset, message.appended_s, message.record)
                case ConfigurationSnapshot():
                    self._requested_link = None
                    self._restore(link, message)
                case ConfigurationRequest(version=version):
                    if version < self.version:
                        link.send(self.snapshot())
                case _:
                    pass
        if frame.configuration_version > self.version:
            self._request_snapshot(link)

    def link_down(self, link: Link) -> None:
        """Discard the pending snapshot request if it was sent over this link."""
        if self._requested_link is link:
            self._requested_link = None

    def snapshot(self) -> ConfigurationSnapshot:
        """Return this replica's state as a message."""
        state = self.configuration.encoded_state()
        return ConfigurationSnapshot(
            self.version,
            self.configuration.next_offset,
            state_digest(state),
            state,
        )

    def _request_snapshot(self, link: Link) -> None:
        # Only one request is pending at a time, since a snapshot is large and all peers
        # have the same one.
        now_s = asyncio.get_running_loop().time()
        if (
            self._requested_link is not None
            and now_s - self._requested_s < _SNAPSHOT_TIMEOUT_S
        ):
            return
        self._requested_link, self._requested_s = link, now_s
        link.send(ConfigurationRequest(self.version))

    def _restore(self, link: Link, message: ConfigurationSnapshot) -> None:
        if state_digest(message.state) != message.digest:
            self._metrics.count("configuration.snapshots_refused")
            logging.error(
                "configuration snapshot of peer %s has a wrong digest", link.peer.name
            )
            return
        try:
            state = decode_json(message.state, dict[str, object])
        except msgspec.DecodeError as error:
            self._metrics.count("configuration.snapshots_refused")
            logging.error(
                "configuration snapshot of peer %s can't be decoded: %s",
                link.peer.name,
                error,
            )
            return
        self.restore_state(state, message.next_offset)

    def restore_state(self, state: dict[str, object], next_offset: int) -> None:
        """Restore the state of a peer or a checkpoint if it is newer."""
        previous_version = self.version
        try:
            self.configuration.restore(state, next_offset)
        except ConfigurationRefusedError as error:
            self._metrics.count("configuration.snapshots_refused")
            logging.error("configuration snapshot is refused: %s", error)
            return
        self._report_change(previous_version)

    def _report_change(self, previous_version: int) -> None:
        if self.version > previous_version:
            self._metrics.gauge("configuration.version", self.version)
            self._on_change()
