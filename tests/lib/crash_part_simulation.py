"""Simulates requests that share a prompt part which crashes every server.

No two requests have the same content. The prompt of a request with the crashing part
also has parts of sound requests, which are sent by the same callers at all entries.
"""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.decisions.quarantine import RequestContent
from tests.lib.crash_simulation import Client, Scenario, Simulation

# When the first request with the crashing part is sent: others have succeeded by then.
FIRST_CRASHING_REQUEST_S = 2.0

# The budget begins, and the recovery has ended, this long after the fifth crash.
CRASHES_BEFORE_BUDGET = 5
BUDGET_DELAY_S = 3.0
RECOVERY_S = 6.0

# The probability that the client of a request with the crashing part sends it again.
RESEND_PROBABILITY = 0.3


@dataclass(frozen=True)
class PartScenario(Scenario):
    """The parameters of a simulation with a crashing prompt part.

    :param recognizes_parts: whether the entries recognize prompt parts at all.
    :param bad_is_first: whether the crashing part is the first one, rather than one in
        the middle, after a part that sound requests begin with.
    :param companion_parts: the number of other parts that only requests with the
        crashing part have, in each of them.
    :param sound_companions: whether some sound requests have one of these parts.
    :param repeated_share: the share of requests, sound or not, that repeat a content.
    :param crashing_requests_per_s: the rate of requests with the crashing part.
    :param sound_requests_per_s: the rate of sound requests.
    :param popular_parts: the number of parts in the middle of sound prompts.
    :param rare_parts: the number of further parts, each of which few requests have.
    """

    recognizes_parts: bool = True
    bad_is_first: bool = False
    companion_parts: int = 0
    sound_companions: bool = False
    repeated_share: float = 0.0
    crashing_requests_per_s: float = 3.0
    sound_requests_per_s: float = 20.0
    popular_parts: int = 2
    rare_parts: int = 30


@dataclass
class SingleRequestClient(Client):
    """The client of a content that is sent once, or again after a failure."""

    first_sent_s: float = 0.0

    @property
    def served_at_first_attempt(self) -> bool:
        """Whether the first attempt ran, and completed."""
        return self.served == 1 and len(self.reached_servers_at_s) == 1


@dataclass
class PartOutcome:
    """What a simulation led to.

    :param late_requests: requests with the crashing part that reached servers later
        than 3 s after the fifth crash.
    :param share_before: the share of sound requests that were served at the first
        attempt before the first request with the crashing part.
    :param share_after: the same from 6 s after the fifth crash; ``None`` if there were
        no five crashes, or no sound requests afterwards.
    """

    crashes: int
    late_requests: int
    share_before: float
    share_after: float | None


class PartSimulation(Simulation):
    """The simulation of one scenario with a crashing prompt part."""

    scenario: PartScenario

    def __init__(self, scenario: PartScenario) -> None:
        super().__init__(scenario)
        self.crashing_part_clients: list[SingleRequestClient] = []
        self.sound_clients: list[SingleRequestClient] = []

    def run(self) -> PartSimulation:
        """Run the scenario to its end; return the simulation."""
        self._schedule(FIRST_CRASHING_REQUEST_S, self._send_crashing)
        self._schedule(0.0, self._send_sound)
        super().run()
        return self

    def _send_crashing(self) -> None:
        scenario = self.scenario
        companions = [f"companion-{n}" for n in range(scenario.companion_parts)]
        names = ["bad", *companions, self._middle_part()]
        if not scenario.bad_is_first:
            names.insert(0, "first")
        client = self._new_single_client("bad-content", names, crashes_servers=True)
        client.resends = self.rng.random() < RESEND_PROBABILITY
        self.crashing_part_clients.append(client)
        self._send(client)
        rate_per_s = scenario.crashing_requests_per_s
        self._schedule(self.rng.expovariate(rate_per_s), self._send_crashing)

    def _send_sound(self) -> None:
        names = ["first", self._middle_part()]
        if self.scenario.sound_companions and self.rng.random() < 0.05:
            names[1] = "companion-0"
        client = self._new_single_client("sound-content", names, crashes_servers=False)
        self.sound_clients.append(client)
        self._send(client)
        rate_per_s = self.scenario.sound_requests_per_s
        self._schedule(self.rng.expovariate(rate_per_s), self._send_sound)

    def _middle_part(self) -> str:
        scenario = self.scenario
        if scenario.rare_parts and self.rng.random() < 0.3:
            return f"rare-{self.rng.randrange(scenario.rare_parts)}"
        return f"popular-{self.rng.randrange(scenario.popular_parts)}"

    def _new_single_client(
        self, name: str, part_names: list[str], *, crashes_servers: bool
    ) -> SingleRequestClient:
        parts = tuple(
            RequestContent(n, "llm", "draft", "", is_prompt_part=True)
            for n in part_names
        )
        if self.rng.random() < self.scenario.repeated_share:
            name += "-".join(("repeated", *part_names))
        else:
            name += f"-{next(self._sequence)}"
        return SingleRequestClient(
            RequestContent(name, "llm", "draft", "quality"),
            crashes_servers,
            parts if self.scenario.recognizes_parts else (),
            first_sent_s=self.now_s,
        )

    def outcome(self) -> PartOutcome:
        """Return what the simulation led to."""
        crash_times_s = sorted(
            at_s for c in self.crashing_part_clients for at_s in c.crashes_at_s
        )
        before = [
            c for c in self.sound_clients if c.first_sent_s < FIRST_CRASHING_REQUEST_S
        ]
        share_before = _share_at_first_attempt(before) or 0.0
        if len(crash_times_s) < CRASHES_BEFORE_BUDGET:
            return PartOutcome(len(crash_times_s), 0, share_before, None)
        fifth_crash_s = crash_times_s[CRASHES_BEFORE_BUDGET - 1]
        late_requests = sum(
            at_s > fifth_crash_s + BUDGET_DELAY_S
            for c in self.crashing_part_clients
            for at_s in c.reached_servers_at_s
        )
        end_s = self.scenario.duration_s - 2.0 * self.scenario.run_s
        end_s -= self.scenario.max_queue_s
        after = [
            c
            for c in self.sound_clients
            if fifth_crash_s + RECOVERY_S < c.first_sent_s < end_s
        ]
        return PartOutcome(
            len(crash_times_s),
            late_requests,
            share_before,
            _share_at_first_attempt(after),
        )


def _share_at_first_attempt(clients: list[SingleRequestClient]) -> float | None:
    if not clients:
        return None
    return sum(c.served_at_first_attempt for c in clients) / len(clients)


class PromptsSimulation(Simulation):
    """The simulation of repeated contents whose prompts have a common first part.

    Each content has another part that no other content has.
    """

    def _new_client(self, name: str, *, crashes_servers: bool = False) -> Client:
        client = super()._new_client(name, crashes_servers=crashes_servers)
        client.prompt_parts = tuple(
            RequestContent(part, "llm", "draft", "", is_prompt_part=True)
            for part in ("first", f"part-{name}")
        )
        return client
