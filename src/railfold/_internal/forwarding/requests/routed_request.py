"""A client's request with what its configuration says of it."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.decisions.routing_table import (
    CredentialOwner,
    Route,
    admission_rank,
)
from railfold._internal.forwarding.messages import ClientRequest

__all__ = ["RoutedRequest"]


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request, the route that it takes, and whose credential it holds.

    :param owner: nothing where no credential is needed.
    :param configuration_version: the version that it was admitted under.
    :param on_trial: whether it was let through to see whether it ends its servers.
    """

    request: ClientRequest
    route: Route
    owner: CredentialOwner | None
    configuration_version: int
    on_trial: bool = False

    @property
    def request_id(self) -> str:
        """The client's id of the request."""
        return self.request.request_id

    @property
    def priority(self) -> int:
        """Its rank, 0 first: its workspace's, if that has one, else its route's."""
        if self.owner is not None and self.owner.priority is not None:
            return self.owner.priority
        return self.route.priority

    @property
    def admission_rank(self) -> int:
        """Its place in the order in which requests get scarce room."""
        priority = self.owner.priority if self.owner is not None else None
        return admission_rank(self.route, priority)

    @property
    def workspace(self) -> str:
        """The workspace that it belongs to; empty if none is known."""
        return self.owner.workspace if self.owner is not None else ""

    @property
    def deadline_s(self) -> float:
        """Loop time at which it gets its final answer at the latest."""
        deadline_s = self.request.received_s + self.route.timeout_s
        if self.request.deadline_s is not None:
            deadline_s = min(deadline_s, self.request.deadline_s)
        return deadline_s
