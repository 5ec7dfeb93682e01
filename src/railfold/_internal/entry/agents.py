"""The entry's links to agents, and its view of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Protocol

from absl import logging

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.core import Stage, parse_address
from railfold._internal.decisions.backoff import Backoff
from railfold._internal.decisions.heartbeats import HeartbeatPace
from railfold._internal.decisions.membership import (
    AgentReport,
    HostListReceived,
    LinkDown,
    LinkUp,
    ListedHost,
    MembershipChange,
    MembershipView,
    ProbeUnanswered,
)
from railfold._internal.entry.probes import AgentProber, ProbeResult
from railfold._internal.links.connection import Link, LinkLimits, LinkMessage
from railfold._internal.links.endpoint import LinkDialer
from railfold._internal.links.messages import (
    CallRefused,
    CallResult,
    EmittedToken,
    Frame,
    Heartbeat,
    Hello,
    Probe,
    ProbeReply,
    SequenceFailed,
    SequenceRefused,
    TombstoneReply,
)
from railfold._internal.observability.metrics import Metrics

__all__ = ["AgentPool", "RequestDriver", "RequestMessage"]

_LEASE_INTERVALS = 4
_MIN_LEASE_S = 5.0

RequestMessage = (
    EmittedToken
    | SequenceRefused
    | SequenceFailed
    | TombstoneReply
    | CallResult
    | CallRefused
)


class RequestDriver(Protocol):
    """One request in flight, as the pool feeds it."""

    def message(self, host: str, message: RequestMessage) -> None:
        """Take an agent's message about this request."""

    def hosts_lost(self, hosts: frozenset[str]) -> None:
        """These hosts' work in flight is lost."""


