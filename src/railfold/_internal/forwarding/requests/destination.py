"""Where an attempt of a request may go."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import Chain, Stage
from railfold._internal.decisions.chain_prediction import ChainPrediction

__all__ = ["Destination"]


@dataclass(frozen=True, slots=True)
class Destination:
    """A backend server, or a chain of them that begins at ``server``.

    :param max_wait_s: how long the request may wait there for a permit of a rate
        limited server.
    :param prediction: what the request gets on the chain, where that was predicted.
    :param crossings: how often the chain goes from one failure domain to another.
    """

    service: str
    server: Stage
    chain: Chain | None
    max_wait_s: float = 0.0
    prediction: ChainPrediction | None = None
    crossings: int = 0

    @property
    def server_ids(self) -> tuple[str, ...]:
        """All backend servers that would work on the request."""
        return self.chain.hosts if self.chain else (self.server.host,)
