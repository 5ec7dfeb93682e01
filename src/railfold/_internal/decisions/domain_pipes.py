"""Quotas and costs of traffic between failure domains.

Chains over several failure domains send activations over pipes, the network links
between two domains, which all requests share. The prompt of a request occupies a pipe
for a considerable share of the objective, so a few tens of crossing requests a second
saturate it, and each further one delays all others. Each entry therefore has an equal
quota of each pipe, and uses less of it if first events arrive later than predicted,
since pipes may be slower than configured.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["DomainPipes"]

# The share of a pipe's rate that all quotas together allow. Transfers arrive at random,
# and at this utilization each takes twice as long, with the wait for others.
_MAX_UTILIZATION = 0.5

# Seconds of a quota that may be used at once, since crossings arrive in bursts.
_BURST_S = 1.0

# The used share of a quota is multiplied by the factor after a late first event, at
# most once in the interval, and grows by the increment with each one in time. A pipe
# may be slower than configured, or carry the same rate again in the other direction, so
# the share may also exceed 1.
_REDUCTION_FACTOR = 0.5
_REDUCTION_INTERVAL_S = 0.5
_SHARE_INCREMENT = 0.05
_MIN_SHARE = 0.05
_MAX_SHARE = 2.0

# Fixed cost of a crossing even over an idle pipe, since it takes capacity from others.
_CROSSING_COST = 0.25

# A first event over a crossing chain is late for its pipes if it exceeds the prediction
# by more than this share of the objective.
_LATE_OBJECTIVE_SHARE = 0.33


@dataclass(slots=True)
class _Pipe:
    """One entry's quota of a pipe.

    :param quota_share: the share of the quota that the entry uses.
    :param credit_s: how many seconds of the quota may be used now; negative after a
        burst, until it has refilled.
    :param updated_at_s: when the credit was last refilled.
    :param reduced_at_s: when the share was last reduced.
    """

    quota_share: float = 1.0
    credit_s: float = _BURST_S
    updated_at_s: float = -math.inf
    reduced_at_s: float = -math.inf


class DomainPipes:
    """Quotas of one entry on the pipes between failure domains.

    All times are on the monotonic clock. Both directions of a pair of domains share one
    quota.
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
        """Return the cost of a crossing, infinite if the quota is used up.

        The cost adds up the shares of the objective and of the allowed pause that the
        crossing takes, the used share of the credit, and a fixed cost.
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
        """Charge a request that will cross to the quota.

        :param entries: how many entries share the pipe.
        """
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
        """Adapt the used share to a first event over a crossing chain.

        :param late_s: how much later than predicted it arrived.
        :returns: whether the share was reduced.
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
        """Return the share of its quota of a pipe that the entry uses."""
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
