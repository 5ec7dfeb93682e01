"""How much may cross between failure domains, and what a crossing costs.

Answers chains that pass activations over pipes which all requests share: a prompt
that crosses takes the pipe for a good part of an objective, so that a few tens of
them a second fill it, and each one more delays all others. Each entry has an even
part of what a pair of domains may carry, and takes less of it once crossings arrive
later than the pipe explains, since pipes slow down.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["DomainPipes"]

# The share of a pipe that crossings are reckoned to take at most: transfers arrive by
# chance, and wait twice as long as they take at this utilization.
_MAX_UTILIZATION = 0.5

# How much a part may be used ahead of time: crossings come in bunches.
_BURST_S = 1.0

# A part is cut to this share when a crossing comes late, at most once in so long, and
# grows by so much with each one that comes in time: a pipe may be slower than it is
# told to be, or carry as much again in the other direction.
_REDUCTION_FACTOR = 0.5
_REDUCTION_INTERVAL_S = 0.5
_SHARE_INCREMENT = 0.05
_MIN_SHARE = 0.05
_MAX_SHARE = 2.0

# What a crossing costs whatever its pipe carries: it takes the pipe from others.
_CROSSING_COST = 0.25

# First events later than predicted by more than this share of the objective, over a
# crossing chain, count against its pipes.
_LATE_OBJECTIVE_SHARE = 0.33


@dataclass(slots=True)
class _Pipe:
    """One entry's part of a pipe.

    :param share: of its part that it uses.
    :param credit_s: seconds of its part that it may use now; below zero if it has used
        some ahead of time.
    """

    quota_share: float = 1.0
    credit_s: float = _BURST_S
    updated_at_s: float = -math.inf
    reduced_at_s: float = -math.inf


class DomainPipes:
    """One entry's crossings between failure domains.

    Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._pipes: dict[tuple[str, str], _Pipe] = {}

    def crossing_cost(
        self,
        domain: str,
        other_domain: str,
        model: EngineModel,
        needs: RequestNeeds,
        now_s: float,
    ) -> float:
        """Return the cost of a crossing; infinite if the pipe has no room for it.

        By the share of the objectives that it uses up, and the share of the part of
        the pipe that is gone.
        """
        if not model.pipe_bytes_per_s:
            return math.inf
        pipe = self._pipe(domain, other_domain, now_s)
        if pipe.credit_s <= 0.0:
            return math.inf
        delay_s = model.domain_delays_s.get((domain, other_domain), 0.0)
        token_s = model.activation_bytes / model.pipe_bytes_per_s
        prompt_transfer_s = needs.prompt_tokens * token_s / (1.0 - _MAX_UTILIZATION)
        pause_s = model.tokens_per_event * (delay_s + token_s)
        objective_share = (prompt_transfer_s + pause_s) / needs.objective_s
        objective_share += pause_s / needs.allowed_pause_s
        return _CROSSING_COST + objective_share + 1.0 - pipe.credit_s / _BURST_S

    def record_crossing(
        self,
        domain: str,
        other_domain: str,
        model: EngineModel,
        needs: RequestNeeds,
        entries: int,
        now_s: float,
    ) -> None:
        """Count a request that will cross."""
        if not model.pipe_bytes_per_s:
            return
        pipe = self._pipe(domain, other_domain, now_s)
        sent_bytes = needs.total_tokens * model.activation_bytes
        quota_bytes_per_s = model.pipe_bytes_per_s * _MAX_UTILIZATION / max(1, entries)
        pipe.credit_s -= sent_bytes / quota_bytes_per_s

    def record_first_event(
        self,
        domain: str,
        other_domain: str,
        late_s: float,
        objective_s: float,
        now_s: float,
    ) -> bool:
        """Take how late a first event came that crossed; return if that cuts the part.

        :param late_s: compared with the prediction.
        """
        pipe = self._pipe(domain, other_domain, now_s)
        if late_s <= _LATE_OBJECTIVE_SHARE * objective_s:
            pipe.quota_share = min(_MAX_SHARE, pipe.quota_share + _SHARE_INCREMENT)
            return False
        if now_s - pipe.reduced_at_s < _REDUCTION_INTERVAL_S:
            return False
        pipe.reduced_at_s = now_s
        pipe.quota_share = max(_MIN_SHARE, _REDUCTION_FACTOR * pipe.quota_share)
        return True

    def quota_share(self, domain: str, other_domain: str) -> float:
        """Return which share of its part of a pipe the entry uses."""
        pipe = self._pipes.get(_pipe_key(domain, other_domain))
        return pipe.quota_share if pipe is not None else 1.0

    def _pipe(self, domain: str, other_domain: str, now_s: float) -> _Pipe:
        pipe = self._pipes.setdefault(
            _pipe_key(domain, other_domain), _Pipe(updated_at_s=now_s)
        )
        elapsed_s = max(0.0, now_s - pipe.updated_at_s)
        pipe.updated_at_s = now_s
        pipe.credit_s = min(_BURST_S, pipe.credit_s + pipe.quota_share * elapsed_s)
        return pipe


def _pipe_key(domain: str, other_domain: str) -> tuple[str, str]:
    return (domain, other_domain) if domain <= other_domain else (other_domain, domain)
