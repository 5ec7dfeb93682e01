"""Runs clients whose requests crash their servers beside clients of innocent ones."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field

from standins.chaining_engine import Engine
from tests.lib.forwarding import KEY, Deployment, Reply, configuration, until

# The request body that crashes each backend server that runs it.
POISON_BODY = b"ends whoever runs it"

# The ID of the prompt part that crashes each backend server that begins to answer a
# request with it, and the ID of another part.
POISON_PART = "bad0bad0bad0bad0"
SOUND_PART = "50f750f750f750f7"

# The number of tokens of each part of a prompt.
PART_TOKENS = 16

# How long after a crash the server's registration lapses, and the server has restarted.
REGISTRATION_LAPSE_S = 1.0
RESTART_S = 1.5

# The interval between sends of the poison request, and how long clients wait for an
# answer.
RESEND_INTERVAL_S = 0.15
READ_TIMEOUT_S = 2.0

# The interval of clients that send periodically, without waiting for answers.
SEND_INTERVAL_S = 0.1

# The interval between requests with the crashing part, and between sound ones beside
# them.
POISON_PART_INTERVAL_S = 0.2
SOUND_INTERVAL_S = 0.05

# How long only sound requests are sent, before those with the crashing part, and the
# part of that time whose streams end before the first crash.
CALM_S = 2.0
UNDISTURBED_S = 1.5

# The crash after which entries should know the part, and the time from that crash until
# sound requests should be served again.
RECOGNIZING_CRASH = 5
RECOVERY_S = 6.0

# The least time at the end of a run in which sound requests are counted.
MIN_WINDOW_S = 2.0

# The number of events in the streams of other clients: 0.2 s of events.
OTHER_STREAM_EVENTS = 20


@dataclass(repr=False)
class CrashingFleet:
    """Makes a deployment's servers crash on the poison body and restart afterwards.

    :param same_id: whether a server restarts at its address under the same ID with a
        later start time, instead of under a new ID.
    :param crash_prompt_part: the ID of a prompt part that crashes servers, too.
    :param crash_times_s: when each server crashed.
    :param replaced_servers: crashed servers that a server with a new ID replaced.
    """

    deployment: Deployment
    same_id: bool = False
    crash_prompt_part: str | None = None
    crash_times_s: list[float] = field(default_factory=list)
    replaced_servers: list[Engine] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def enable_crashes(self) -> None:
        """Make all servers crash on the poison body or part from now on."""
        for server in (*self.deployment.engines, *self.deployment.plain):
            self._enable_crashes_of(server)

    def _enable_crashes_of(self, server: Engine) -> None:
        if self.same_id and server.born is None:
            server.born = _unix_time_ms()
            server.register()
        server.crash_body = POISON_BODY
        server.crash_prompt_part = self.crash_prompt_part
        server.on_crash = self._on_crash

    def _on_crash(self, server: Engine) -> None:
        self.crash_times_s.append(asyncio.get_running_loop().time())
        task = asyncio.get_running_loop().create_task(self._replace(server))
        self._tasks.add(task)

    async def _replace(self, server: Engine) -> None:
        if self.same_id:
            await asyncio.sleep(RESTART_S)
            server.start_without_state(_unix_time_ms())
            return
        await asyncio.sleep(REGISTRATION_LAPSE_S)
        server.deregister()
        await asyncio.sleep(RESTART_S - REGISTRATION_LAPSE_S)
        deployment = self.deployment
        group = deployment.engines if server.model else deployment.plain
        group.remove(server)
        self.replaced_servers.append(server)
        name = f"{server.server_id}-again"
        if server.model:
            successor = deployment.add_engine(name, server.zone, None)
        else:
            successor = deployment.add_plain(name, server.zone)
        self._enable_crashes_of(successor)

    @property
    def servers(self) -> list[Engine]:
        """All servers that have existed, including replaced ones."""
        return [
            *self.deployment.engines,
            *self.deployment.plain,
            *self.replaced_servers,
        ]

    def arrivals_s(self, prefix: str) -> list[float]:
        """Return when requests whose IDs have a prefix arrived at servers, in order."""
        arrival_times_s = [
            arrival.at_s
            for server in self.servers
            for arrival in server.arrivals
            if arrival.request_id.startswith(prefix)
        ]
        return sorted(arrival_times_s)

    async def stop(self) -> None:
        """Cancel the pending restarts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@dataclass(repr=False)
