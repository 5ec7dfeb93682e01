"""How often agents send heartbeats, and when a token is overdue."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HeartbeatPace", "OverdueTimer"]


@dataclass(frozen=True, slots=True)
class HeartbeatPace:
    """Spreads an entry's budget for control traffic over its agents.

    An idle agent sends heartbeats at this interval. An agent with work needs
    none to be found dead: its link breaks, or a token is overdue and it fails
    to answer a probe.

    :param budget_bytes_per_s: what heartbeats may cost this entry.
    :param heartbeat_bytes: one heartbeat and the probe that renews the entry's
        lease: 247 bytes of payload, and 52 bytes of headers for each
        of four packets.
    """

    budget_bytes_per_s: float = 5600.0
    heartbeat_bytes: float = 455.0
    min_interval_s: float = 0.5
    max_interval_s: float = 60.0

    def interval_s(self, agents: int) -> float:
        """Return the interval for each of ``agents``, in seconds."""
        budget_interval_s = agents * self.heartbeat_bytes / self.budget_bytes_per_s
        return min(self.max_interval_s, max(self.min_interval_s, budget_interval_s))


@dataclass(slots=True)
class OverdueTimer:
    """Tells when the next token of one sequence is overdue.

    The limit follows the sequence's own recent gaps between tokens, so that a
    slow chain isn't taken for a frozen one.

    :param factor: how many recent gaps may pass.
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
        """An attempt was opened."""
        self._last_token_s = None
        self._opened_s = now_s

    def token(self, now_s: float) -> bool:
        """A token arrived; return whether the next one is due sooner than before.

        That is so at an attempt's first token: until then the limit is the one
        for first tokens.
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
        """All stages answered a probe: wait twice as long for the next."""
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