class AgentPool:
    """Handler of all links to agents.

    :param on_capacity: called when what is routable may have changed.
    """

    def __init__(
        self,
        hello: Hello,
        replica: ConfigurationReplica,
        limits: LinkLimits,
        pace: HeartbeatPace,
        probe_timeout_s: float,
        metrics: Metrics,
        on_capacity: Callable[[], None],
    ) -> None:
        self.view = MembershipView()
        self._hello = hello
        self._replica = replica
        self._limits = limits
        self._pace = pace
        self._metrics = metrics
        self._on_capacity = on_capacity
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        self._dialers: dict[str, LinkDialer] = {}
        self._drivers: dict[str, RequestDriver] = {}
        self._prober = AgentProber(probe_timeout_s, metrics, self._probe_message)
        self._probing: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.entries = 1

    # Requests.

    def register(self, request_id: str, driver: RequestDriver) -> None:
        """Feed agents' messages about a request to ``driver``."""
        self._drivers[request_id] = driver

    def unregister(self, request_id: str) -> None:
        """Stop feeding a request's driver."""
        self._drivers.pop(request_id, None)

    @property
    def in_flight(self) -> int:
        """Requests that have a driver."""
        return len(self._drivers)

    def send(self, stage: Stage, message: LinkMessage) -> bool:
        """Send to a stage's agent; False if that incarnation isn't linked."""
        link = self._links.get(stage.host)
        if link is None or link.peer.incarnation != stage.incarnation:
            return False
        link.send(message)
        return True

    def peer_versions(self) -> dict[str, int]:
        """Return each linked agent's configuration version."""
        return {
            host: link.peer_configuration_version for host, link in self._links.items()
        }

    def broadcast(self, message: LinkMessage) -> None:
        """Send to every linked agent."""
        for link in self._links.values():
            link.send(message)

    def control_bytes(self) -> tuple[int, int]:
        """Return bytes sent and received on all open links."""
        links = self._links.values()
        return sum(x.bytes_sent for x in links), sum(x.bytes_received for x in links)

    # The platform's list.

    def hosts_listed(self, hosts: tuple[ListedHost, ...]) -> None:
        """Take a new copy of the platform's list."""
        self._apply_change(self.view.apply(HostListReceived(hosts)))

    def _dial(self, host: ListedHost) -> None:
        self._hang_up(host.host)
        self._addresses[host.host] = host.address
        backoff = Backoff(max_s=2.0)
        dialer = LinkDialer(
            parse_address(host.address),
            self._hello,
            lambda: self._replica.version,
            self._limits,
            self,
            backoff.delay_s,
        )
        self._dialers[host.host] = dialer
        dialer.start()

    def _hang_up(self, host: str) -> None:
        dialer = self._dialers.pop(host, None)
        if dialer is not None:
            self._spawn(dialer.stop())

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply_change(self, change: MembershipChange) -> None:
        for host in change.connect:
            self._dial(host)
        for name in change.disconnect:
            self._hang_up(name)
        if change.lost:
            self._lose(change.lost)

    def _lose(self, hosts: frozenset[str]) -> None:
        self._metrics.count("hosts.lost", len(hosts))
        self._on_capacity()
        for driver in list(self._drivers.values()):
            driver.hosts_lost(hosts)

    # Links.

    def link_up(self, link: Link) -> None:
        """A link to an agent was handshaken."""
        peer = link.peer
        logging.info("agent %s linked", peer.name)
        older = self._links.get(peer.name)
        self._links[peer.name] = link
        address = self._addresses.get(peer.name, "")
        event = LinkUp(
            peer.name, address, peer.incarnation, peer.failure_domain, peer.region
        )
        self._apply_change(self.view.apply(event))
        if older is not None:
            older.close()
        link.send(self._probe_message(0))

    def link_down(self, link: Link) -> None:
        """A link to an agent ended."""
        self._replica.link_down(link)
        if self._links.get(link.peer.name) is not link:
            return
        del self._links[link.peer.name]
        logging.info("agent %s gone", link.peer.name)
        event = LinkDown(link.peer.name, link.peer.incarnation)
        self._apply_change(self.view.apply(event))

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Take a frame from an agent."""
        for token in frame.tokens:
            driver = self._drivers.get(token.request_id)
            if driver is not None:
                driver.message(link.peer.name, token)
        for message in frame.messages:
            match message:
                case Heartbeat():
                    self._heartbeat(link, message)
                case ProbeReply(nonce=nonce, stalled=stalled):
                    self._prober.answered(nonce, stalled=stalled)
                case (
                    SequenceRefused()
                    | SequenceFailed()
                    | TombstoneReply()
                    | CallResult()
                    | CallRefused()
                ):
                    driver = self._drivers.get(message.request_id)
                    if driver is not None:
                        driver.message(link.peer.name, message)
                case _:
                    pass
        self._replica.handle_frame(link, frame)

    def _heartbeat(self, link: Link, message: Heartbeat) -> None:
        self.entries = max(1, message.entries)
        before = self.view.get(link.peer.name)
        was_routable = before is not None and before.routable
        report = AgentReport(
            link.peer.name,
            link.peer.incarnation,
            message.state,
            message.sequences,
            message.owned,
            message.max_sequences,
            message.step_ms,
            tuple(message.loaded),
            tuple(message.services),
        )
        self._apply_change(self.view.apply(report))
        member = self.view.get(link.peer.name)
        if member is not None and member.routable != was_routable:
            logging.info("agent %s is %s", member.host, member.state)
            # What else a heartbeat changes is taken in at the next interval:
            # looking at all agents for each heartbeat would cost their square.
            self._on_capacity()

    # Probes.

    async def probe(self, stages: Iterable[Stage]) -> None:
        """Probe the stages' agents.

        Those that are silent or stalled are marked, so that no new work goes
        there until they report again, and all drivers are told.
        """
        chain = {_incarnation(stage): stage for stage in stages}
        begun = [stage for key, stage in chain.items() if key not in self._probing]
        for stage in begun:
            self._begin_probe(stage)
        if begun:
            self._ask_witness({stage.host for stage in chain.values()})
        await asyncio.gather(*(asyncio.shield(self._probing[key]) for key in chain))

    def _begin_probe(self, stage: Stage) -> None:
        # Many sequences on one host come overdue together: they share a probe
        # and what follows from it.
        key = _incarnation(stage)
        task = asyncio.create_task(self._probe_and_mark(stage))
        self._probing[key] = task
        task.add_done_callback(lambda _: self._probing.pop(key, None))

    def _ask_witness(self, hosts: set[str]) -> None:
        # If all of a chain are silent, another agent's answer tells that it isn't
        # this process that is late: the one heard last, elsewhere if possible. It
        # is asked after the chain's agents, as the proof requires.
        members = [m for host in hosts if (m := self.view.get(host)) is not None]
        domains = {member.failure_domain for member in members}
        links = [link for host, link in self._links.items() if host not in hosts]
        if links:
            witness = max(
                links,
                key=lambda x: (x.peer.failure_domain not in domains, x.last_received_s),
            )
            self._spawn(self._ask(witness))

    async def _ask(self, link: Link) -> None:
        await self._prober.ask(link)

    async def _probe_and_mark(self, stage: Stage) -> None:
        result = await self._probe_once(stage)
        if result is ProbeResult.ALIVE:
            return
        logging.warning("agent %s is %s", stage.host, result.name.lower())
        event = ProbeUnanswered(stage.host, stage.incarnation)
        self._apply_change(self.view.apply(event))

    async def _probe_once(self, stage: Stage) -> ProbeResult:
        link = self._links.get(stage.host)
        if link is None or link.peer.incarnation != stage.incarnation:
            return ProbeResult.SILENT
        return await self._prober.ask(link)

    def _probe_message(self, nonce: int) -> Probe:
        interval_s = self._interval_s()
        lease_s = max(_MIN_LEASE_S, _LEASE_INTERVALS * interval_s)
        return Probe(nonce, interval_s, lease_s)

    def _interval_s(self) -> float:
        return self._pace.interval_s(len(self._links))

    async def run(self, ready: asyncio.Event) -> None:
        """Child: renew this entry's leases; drop agents that fell silent."""
        ready.set()
        try:
            while True:
                interval_s = self._interval_s()
                await asyncio.sleep(interval_s)
                for host, link in list(self._links.items()):
                    link.send(self._probe_message(0))
                    if link.check_silence() >= _LEASE_INTERVALS:
                        logging.warning("agent %s fell silent", host)
                        link.close()
        finally:
            await self._close()

    async def _close(self) -> None:
        dialers = list(self._dialers.values())
        self._dialers.clear()
        await asyncio.gather(*(dialer.stop() for dialer in dialers))


def _incarnation(stage: Stage) -> tuple[str, int]:
    return stage.host, stage.incarnation
