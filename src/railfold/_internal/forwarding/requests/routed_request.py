"""A client's request with its route and the owner of its credential."""

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
    """A client's request, its route and the owner of its credential.

    :param owner: nothing if the route needs no credential.
    :param configuration_version: the configuration under which it was admitted.
    :param on_trial: whether the request is quarantined and was let through as a trial,
        to find out if it crashes backend servers.
    """

    request: ClientRequest
    route: Route
    owner: CredentialOwner | None
    configuration_version: int
    on_trial: bool = False

    @property
    def request_id(self) -> str:
        """The request id that the client chose."""
        return self.request.request_id

    @property
    def priority(self) -> int:
        """The priority of its workspace, or else of its route; 0 is the highest."""
        if self.owner is not None and self.owner.priority is not None:
            return self.owner.priority
        return self.route.priority

    @property
    def admission_rank(self) -> int:
        """The rank by which it is admitted when capacity is short, 0 first."""
        priority = self.owner.priority if self.owner is not None else None
        return admission_rank(self.route, priority)

    @property
    def workspace(self) -> str:
        """The workspace that owns the credential; empty if there is none."""
        return self.owner.workspace if self.owner is not None else ""

    @property
    def deadline_s(self) -> float:
        """Loop time by which the client must have its final answer."""
        deadline_s = self.request.received_s + self.route.timeout_s
        if self.request.deadline_s is not None:
            deadline_s = min(deadline_s, self.request.deadline_s)
        return deadline_s
