"""Backend servers that register themselves, as one entry knows them.

Sources, in order of authority: what the backend server itself registered
(serving or draining, the layers it holds), and what this entry has seen of it.
A backend server that resets or doesn't answer is suspect, and gets no new work
until a probe finds it well. Entries that lapse while the store is away say
nothing about their backend servers: after an outage a removal counts only when
the grace time has passed without a new registration.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from railfold._internal.core import LayerRange, Stage
from railfold._internal.decisions.planner import Replica
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["DirectoryEntry", "EngineDirectory", "Registration"]

# A backend server that lives has registered again about 2 s after the store is
# back (the platform's word); the rest is for reading it.
_RETURN_GRACE_S = 2.3


@dataclass(frozen=True, slots=True)
class Registration:
    """What a backend server registered of itself.

    :param server_id: names one incarnation of the backend server.
    :param address: ``ip:port``.
    :param slots: how many requests it works on at a time.
    :param model: name of the model that ``layers`` are of.
    :param layers: the layers it holds, if it is a model engine that holds any.
    :param accelerator: kind of its accelerator, if it is a model engine.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    model: str = ""
    layers: LayerRange | None = None
    accelerator: str = ""

    @property
    def is_model_engine(self) -> bool:
        """Whether it runs a model's layers; else it is a plain service."""
        return bool(self.accelerator)


@dataclass(slots=True, eq=False)
class DirectoryEntry:
    """A backend server as this entry knows it; compared by identity.

    :param own_load: this entry's own requests there; of a model engine, the
        tokens that they may grow to.
    :param removal_due_s: when a removal that was read counts, if one was.
    :param slowness: how many times longer than usual its steps take, as it last told.
    """

    registration: Registration
    own_load: int = 0
    slowness: float = 1.0
    suspect_since_s: float | None = None
    removal_due_s: float | None = None

    @property
    def server_id(self) -> str:
        """The backend server's id."""
        return self.registration.server_id

    @property
    def routable(self) -> bool:
        """Whether new work may go there."""
        return self.suspect_since_s is None and not self.registration.draining


class EngineDirectory:
    """All registered backend servers."""

    def __init__(self) -> None:
        self._entries: dict[str, DirectoryEntry] = {}
        self._returned_s: float | None = None

    def __iter__(self) -> Iterator[DirectoryEntry]:
        return iter(self._entries.values())

    def get(self, server_id: str) -> DirectoryEntry | None:
        """Return a backend server's entry."""
        return self._entries.get(server_id)

    def at(self, address: str) -> DirectoryEntry | None:
        """Return the backend server that is registered at an address."""
        entries = self._entries.values()
        return next((e for e in entries if e.registration.address == address), None)

    def store_returned(self, now_s: float) -> None:
        """The store answers again after an outage."""
        self._returned_s = now_s

    def register(self, registration: Registration) -> DirectoryEntry:
        """Take a registration, new or renewed.

        A new incarnation at an address ends the one that was there: a probe of
        the address would find the dead one well.
        """
        entry = self._entries.get(registration.server_id)
        if entry is None:
            predecessor = self.at(registration.address)
            if predecessor is not None:
                del self._entries[predecessor.server_id]
            entry = DirectoryEntry(registration)
            self._entries[registration.server_id] = entry
        entry.registration = registration
        entry.removal_due_s = None
        return entry

    def remove(self, server_id: str, now_s: float) -> None:
        """Take the removal of a registration."""
        entry = self._entries.get(server_id)
        if entry is None:
            return
        due_s = now_s
        if self._returned_s is not None:
            due_s = max(now_s, self._returned_s + _RETURN_GRACE_S)
        if due_s <= now_s:
            del self._entries[server_id]
        elif entry.removal_due_s is None:
            entry.removal_due_s = due_s

    def expire(self, now_s: float) -> list[str]:
        """Drop entries whose removal has come to count; return their ids."""
        due = [
            entry.server_id
            for entry in self._entries.values()
            if entry.removal_due_s is not None and entry.removal_due_s <= now_s
        ]
        for server_id in due:
            del self._entries[server_id]
        return due

    def suspect(self, server_id: str, now_s: float) -> bool:
        """Give it no new work; return whether it got any before."""
        entry = self._entries.get(server_id)
        if entry is None or entry.suspect_since_s is not None:
            return False
        entry.suspect_since_s = now_s
        return True

    def cleared(self, server_id: str) -> None:
        """A probe found it well."""
        entry = self._entries.get(server_id)
        if entry is not None:
            entry.suspect_since_s = None

    def of_service(self, service: str) -> list[DirectoryEntry]:
        """Return a service's backend servers."""
        return [e for e in self._entries.values() if e.registration.service == service]

    def replicas(self, service: str, region: str) -> list[Replica]:
        """Return a plain service's backend servers that may get new work."""
        return [
            Replica(
                Stage(e.server_id, e.registration.address, 0, LayerRange(0, 0)),
                e.registration.failure_domain,
                region,
                in_flight=e.own_load,
                capacity=max(1, e.registration.slots),
                step_ms=1.0,
            )
            for e in self.of_service(service)
            if e.routable
        ]

    def layer_replicas(
        self, service: str, model: EngineModel, region: str, entries: int
    ) -> list[Replica]:
        """Return a model's backend servers that hold layers and may get work.

        Their load and capacity are counted in tokens: memory for the state of
        requests is what runs out first.

        :param entries: how many entries there are.
        """
        found = []
        for entry in self.of_service(service):
            registration = entry.registration
            layers = registration.layers
            accelerator = model.accelerators.get(registration.accelerator)
            if not entry.routable or layers is None or accelerator is None:
                continue
            if registration.model != model.name:
                continue
            capacity = max(1, model.state_tokens(accelerator, len(layers)))
            found.append(
                Replica(
                    Stage(entry.server_id, registration.address, 0, layers),
                    registration.failure_domain,
                    region,
                    in_flight=_reckoned_load(entry.own_load, entries, capacity),
                    capacity=capacity,
                    step_ms=accelerator.step_factor * len(layers) * entry.slowness,
                )
            )
        return found


def _reckoned_load(own: int, entries: int, capacity: int) -> int:
    """Return the load of all entries, reckoned from one entry's own.

    Entries take about like shares of all requests, which is good enough to
    choose by. Only one's own load makes a backend server full: whether others'
    does is known better there, and it refuses.
    """
    if own >= capacity:
        return own
    return min(own * entries, capacity - 1)
