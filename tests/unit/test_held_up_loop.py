"""A process that is late itself doesn't take that for the silence of its peers.

The peers run on a loop of their own in another thread, so that they answer while
the loop under test is held up.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator

import pytest

from railfold._internal.agent.backend import BackendReport
from railfold._internal.agent.links import AgentLinks
from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.core import LayerRange, Stage, parse_address
from railfold._internal.decisions.heartbeats import HeartbeatPace
from railfold._internal.decisions.membership import ListedHost
from railfold._internal.entry.agents import AgentPool
from railfold._internal.links.connection import Link, LinkLimits, LinkPeer
from railfold._internal.links.endpoint import LinkServer, dial
from railfold._internal.links.messages import (
    Frame,
    Heartbeat,
    Hello,
    Probe,
    ProbeReply,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.waiting import answer_within

pytestmark = pytest.mark.asyncio

LIMITS = LinkLimits()
LATE_S = 0.3
INTERVAL_S = 0.05  # Four of them are the silence that ends a link: less than LATE_S.
AGENT_TICK_S = 0.25  # Between an agent's looks at its links.
PROBE_TIMEOUT_S = 0.2  # As by default in the settings of an entry.
STAGE = Stage("a1", "127.0.0.1:1", 7, LayerRange(0, 11))


class Agent:
    """An agent that answers probes; a frozen one doesn't."""

    def __init__(self, host: str, failure_domain: str) -> None:
        self.hello = Hello(1, "agent", host, STAGE.incarnation, failure_domain, "west")
        self.probed = threading.Event()
        self.frozen = False
        self.answer_after_s = 0.02

    def link_up(self, link: Link) -> None:
        link.send(Heartbeat("serving", 0, 0, 8, 10.0, [], [], 1))

    def link_down(self, link: Link) -> None:
        pass

    def frame_received(self, link: Link, frame: Frame) -> None:
        for message in frame.messages:
            if isinstance(message, Probe) and message.nonce:
                self.probed.set()
                answer = ProbeReply(message.nonce, False)
                asyncio.get_running_loop().call_later(
                    self.answer_after_s, self._send, link, answer
                )

    def _send(self, link: Link, answer: ProbeReply) -> None:
        if not self.frozen:
            link.send(answer)


class Agents:
    """Agents in different failure domains, on a loop and thread of their own."""

    def __init__(self, hosts: dict[str, str]) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._servers: list[LinkServer] = []
        self.agents = {host: Agent(host, domain) for host, domain in hosts.items()}
        self.listed = tuple(
            ListedHost(host, self._call(self._listen(agent)))
            for host, agent in self.agents.items()
        )

    def _call(self, coroutine: Coroutine[None, None, str]) -> str:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)

    async def _listen(self, agent: Agent) -> str:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        server = LinkServer(agent.hello, lambda: 0, LIMITS, agent)
        server.add_socket(listener)
        self._servers.append(server)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    async def _close(self) -> str:
        for server in self._servers:
            server.stop()
            server.close_links()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        await asyncio.gather(*tasks, return_exceptions=True)
        return "closed"

    def stop(self) -> None:
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class IdleBackend:
    """A backend server that an agent has nothing to do with yet."""

    def report(self) -> BackendReport:
        return BackendReport(available=True, running=0, capacity=8, step_ms=1.0)

    def owned_by(self, owner: str) -> int:
        return 0

    def stalled(self) -> bool:
        return False

    def frame(self, link: Link, frame: Frame) -> None:
        pass


class Request:
    """A request in flight, which remembers the hosts it was told are lost."""

    def __init__(self) -> None:
        self.lost: set[str] = set()

    def message_received(self, host: str, message: object) -> None:
        pass

    def hosts_lost(self, hosts: frozenset[str]) -> None:
        self.lost |= hosts


async def until(condition: Callable[[], object]) -> None:
    """Give the loop turns until a condition holds."""
    async with asyncio.timeout(5.0):
        while not condition():  # noqa: ASYNC110 - conditions of many kinds.
            await asyncio.sleep(0)


@pytest.fixture
def running() -> Iterator[Agents]:
    """Two well agents."""
    agents = Agents({"a1": "hall-a", "b1": "depot-b"})
    yield agents
    agents.stop()


@pytest.fixture
def metrics() -> Metrics:
    return Metrics()


@pytest.fixture
async def pool(running: Agents, metrics: Metrics) -> AsyncIterator[AgentPool]:
    """The links of an entry that routes to both agents."""
    linked = AgentPool(
        Hello(1, "entry", "e1", 1, "hall-a", "west"),
        ConfigurationReplica(metrics, lambda: None),
        LIMITS,
        HeartbeatPace(budget_bytes_per_s=1e9, min_interval_s=INTERVAL_S),
        PROBE_TIMEOUT_S,
        metrics,
        lambda: None,
    )
    linked.host_list_received(running.listed)
    await until(lambda: sum(member.routable for member in linked.view) == 2)
    yield linked
    await linked._close()


@pytest.fixture
def request_in_flight(pool: AgentPool) -> Request:
    request = Request()
    pool.register("r1", request)
    return request


def standing(pool: AgentPool, host: str) -> str:
    member = pool.view.get(host)
    return "not linked" if member is None else member.displayed_state


