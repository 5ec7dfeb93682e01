"""Destination of one attempt of a request."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import Chain, Stage
from railfold._internal.decisions.chain_prediction import ChainPrediction

__all__ = ["Destination"]


@dataclass(frozen=True, slots=True)
class Destination:
    """A backend server, or a chain of them that begins at ``server``.

    :param max_wait_s: how long the request may wait for a permit, if one of the
        servers has a rate limit.
    :param prediction: predicted latency of the request on the chain, if the chain was
        chosen by prediction.
    :param crossings: how often the chain crosses from one failure domain to another.
    """

    service: str
    server: Stage
    chain: Chain | None
    max_wait_s: float = 0.0
    prediction: ChainPrediction | None = None
    crossings: int = 0

    @property
    def server_ids(self) -> tuple[str, ...]:
        """Ids of all backend servers that would run the request."""
        return self.chain.hosts if self.chain else (self.server.host,)