class RequestSender:
    """Sends requests to randomly chosen entries, and records the results.

    :param event_count: the number of events to request for a stream.
    :param keys: the credentials of the requests, one of them chosen at random for each.
    :param prompt_parts: the IDs of the prompt parts that requests share; each request
        has another one after them. Without them, requests don't state their prompts.
    :param results: when each request was sent, and whether it was served.
    :param refused_at_s: when requests were refused because of repeated crashes.
    :param served_at_s: when complete successful answers were received.
    :param failed_at_s: when other requests ended.
    """

    deployment: Deployment
    path: str
    rng: random.Random
    event_count: int = OTHER_STREAM_EVENTS
    keys: Sequence[str] = (KEY,)
    prompt_parts: Sequence[str] = ()
    replies: list[Reply | None] = field(default_factory=list)
    refused_at_s: list[float] = field(default_factory=list)
    served_at_s: list[float] = field(default_factory=list)
    failed_at_s: list[float] = field(default_factory=list)
    results: list[tuple[float, bool]] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def send_repeatedly(self, body: bytes, duration_s: float) -> None:
        """Send the same body at an interval, under a new request ID each time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        number = 0
        while loop.time() < end_s:
            number += 1
            task = loop.create_task(self.send(f"poison-{number}", body, 50))
            self._tasks.add(task)
            await asyncio.sleep(RESEND_INTERVAL_S)
        await asyncio.gather(*self._tasks)

    async def send_periodically(
        self,
        name: str,
        body: bytes | None,
        duration_s: float,
        interval_s: float = SEND_INTERVAL_S,
    ) -> None:
        """Send requests at an interval, by default ten times a second.

        :param body: the body of all requests; ``None`` for a different body each time.
        """
        loop = asyncio.get_running_loop()
        for number in range(round(duration_s / interval_s)):
            request_id = f"{name}-{number}"
            sent = self.send(request_id, body or request_id.encode(), self.event_count)
            self._tasks.add(loop.create_task(sent))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*self._tasks)

    async def resend_after_each_answer(self, body: bytes, duration_s: float) -> None:
        """Send the same body again shortly after each answer."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        number = 0
        while loop.time() < end_s:
            number += 1
            await self.send(f"poison-{number}", body, 50)
            await asyncio.sleep(RESEND_INTERVAL_S)

    @property
    def longest_refusal_s(self) -> float:
        """The longest time during which requests were refused for repeated crashes."""
        longest_s = since_s = last_s = 0.0
        for at_s in sorted(self.refused_at_s):
            if at_s - last_s > 3 * SEND_INTERVAL_S:
                since_s = at_s
            last_s = at_s
            longest_s = max(longest_s, last_s - since_s)
        return longest_s

    async def send_distinct(self, name: str, duration_s: float) -> None:
        """Send requests with different bodies, one after another."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        number = 0
        while loop.time() < end_s:
            number += 1
            request_id = f"{name}-{number}"
            await self.send(request_id, request_id.encode(), self.event_count)
            await asyncio.sleep(0.05)

    async def send(self, request_id: str, body: bytes, events: int) -> None:
        """Send one request and record the result."""
        number = self.rng.randrange(self.deployment.entry_count)
        key = self.keys[0] if len(self.keys) == 1 else self.rng.choice(self.keys)
        headers = self._prompt_headers(request_id)
        sent_at_s = asyncio.get_running_loop().time()
        connection = await self.deployment.connect(number)
        reply: Reply | None = None
        try:
            await connection.send(
                self.path,
                request_id,
                key=key,
                body=body,
                events=events,
                headers=headers,
            )
            reply = await _within(connection.read(), READ_TIMEOUT_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            reply = None
        finally:
            connection.close()
        self.replies.append(reply)
        now_s = asyncio.get_running_loop().time()
        served = reply is not None and reply.status == 200 and reply.complete
        (self.served_at_s if served else self.failed_at_s).append(now_s)
        self.results.append((sent_at_s, served))
        if reply is not None and b"repeated_crashes" in reply.body:
            self.refused_at_s.append(now_s)

    def _prompt_headers(self, request_id: str) -> dict[str, str]:
        if not self.prompt_parts:
            return {}
        parts = [*self.prompt_parts, request_id.encode().hex()]
        listed = ",".join(f"{part}:{PART_TOKENS}" for part in parts)
        return {"Railfold-Prompt-Prefix": listed}

    def served_share_of_sent(
        self, since_s: float, until_s: float = float("inf")
    ) -> float:
        """Return the share of requests served, out of those sent in an interval."""
        served = [s for sent_at_s, s in self.results if since_s <= sent_at_s < until_s]
        return sum(served) / max(1, len(served))

    def served_share_since(self, since_s: float) -> float:
        """Return the share of requests served, out of those that ended since then."""
        served = sum(1 for at_s in self.served_at_s if at_s >= since_s)
        failed = sum(1 for at_s in self.failed_at_s if at_s >= since_s)
        return served / max(1, served + failed)


def _unix_time_ms() -> int:
    return time.time_ns() // 1_000_000


async def _within(reply: Awaitable[Reply], timeout_s: float) -> Reply:
    async with asyncio.timeout(timeout_s):
        return await reply


@dataclass(repr=False)
class CrashOutcome:
    """The result of a run with a poison request and other clients.

    :param finished_at_s: when the run ended.
    """

    fleet: CrashingFleet
    poison_sender: RequestSender
    other_senders: list[RequestSender]
    finished_at_s: float

    def late_sends(self, after_s: float) -> int:
        """Return how many poison requests arrived late.

        :param after_s: how long after the third crash a request counts as late.
        """
        crash_times_s = sorted(self.fleet.crash_times_s)
        if len(crash_times_s) < 3:
            return 0
        since_s = crash_times_s[2] + after_s
        return sum(1 for at_s in self.fleet.arrivals_s("poison") if at_s > since_s)

    def other_served_share(self, window_s: float) -> float:
        """Return the average served share of other senders in the last ``window_s``."""
        shares = [
            s.served_share_since(self.finished_at_s - window_s)
            for s in self.other_senders
        ]
        return sum(shares) / len(shares)

    def late_crashes(self, after_s: float) -> int:
        """Return how many servers crashed late.

        :param after_s: how long after the third crash another one counts as late.
        """
        crash_times_s = sorted(self.fleet.crash_times_s)
        return sum(1 for at_s in crash_times_s[3:] if at_s > crash_times_s[2] + after_s)


async def run_poison_requests(
    deployment: Deployment, path: str, duration_s: float, *, others: int = 4
) -> CrashOutcome:
    """Send a poison request repeatedly, beside clients of innocent ones.

    :param others: the number of clients that send innocent requests.
    """
    await until(lambda: all(entry.recognizes_requests for entry in deployment.entries))
    fleet = CrashingFleet(deployment)
    fleet.enable_crashes()
    rng = random.Random(1)
    poison = RequestSender(deployment, path, rng)
    other_senders = [RequestSender(deployment, path, rng) for _ in range(others)]
    try:
        await asyncio.gather(
            poison.send_repeatedly(POISON_BODY, duration_s),
            *(
                s.send_distinct(f"c{n}", duration_s)
                for n, s in enumerate(other_senders)
            ),
        )
    finally:
        await fleet.stop()
    finished_at_s = asyncio.get_running_loop().time()
    return CrashOutcome(fleet, poison, other_senders, finished_at_s)


async def run_poison_beside_popular(
    deployment: Deployment,
    path: str,
    duration_s: float,
    *,
    same_id: bool,
    poison_delay_s: float,
) -> CrashOutcome:
    """Send a poison request repeatedly beside a popular innocent one and one-off ones.

    :param same_id: whether crashed servers restart under the same ID.
    :param poison_delay_s: how much later than the others the poison client starts.
    :return: the outcome, whose first other sender is the popular one.
    """
    fleet = CrashingFleet(deployment, same_id=same_id)
    fleet.enable_crashes()
    for server in fleet.servers:
        server.crash_after_s = 0.05
        server.event_interval_s = 0.01 if server.model else 0.1
    await until(lambda: all(map(deployment.all_known, deployment.entries)))
    rng = random.Random(1)
    poison, popular, one_off = (
        RequestSender(deployment, path, rng, event_count=30) for _ in range(3)
    )

    async def resend_poison() -> None:
        await asyncio.sleep(poison_delay_s)
        await poison.resend_after_each_answer(POISON_BODY, duration_s - poison_delay_s)

    try:
        await asyncio.gather(
            resend_poison(),
            popular.send_periodically("popular", b"the same for all", duration_s),
            one_off.send_periodically("single", None, duration_s),
        )
    finally:
        await fleet.stop()
    finished_at_s = asyncio.get_running_loop().time()
    return CrashOutcome(fleet, poison, [popular, one_off], finished_at_s)


@dataclass(repr=False)
class PromptPartOutcome:
    """The result of a run with requests that share a crashing prompt part.

    :param began_at_s: when the first sound request was sent.
    :param ended_at_s: when the last request was sent.
    """

    fleet: CrashingFleet
    poison_sender: RequestSender
    sound_sender: RequestSender
    began_at_s: float
    ended_at_s: float

    @property
    def _recognized_at_s(self) -> float:
        """The time of the last crash that may pass before the part is known."""
        return sorted(self.fleet.crash_times_s)[:RECOGNIZING_CRASH][-1]

    def late_arrivals(self, after_s: float) -> int:
        """Return how many attempts with the crashing part reached servers late.

        :param after_s: how long after the fifth crash an arrival counts as late.
        """
        since_s = self._recognized_at_s + after_s
        return sum(1 for at_s in self.fleet.arrivals_s("poison") if at_s > since_s)

    @property
    def sound_share_before(self) -> float:
        """The share of sound requests served before the first crash."""
        until_s = self.began_at_s + UNDISTURBED_S
        return self.sound_sender.served_share_of_sent(self.began_at_s, until_s)

    @property
    def sound_share_after(self) -> float:
        """The share of sound requests served some seconds after the fifth crash."""
        recovered_at_s = self._recognized_at_s + RECOVERY_S
        since_s = min(recovered_at_s, self.ended_at_s - MIN_WINDOW_S)
        return self.sound_sender.served_share_of_sent(since_s)


async def run_poison_prompt_part(
    deployment: Deployment,
    path: str,
    duration_s: float,
    *,
    first: bool = False,
    workspaces: int = 1,
) -> PromptPartOutcome:
    """Send requests that share a crashing prompt part beside sound ones.

    Bodies and last parts differ each time. Sound requests have the same caller and the
    same other parts.

    :param first: whether the crashing part is the first of the prompt instead of the
        second of three.
    :param workspaces: the number of workspaces that send requests with that part.
    """
    keys = await _add_workspaces(deployment, workspaces)
    fleet = CrashingFleet(deployment, same_id=True, crash_prompt_part=POISON_PART)
    fleet.enable_crashes()
    await until(lambda: all(map(deployment.all_known, deployment.entries)))
    await until(lambda: all(entry.recognizes_requests for entry in deployment.entries))
    shared = [POISON_PART, SOUND_PART] if first else [SOUND_PART, POISON_PART]
    rng = random.Random(1)
    poison = RequestSender(deployment, path, rng, keys=keys, prompt_parts=shared)
    sound = RequestSender(deployment, path, rng, prompt_parts=[SOUND_PART])
    began_at_s = asyncio.get_running_loop().time()

    async def send_poison() -> None:
        await asyncio.sleep(CALM_S)
        await poison.send_periodically(
            "poison", None, duration_s - CALM_S, POISON_PART_INTERVAL_S
        )

    try:
        await asyncio.gather(
            send_poison(),
            sound.send_periodically("sound", None, duration_s, SOUND_INTERVAL_S),
        )
    finally:
        await fleet.stop()
    ended_at_s = max(sent_at_s for sent_at_s, _ in sound.results)
    return PromptPartOutcome(fleet, poison, sound, began_at_s, ended_at_s)


async def _add_workspaces(deployment: Deployment, count: int) -> list[str]:
    """Configure a number of workspaces, and return their credentials."""
    keys = [KEY, *(f"{KEY}-{number}" for number in range(2, count + 1))]
    if count > 1:
        tenants = [
            {"name": f"quality-{number}", "api_keys": [key], "priority": 1}
            for number, key in enumerate(keys, 1)
        ]
        config = configuration(2, tenants=tenants)
        deployment.store.put("keyed.op", "config", config)
        routers = [entry.router for entry in deployment.entries]
        await until(lambda: all(r.table and r.table.version == 2 for r in routers))
    return keys
