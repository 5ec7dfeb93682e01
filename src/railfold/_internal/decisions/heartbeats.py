"""Compute the heartbeat interval of agents, and when a token is overdue."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HeartbeatPace", "OverdueTimer"]


@dataclass(frozen=True, slots=True)
class HeartbeatPace:
    """Shares an entry's traffic budget for heartbeats among its agents.

    An idle agent sends heartbeats at the resulting interval. The failure of an agent
    with work is detected without heartbeats: its link breaks, or a token is overdue
    and the agent doesn't answer a probe.

    :param budget_bytes_per_s: how much traffic heartbeats may cause at this entry.
    :param heartbeat_bytes: size of one heartbeat and of the probe that renews the
        agent's lease: 247 bytes of payload, and 52 bytes of headers for each of four
        packets.
    """

    budget_bytes_per_s: float = 5600.0
    heartbeat_bytes: float = 455.0
    min_interval_s: float = 0.5
    max_interval_s: float = 60.0

    def interval_s(self, agents: int) -> float:
        """Return the heartbeat interval for this number of agents, in seconds."""
        budget_interval_s = agents * self.heartbeat_bytes / self.budget_bytes_per_s
        return min(self.max_interval_s, max(self.min_interval_s, budget_interval_s))


@dataclass(slots=True)
class OverdueTimer:
    """Computes when the next token of one sequence is overdue.

    The limit follows the recent gaps between the sequence's tokens, so that a slow
    chain isn't mistaken for one that hangs.

    :param factor: limit for the next token, as a multiple of the mean recent gap.
    :param floor_s: lower bound of that limit.
    :param first_token_s: limit for the first token of an attempt.
    """

    factor: float = 8.0
    floor_s: float = 0.25
    first_token_s: float = 2.0
    _mean_gap_s: float | None = None
    _last_token_s: float | None = None
    _probe_backoff: float = 1.0
    _opened_s: float = 0.0

    def opened(self, now_s: float) -> None:
        """Record that an attempt was opened."""
        self._last_token_s = None
        self._opened_s = now_s

    def token(self, now_s: float) -> bool:
        """Record a token; return whether the limit became shorter.

        It does at the first token of an attempt, which ends the longer limit for
        first tokens.
        """
        is_first = self._last_token_s is None
        if self._last_token_s is not None:
            gap_s = now_s - self._last_token_s
            mean_s = self._mean_gap_s
            self._mean_gap_s = gap_s if mean_s is None else 0.8 * mean_s + 0.2 * gap_s
        self._last_token_s = now_s
        self._probe_backoff = 1.0
        return is_first

    def probed(self, now_s: float) -> None:
        """Record that all stages answered a probe; this doubles the limit."""
        self._probe_backoff *= 2.0
        if self._last_token_s is None:
            self._opened_s = now_s

    def due_s(self) -> float:
        """Return the loop time at which the next token is overdue."""
        if self._last_token_s is None:
            return self._opened_s + self.first_token_s * self._probe_backoff
        gap_s = self._mean_gap_s or 0.0
        return (
            self._last_token_s
            + max(self.floor_s, gap_s * self.factor) * self._probe_backoff
        )
