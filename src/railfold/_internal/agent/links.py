"""The links that entries and other agents open to this agent, and its heartbeats."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from absl import logging

from railfold._internal.agent.backend import Backend, BackendReport
from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.links.connection import Link, owner_name
from railfold._internal.links.messages import (
    AgentState,
    Frame,
    Heartbeat,
    Probe,
    ProbeReply,
)
from railfold._internal.observability.metrics import Metrics

__all__ = ["AgentLinks"]

_CHECK_INTERVAL_S = 0.25
_DEFAULT_INTERVAL_S = 1.0


@dataclass(slots=True)
class _EntryLink:
    link: Link
    interval_s: float = _DEFAULT_INTERVAL_S
    lease_s: float = 0.0
    next_heartbeat_s: float = 0.0


class AgentLinks:
    """Handler of all links that peers open to this agent.

    It sends heartbeats to the linked entries, answers their probes and closes the link
    of an entry whose lease has expired.
    """

    def __init__(self, replica: ConfigurationReplica, metrics: Metrics) -> None:
        self._replica = replica
        self._metrics = metrics
        self._entries: dict[str, _EntryLink] = {}
        self._backend: Backend | None = None
        self.draining = False

    def set_backend(self, backend: Backend) -> None:
        """Set the backend, which can only be created after the links that it uses."""
        self._backend = backend

    @property
    def backend(self) -> Backend:
        """The driver of the backend server."""
        assert self._backend is not None
        return self._backend

    @property
    def entries(self) -> list[str]:
        """The names of the linked entries."""
        return [entry.link.peer.name for entry in self._entries.values()]

    @property
    def has_unsent_data(self) -> bool:
        """Whether a link to an entry has messages that aren't sent yet."""
        return any(entry.link.has_unsent_data for entry in self._entries.values())

    def last_contact_s(self) -> float:
        """Return when a frame last arrived from a linked entry, in loop time.

        Return minus infinity while no entry is linked.
        """
        received_times_s = (
            entry.link.last_received_s for entry in self._entries.values()
        )
        return max(received_times_s, default=-math.inf)

    def entry_link(self, owner: str) -> Link | None:
        """Return the link to the entry with this owner name, or None."""
        entry = self._entries.get(owner)
        return entry.link if entry else None

    def link_up(self, link: Link) -> None:
        """Register the link if the peer is an entry, and send it a heartbeat."""
        if link.peer.role != "entry":
            return
        logging.info("entry %s opened a link", link.peer.name)
        self._entries[owner_name(link)] = _EntryLink(link)
        self.send_heartbeats_now()

    def link_down(self, link: Link) -> None:
        """Forget a closed link and cancel the work that its entry owns."""
        self._replica.link_down(link)
        owner = owner_name(link)
        entry = self._entries.get(owner)
        if entry is None or entry.link is not link:
            return
        del self._entries[owner]
        logging.info("link to entry %s closed", link.peer.name)
        self.backend.owner_lost(owner)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Pass a frame to the configuration replica and the backend; answer probes."""
        self._replica.handle_frame(link, frame)
        for message in frame.messages:
            match message:
                case Probe():
                    self._probe(link, message)
                case _:
                    pass
        self.backend.frame_received(link, frame)

    def _probe(self, link: Link, probe: Probe) -> None:
        entry = self._entries.get(owner_name(link))
        if entry is not None:
            entry.interval_s = probe.heartbeat_interval_s
            entry.lease_s = probe.lease_s
        link.send(ProbeReply(probe.nonce, self.backend.stalled()))

    def send_heartbeats_now(self) -> None:
        """Send heartbeats to all linked entries now, because the report has changed."""
        for entry in self._entries.values():
            entry.next_heartbeat_s = 0.0
        self._send_heartbeats()

    def set_draining(self) -> None:
        """Refuse new work from now on, and report this to the entries."""
        if self.draining:
            return
        self.draining = True
        self.backend.set_draining()
        self.send_heartbeats_now()

    async def run(self, ready: asyncio.Event) -> None:
        """Send heartbeats and check the entries' leases until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._send_heartbeats()
            self._close_expired_links()

    def _send_heartbeats(self) -> None:
        now_s = asyncio.get_running_loop().time()
        due = [e for e in self._entries.values() if e.next_heartbeat_s <= now_s]
        if not due:
            return
        for entry in due:
            entry.link.send(self._heartbeat(owner_name(entry.link)))
            entry.next_heartbeat_s = now_s + entry.interval_s
        self._metrics.count("heartbeats", len(due))

    def _heartbeat(self, owner: str) -> Heartbeat:
        report = self.backend.report()
        return Heartbeat(
            self._state(report),
            report.running,
            self.backend.owned_by(owner),
            report.capacity,
            report.step_ms,
            list(report.loaded),
            list(report.services),
            len(self._entries),
        )

    def _state(self, report: BackendReport) -> AgentState:
        if self.draining:
            return "draining"
        return "serving" if report.available else "unavailable"

    def _close_expired_links(self) -> None:
        for entry in list(self._entries.values()):
            silent_s = entry.link.check_silence() * _CHECK_INTERVAL_S
            if entry.lease_s and silent_s > entry.lease_s:
                self._metrics.count("entries.lease_lapsed")
                logging.warning(
                    "closing link to entry %s: silent for %.1f s, lease expired",
                    entry.link.peer.name,
                    silent_s,
                )
                entry.link.close()
