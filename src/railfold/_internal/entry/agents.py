"""Links from this entry to agents, and the membership view built from them."""

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

__all__ = ["AgentPool", "RequestDriver", "RequestMessage", "SuspicionListener"]

_INTERVALS_PER_LEASE = 4
_MIN_LEASE_S = 5.0

RequestMessage = (
    EmittedToken
    | SequenceRefused
    | SequenceFailed
    | TombstoneReply
    | CallResult
    | CallRefused
)


SuspicionListener = Callable[[frozenset[str]], None]


class RequestDriver(Protocol):
    """A request in flight, which gets its agents' messages from the pool."""

    def message_received(self, host: str, message: RequestMessage) -> None:
        """Process a message from ``host`` about this request."""

    def hosts_lost(self, hosts: frozenset[str]) -> None:
        """Process the loss of all work in flight on these hosts."""


class AgentPool:
    """Dials agents, handles their links and routes their messages to drivers.

    :param hello: this entry's handshake message.
    :param pace: computes the interval of heartbeats and lease renewals.
    :param on_capacity_change: called when the set of routable agents may have
        changed.
    """

    def __init__(
        self,
        hello: Hello,
        replica: ConfigurationReplica,
        limits: LinkLimits,
        pace: HeartbeatPace,
        probe_timeout_s: float,
        metrics: Metrics,
        on_capacity_change: Callable[[], None],
    ) -> None:
        self.view = MembershipView()
        self._hello = hello
        self._replica = replica
        self._limits = limits
        self._pace = pace
        self._metrics = metrics
        self._on_capacity_change = on_capacity_change
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        self._dialers: dict[str, LinkDialer] = {}
        self._drivers: dict[str, RequestDriver] = {}
        self._suspicion_listeners: dict[str, SuspicionListener] = {}
        self._prober = AgentProber(probe_timeout_s, metrics, self._probe_message)
        self._probing: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.entry_count = 1

    # Requests.

    def register(
        self,
        request_id: str,
        driver: RequestDriver,
        hosts_suspected: SuspicionListener | None = None,
    ) -> None:
        """Deliver agents' messages about a request to ``driver``.

        :param hosts_suspected: called with hosts that have fallen silent or stalled.
        """
        self._drivers[request_id] = driver
        if hosts_suspected is not None:
            self._suspicion_listeners[request_id] = hosts_suspected

    def unregister(self, request_id: str) -> None:
        """Stop delivering messages about a request."""
        self._drivers.pop(request_id, None)
        self._suspicion_listeners.pop(request_id, None)

    @property
    def in_flight(self) -> int:
        """Number of requests that have a driver."""
        return len(self._drivers)

    def send(self, stage: Stage, message: LinkMessage) -> bool:
        """Send to a stage's agent; return False if that incarnation isn't linked."""
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
        """Send a message to every linked agent."""
        for link in self._links.values():
            link.send(message)

    def link_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and the bytes received on all open links."""
        links = self._links.values()
        return sum(link.bytes_sent for link in links), sum(
            link.bytes_received for link in links
        )

    # The platform's host list.

    def host_list_received(self, hosts: tuple[ListedHost, ...]) -> None:
        """Apply a new copy of the platform's host list."""
        self._apply_change(self.view.apply(HostListReceived(hosts)))

    def _dial(self, host: ListedHost) -> None:
        self._stop_dialer(host.host)
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

    def _stop_dialer(self, host: str) -> None:
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
            self._stop_dialer(name)
        if change.lost:
            self._report_lost(change.lost)
        if change.suspected:
            self._report_suspected(change.suspected)

    def _report_lost(self, hosts: frozenset[str]) -> None:
        self._metrics.count("hosts.lost", len(hosts))
        self._on_capacity_change()
        for driver in list(self._drivers.values()):
            driver.hosts_lost(hosts)

    def _report_suspected(self, hosts: frozenset[str]) -> None:
        self._metrics.count("hosts.suspected", len(hosts))
        self._on_capacity_change()
        for hosts_suspected in list(self._suspicion_listeners.values()):
            hosts_suspected(hosts)

    # Links.

    def link_up(self, link: Link) -> None:
        """Add an agent after the handshake of its link, and request its state."""
        peer = link.peer
        logging.info("link to agent %s opened", peer.name)
        previous_link = self._links.get(peer.name)
        self._links[peer.name] = link
        address = self._addresses.get(peer.name, "")
        event = LinkUp(
            peer.name, address, peer.incarnation, peer.failure_domain, peer.region
        )
        self._apply_change(self.view.apply(event))
        if previous_link is not None:
            previous_link.close()
        link.send(self._probe_message(0))

    def link_down(self, link: Link) -> None:
        """Remove an agent whose link has closed, unless a newer link replaced it."""
        self._replica.link_down(link)
        if self._links.get(link.peer.name) is not link:
            return
        del self._links[link.peer.name]
        logging.info("link to agent %s closed", link.peer.name)
        event = LinkDown(link.peer.name, link.peer.incarnation)
        self._apply_change(self.view.apply(event))

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Process a frame from an agent."""
        for token in frame.tokens:
            driver = self._drivers.get(token.request_id)
            if driver is not None:
                driver.message_received(link.peer.name, token)
        for message in frame.messages:
            match message:
                case Heartbeat():
                    self._process_heartbeat(link, message)
                case ProbeReply(nonce=nonce, stalled=stalled):
                    self._prober.answer_received(nonce, stalled=stalled)
                case (
                    SequenceRefused()
                    | SequenceFailed()
                    | TombstoneReply()
                    | CallResult()
                    | CallRefused()
                ):
                    driver = self._drivers.get(message.request_id)
                    if driver is not None:
                        driver.message_received(link.peer.name, message)
                case _:
                    pass
        self._replica.handle_frame(link, frame)

    def _process_heartbeat(self, link: Link, message: Heartbeat) -> None:
        self.entry_count = max(1, message.entries)
        member_before = self.view.get(link.peer.name)
        was_routable = member_before is not None and member_before.routable
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
            # Other changes, such as load, take effect at the next periodic refresh
            # of the capacity: a refresh after each heartbeat visits all agents, so
            # its cost would grow with the square of their number.
            self._on_capacity_change()

    # Probes.

    async def probe(self, stages: Iterable[Stage]) -> None:
        """Probe the stages' agents and wait for the results.

        Silent and stalled agents are marked as suspect, so that they get no new work
        until their next report, and the drivers that listen for that are notified.
        """
        stages_by_incarnation = {_incarnation_key(stage): stage for stage in stages}
        to_probe = [
            stage
            for key, stage in stages_by_incarnation.items()
            if key not in self._probing
        ]
        for stage in to_probe:
            self._start_probe(stage)
        if to_probe:
            self._probe_another_agent(
                {stage.host for stage in stages_by_incarnation.values()}
            )
        await asyncio.gather(
            *(asyncio.shield(self._probing[key]) for key in stages_by_incarnation)
        )

    def _start_probe(self, stage: Stage) -> None:
        # Tokens of many sequences on one host become overdue at the same time: these
        # sequences share one probe and its result.
        key = _incarnation_key(stage)
        task = asyncio.create_task(self._probe_and_update_view(stage))
        self._probing[key] = task
        task.add_done_callback(lambda _: self._probing.pop(key, None))

    def _probe_another_agent(self, hosts: set[str]) -> None:
        # If no agent of a chain answers, an answer from another agent shows that the
        # cause isn't a delay in this process. The agent that sent the latest message is
        # probed, from another failure domain if possible. This probe is sent after
        # those of the chain's agents, because only the answer to a later probe counts
        # as proof.
        members = [m for host in hosts if (m := self.view.get(host)) is not None]
        domains = {member.failure_domain for member in members}
        links = [link for host, link in self._links.items() if host not in hosts]
        if links:
            other_link = max(
                links,
                key=lambda link: (
                    link.peer.failure_domain not in domains,
                    link.last_received_s,
                ),
            )
            self._spawn(self._probe_link(other_link))

    async def _probe_link(self, link: Link) -> None:
        await self._prober.probe(link)

    async def _probe_and_update_view(self, stage: Stage) -> None:
        result = await self._probe_stage(stage)
        if result is ProbeResult.ALIVE:
            return
        logging.warning("agent %s is %s", stage.host, result.name.lower())
        event = ProbeUnanswered(stage.host, stage.incarnation)
        self._apply_change(self.view.apply(event))

    async def _probe_stage(self, stage: Stage) -> ProbeResult:
        link = self._links.get(stage.host)
        if link is None or link.peer.incarnation != stage.incarnation:
            return ProbeResult.SILENT
        return await self._prober.probe(link)

    def _probe_message(self, nonce: int) -> Probe:
        interval_s = self._interval_s()
        return Probe(nonce, interval_s, _lease_s(interval_s))

    def _interval_s(self) -> float:
        return self._pace.interval_s(len(self._links))

    async def run(self, ready: asyncio.Event) -> None:
        """Renew this entry's leases at agents; close the links of silent agents.

        An agent gets no new work after a few intervals of silence, and loses its work
        in flight only when its lease would have ended.

        Runs as a child of the supervisor until it is cancelled.
        """
        ready.set()
        try:
            while True:
                interval_s = self._interval_s()
                await asyncio.sleep(interval_s)
                for host, link in list(self._links.items()):
                    link.send(self._probe_message(0))
                    self._check_silence(host, link, interval_s)
        finally:
            await self._close()

    def _check_silence(self, host: str, link: Link, interval_s: float) -> None:
        silent_checks = link.check_silence()
        silent_s = silent_checks * interval_s
        if silent_s >= _lease_s(interval_s):
            logging.warning(
                "closing the link to agent %s: silent for %.1f s", host, silent_s
            )
            link.close()
        elif silent_checks >= _INTERVALS_PER_LEASE:
            logging.warning("agent %s is silent for %.1f s", host, silent_s)
            event = ProbeUnanswered(host, link.peer.incarnation)
            self._apply_change(self.view.apply(event))

    async def _close(self) -> None:
        dialers = list(self._dialers.values())
        self._dialers.clear()
        await asyncio.gather(*(dialer.stop() for dialer in dialers))


def _incarnation_key(stage: Stage) -> tuple[str, int]:
    return stage.host, stage.incarnation


def _lease_s(interval_s: float) -> float:
    """Return how long a link may be silent in either direction until it is closed."""
    return max(_MIN_LEASE_S, _INTERVALS_PER_LEASE * interval_s)
