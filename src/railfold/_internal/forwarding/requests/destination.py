"""Where an attempt of a request may go."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import Chain, Stage

__all__ = ["Destination"]


@dataclass(frozen=True, slots=True)
class Destination:
    """A backend server, or a chain of them that begins at ``server``.

    :param max_wait_s: how long the request may wait there for a permit of a rate
        limited server.
    """

    service: str
    server: Stage
    chain: Chain | None
    max_wait_s: float = 0.0

    @property
    def server_ids(self) -> tuple[str, ...]:
        """All backend servers that would work on the request."""
        return self.chain.hosts if self.chain else (self.server.host,)