# Streams began anew on other hosts, or ended once the retry budget was spent, though
# all agents were well. Order of events: the entry's loop is held up, so that all its
# streams look silent; it queues probes; it is held up once more for 0.3 s before they
# leave. Cause: a probe's 0.2 s begin when it is queued and run on while the entry
# neither sends nor reads. Evidence: the agent gets the probe after it was given up.
async def test_hold_up_before_a_probe_leaves_is_not_silence(
    running: Agents, pool: AgentPool, metrics: Metrics, request_in_flight: Request
) -> None:
    probing = asyncio.create_task(pool.probe((STAGE,)))
    await until(lambda: metrics.counters["probes"])
    assert not running.agents["a1"].probed.is_set()
    time.sleep(LATE_S)  # noqa: ASYNC251 - it is to hold the loop up.
    await probing
    assert standing(pool, "a1") == "serving"
    assert request_in_flight.lost == set()


# The same for users while an entry's own link was full, for instance with a large
# configuration. Order of events: nothing that anybody sent arrives for 0.3 s; tokens
# are late; the entry probes; the answers of all agents wait behind what fills the
# link. Cause: an agent is given up after 0.2 s whether or not any other agent could
# make itself heard. Evidence: all answers arrive together, 0.1 s after the verdict.
async def test_own_full_link_is_not_silence_of_agents(
    running: Agents, pool: AgentPool, request_in_flight: Request
) -> None:
    for agent in running.agents.values():
        agent.answer_after_s = LATE_S
    await pool.probe((STAGE,))
    assert standing(pool, "a1") == "serving"
    assert request_in_flight.lost == set()


async def test_answer_that_came_during_a_hold_up_counts(
    running: Agents, pool: AgentPool, request_in_flight: Request
) -> None:
    probing = asyncio.create_task(pool.probe((STAGE,)))
    await until(running.agents["a1"].probed.is_set)
    time.sleep(LATE_S)  # noqa: ASYNC251 - it is to hold the loop up.
    await probing
    assert standing(pool, "a1") == "serving"
    assert request_in_flight.lost == set()


async def test_frozen_agent_is_given_up_while_another_answers(
    running: Agents, pool: AgentPool, request_in_flight: Request
) -> None:
    running.agents["a1"].frozen = True
    await pool.probe((STAGE,))
    assert standing(pool, "a1") == "suspect"
    assert request_in_flight.lost == {"a1"}
    assert standing(pool, "b1") == "serving"


async def test_agents_that_all_stay_silent_are_given_up(
    running: Agents, pool: AgentPool, request_in_flight: Request
) -> None:
    for agent in running.agents.values():
        agent.frozen = True
    await pool.probe((STAGE,))
    assert standing(pool, "a1") == "suspect"
    assert request_in_flight.lost == {"a1"}


async def hold_up_after(sleep_s: float) -> None:
    """Hold the loop up when a timer set now has ended, before its task wakes."""
    await asyncio.sleep(sleep_s)
    time.sleep(LATE_S)  # noqa: ASYNC251 - it is to hold the loop up.


async def test_hold_up_beside_an_entrys_look_at_its_links_closes_none(
    pool: AgentPool, request_in_flight: Request
) -> None:
    held_up = asyncio.create_task(hold_up_after(INTERVAL_S))
    watching = asyncio.create_task(pool.run(asyncio.Event()))
    await held_up
    await asyncio.sleep(INTERVAL_S)
    assert request_in_flight.lost == set()
    watching.cancel()


async def test_hold_up_beside_an_agents_look_at_its_links_closes_none(
    running: Agents,
) -> None:
    links = AgentLinks(ConfigurationReplica(Metrics(), lambda: None), Metrics())
    links.attach(IdleBackend())  # type: ignore[arg-type]
    hello = Hello(1, "entry", "e1", 1, "hall-a", "west")
    link = await dial(parse_address(running.listed[0].address), hello, int, LIMITS)
    link.peer = LinkPeer("entry", "e2", 1, "hall-a", "west")
    links.link_up(link)
    links.frame_received(link, Frame(0, [Probe(1, INTERVAL_S, lease_s=0.4)]))
    held_up = asyncio.create_task(hold_up_after(AGENT_TICK_S))
    watching = asyncio.create_task(links.run(asyncio.Event()))
    await held_up
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not link.closed
    watching.cancel()
    link.close()


async def test_hold_up_while_dialling_is_not_taken_for_nobody_there(
    running: Agents,
) -> None:
    hello = Hello(1, "entry", "e1", 1, "hall-a", "west")
    limits = LinkLimits(handshake_timeout_s=0.2)
    address = parse_address(running.listed[0].address)
    for turns in range(1, 6):
        dialling = asyncio.create_task(dial(address, hello, int, limits))
        for _ in range(turns):
            await asyncio.sleep(0)
        time.sleep(LATE_S)  # noqa: ASYNC251 - it is to hold the loop up.
        link = await dialling
        assert link.peer.name == "a1"
        link.close()


async def test_hold_up_at_the_end_of_a_wait_leaves_time_to_read() -> None:
    arrived = asyncio.Event()

    async def hold_up() -> None:
        await asyncio.sleep(0.17)
        time.sleep(LATE_S)  # noqa: ASYNC251 - it is to hold the loop up.
        arrived.set()

    async def answer() -> str:
        await arrived.wait()
        for _ in range(5):  # An answer goes through several turns of the loop.
            await asyncio.sleep(0)
        return "answer"

    held_up = asyncio.create_task(hold_up())
    assert await answer_within(answer(), 0.2) == "answer"
    assert held_up.done()


async def test_a_loop_that_is_always_late_gives_up_too() -> None:
    async def be_late() -> None:
        while True:
            time.sleep(0.03)  # noqa: ASYNC251 - it is to hold the loop up.
            await asyncio.sleep(0)

    late = asyncio.create_task(be_late())
    nothing = asyncio.get_running_loop().create_future()
    with pytest.raises(TimeoutError):
        await answer_within(nothing, 0.04)
    assert nothing.cancelled()
    late.cancel()
