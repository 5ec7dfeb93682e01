"""Backend servers that register themselves, as one entry knows them.

Sources, in order of authority: what the backend server itself registered
(serving or draining, the layers it holds), and what this entry has seen of it.
A backend server that resets or doesn't answer is suspect, and gets no new work
until a probe finds it well. Entries that lapse while the store is away say
nothing about their backend servers: after an outage a removal counts only when
the grace time has passed without a new registration.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from railfold._internal.core import LayerRange, Stage
from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.decisions.log_epoch import LOG_RECOVERY_S
from railfold._internal.decisions.planner import Replica
from railfold._internal.decisions.routing_table import EngineModel

__all__ = [
    "UNKNOWN_INCARNATION",
    "DirectoryEntry",
    "EngineDirectory",
    "Registration",
    "RegistrationTaken",
]

# Of a service's servers so many may be left out of new work while it isn't known
# whether they left or their registrations lapsed with the store: the others' load rises
# by half at most. Where more are missing, the store has lost them.
_MISSING_SHARE = 1.0 / 3.0

# Stands in a stage for the start of a backend server that doesn't tell it.
UNKNOWN_INCARNATION = 0

# Of so many servers that left the start is kept, so that an older registration that is
# read late doesn't bring one back. Reads under way are some seconds old at most.
_DEPARTED_KEPT = 4096


@dataclass(frozen=True, slots=True)
class Registration:
    """What a backend server registered of itself.

    :param registered_id: the id that it registers under. A restart may keep it.
    :param address: ``ip:port``.
    :param slots: how many requests it works on at a time.
    :param model: name of the model that ``layers`` are of.
    :param layers: the layers it holds, if it is a model engine that holds any.
    :param accelerator: kind of its accelerator, if it is a model engine.
    :param started_at_ms: Unix time of its start, which tells its incarnations apart;
        ``None`` if it doesn't say, and then the id alone names it.
    :param version: of its software and its model, as far as it tells.
    """

    registered_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    model: str = ""
    layers: LayerRange | None = None
    accelerator: str = ""
    started_at_ms: int | None = None
    version: str = ""

    @property
    def server_id(self) -> str:
        """The name of this incarnation, by which all that is known of it is kept."""
        if self.started_at_ms is None:
            return self.registered_id
        return f"{self.registered_id}@{self.started_at_ms}"

    @property
    def is_model_engine(self) -> bool:
        """Whether it runs a model's layers; else it is a plain service."""
        return bool(self.accelerator)


@dataclass(slots=True, eq=False)
class DirectoryEntry:
    """One incarnation of a backend server as this entry knows it.

    Compared by identity.

    :param server_id: names the incarnation.
    :param says_leaving: whether its answers say that it leaves, whatever it registers.
    :param removal_due_s: when a removal that was read counts, if one was.
    :param slowness: how many times longer than usual its steps take, as it last told.
    """

    server_id: str
    registration: Registration
    slowness: float = 1.0
    suspect_since_s: float | None = None
    says_leaving: bool = False
    removal_due_s: float | None = None

    def stage(self, layers: LayerRange) -> Stage:
        """Return it as a stage of a chain."""
        started_at_ms = self.registration.started_at_ms
        incarnation = UNKNOWN_INCARNATION if started_at_ms is None else started_at_ms
        return Stage(self.server_id, self.registration.address, incarnation, layers)

    def is_another(self, started_at_ms: int | None) -> bool:
        """Return whether somebody who started then is surely another incarnation."""
        return _differ(self.registration.started_at_ms, started_at_ms)

    @property
    def draining(self) -> bool:
        """Whether it takes no new work before its end."""
        return self.registration.draining or self.says_leaving

    @property
    def routable(self) -> bool:
        """Whether new work may go there."""
        return self.suspect_since_s is None and not self.draining

    @property
    def missing(self) -> bool:
        """Whether its registration was removed, or lapsed while the store was out."""
        return self.removal_due_s is not None


@dataclass(frozen=True, slots=True)
class RegistrationTaken:
    """What became of a registration.

    :param entry: the incarnation that it tells of; none if it is outdated.
    :param ended: incarnations that surely ended, since another one is in their place.
    """

    entry: DirectoryEntry | None
    ended: tuple[str, ...] = ()


class EngineDirectory:
    """All registered backend servers.

    There is one incarnation of each registered id, and one at each address.
    """

    def __init__(self) -> None:
        self._entries: dict[str, DirectoryEntry] = {}
        self._by_registered_id: dict[str, DirectoryEntry] = {}
        self._by_address: dict[str, DirectoryEntry] = {}
        self._departed_started_at_ms: dict[str, int] = {}
        # Kept beyond their entries: a registration that lapsed may return unchanged.
        self._leaving_ids: OrderedDict[str, None] = OrderedDict()
        self._left_ids: OrderedDict[str, None] = OrderedDict()
        self._returned_s: float | None = None
        self._departed: deque[DirectoryEntry] = deque(maxlen=_DEPARTED_KEPT)

    def __iter__(self) -> Iterator[DirectoryEntry]:
        return iter(self._entries.values())

    def get(self, server_id: str) -> DirectoryEntry | None:
        """Return an incarnation's entry."""
        return self._entries.get(server_id)

    def registered_as(self, registered_id: str) -> DirectoryEntry | None:
        """Return the backend server that is registered under an id."""
        return self._by_registered_id.get(registered_id)

    def at(self, address: str) -> DirectoryEntry | None:
        """Return the backend server that is registered at an address."""
        return self._by_address.get(address)

    def store_returned(self, now_s: float) -> None:
        """The store answers again after an outage."""
        self._returned_s = now_s

    def register(self, registration: Registration) -> RegistrationTaken:
        """Take a registration, new or renewed.

        A new incarnation under an id or at an address ends the one that was there: a
        probe of the address would find the dead one well. One that started before
        what is known under its id was read late, and changes nothing. Starts of
        different ids aren't compared: their clocks may differ.
        """
        known = self.registered_as(registration.registered_id)
        in_place = self.at(registration.address)
        if self._is_outdated(registration, known):
            return RegistrationTaken(None)
        if known is not None and not known.is_another(registration.started_at_ms):
            entry = known
        else:
            entry = DirectoryEntry(registration.server_id, registration)
        in_its_place = {e.server_id: e for e in (known, in_place) if e is not None}
        ended = [e for e in in_its_place.values() if e is not entry]
        for predecessor in ended:
            self._depart(predecessor)
        self._take(entry, registration)
        return RegistrationTaken(entry, tuple(e.server_id for e in ended))

    def _is_outdated(
        self, registration: Registration, known: DirectoryEntry | None
    ) -> bool:
        started_at_ms = registration.started_at_ms
        departed_ms = self._departed_started_at_ms.get(registration.registered_id)
        known_ms = known.registration.started_at_ms if known is not None else None
        return _before(started_at_ms, departed_ms) or _before(started_at_ms, known_ms)

    def _take(self, entry: DirectoryEntry, registration: Registration) -> None:
        """Let an entry say what was registered last."""
        if self._by_address.get(entry.registration.address) is entry:
            del self._by_address[entry.registration.address]
        if registration.started_at_ms is None:
            # The id alone is no word against the incarnation that is known.
            started_at_ms = entry.registration.started_at_ms
            registration = replace(registration, started_at_ms=started_at_ms)
        entry.registration = registration
        entry.says_leaving = entry.server_id in self._leaving_ids
        entry.removal_due_s = None
        self._entries[entry.server_id] = entry
        self._by_registered_id[registration.registered_id] = entry
        self._by_address[registration.address] = entry

    def _depart(self, entry: DirectoryEntry) -> None:
        registration = entry.registration
        self._departed.append(entry)
        self._left_ids.pop(entry.server_id, None)
        self._left_ids[entry.server_id] = None
        if len(self._left_ids) > _DEPARTED_KEPT:
            self._left_ids.popitem(last=False)
        self._entries.pop(entry.server_id, None)
        if self._by_registered_id.get(registration.registered_id) is entry:
            del self._by_registered_id[registration.registered_id]
        if self._by_address.get(registration.address) is entry:
            del self._by_address[registration.address]
        if registration.started_at_ms is not None:
            departed = self._departed_started_at_ms
            departed.pop(registration.registered_id, None)
            departed[registration.registered_id] = registration.started_at_ms
            if len(departed) > _DEPARTED_KEPT:
                del departed[next(iter(departed))]

    def has_left(self, registration: Registration) -> bool:
        """Return whether this incarnation was seen to leave."""
        known = self.registered_as(registration.registered_id)
        if known is not None and not known.is_another(registration.started_at_ms):
            return known.draining
        return registration.server_id in self._left_ids

    def mark_leaving(self, server_id: str) -> bool:
        """Take that an incarnation's answers say that it leaves; return if that is new.

        Nothing takes it back: only another incarnation gets new work.
        """
        if server_id in self._leaving_ids:
            return False
        self._leaving_ids[server_id] = None
        if len(self._leaving_ids) > _DEPARTED_KEPT:
            self._leaving_ids.popitem(last=False)
        entry = self._entries.get(server_id)
        if entry is not None:
            entry.says_leaving = True
        return True

    def take_departed(self) -> list[DirectoryEntry]:
        """Return those that have left since the last call, as they were known."""
        departed = list(self._departed)
        self._departed.clear()
        return departed

    def remove(self, registered_id: str, now_s: float) -> None:
        """Take the removal of a registration."""
        entry = self.registered_as(registered_id)
        if entry is None:
            return
        due_s = now_s
        if self._returned_s is not None:
            due_s = max(now_s, self._returned_s + LOG_RECOVERY_S)
        if due_s <= now_s:
            self._depart(entry)
        elif entry.removal_due_s is None:
            entry.removal_due_s = due_s

    def withdraw(self, registered_id: str) -> None:
        """Take a record that names no backend server to use any more.

        Unlike a removal after an outage of the store it counts at once: somebody wrote
        it, nothing lapsed.
        """
        entry = self.registered_as(registered_id)
        if entry is not None:
            self._depart(entry)

    def expire(self, now_s: float) -> list[str]:
        """Drop entries whose removal has come to count; return their ids."""
        due = [
            entry
            for entry in self._entries.values()
            if entry.removal_due_s is not None and entry.removal_due_s <= now_s
        ]
        for entry in due:
            self._depart(entry)
        return [entry.server_id for entry in due]

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

    def doubtful(self, service: str) -> frozenset[str]:
        """Return those servers that new work should avoid since they may have left.

        One entry alone may have been without the store, and then a server that is
        missing has left: without this it would get new work until its removal counts.
        If the store was out for all, most registrations have lapsed, and none of them
        is avoided.
        """
        routable = [e for e in self.of_service(service) if e.routable]
        missing = [e for e in routable if e.missing]
        if len(missing) > max(1.0, _MISSING_SHARE * len(routable)):
            return frozenset()
        return frozenset(e.server_id for e in missing)

    def replicas(
        self, service: str, region: str, load_of: Callable[[str], ServerLoad]
    ) -> list[Replica]:
        """Return a plain service's backend servers that may get new work.

        :param load_of: returns a server's load over all entries.
        """
        return [
            Replica(
                e.stage(LayerRange(0, 0)),
                e.registration.failure_domain,
                region,
                in_flight=load_of(e.server_id).own_sequences,
                capacity=max(1, e.registration.slots),
                step_ms=1.0,
            )
            for e in self.of_service(service)
            if e.routable
        ]

    def layer_replicas(
        self,
        service: str,
        model: EngineModel,
        region: str,
        load_of: Callable[[str], ServerLoad],
        entries: int,
    ) -> list[Replica]:
        """Return a model's backend servers that hold layers and may get work.

        Their load and capacity are counted in tokens: memory for the state of
        requests is what runs out first.

        :param load_of: returns a server's load over all entries.
        :param entries: how many entries there are.
        """
        found = []
        for entry in self.of_service(service):
            registration = entry.registration
            layers = registration.layers
            accelerator = model.accelerators.get(registration.accelerator)
            if not entry.routable or layers is None or accelerator is None:
                continue
            if registration.model != model.name or not model.has_layers(layers):
                continue
            capacity = max(1, model.state_tokens(accelerator, len(layers)))
            found.append(
                Replica(
                    entry.stage(layers),
                    registration.failure_domain,
                    region,
                    in_flight=_reckoned_load(
                        load_of(entry.server_id), entries, capacity
                    ),
                    capacity=capacity,
                    step_ms=accelerator.step_factor * len(layers) * entry.slowness,
                )
            )
        return found


def _reckoned_load(load: ServerLoad, entries: int, capacity: int) -> int:
    """Return the load of all entries as far as it may count against a capacity.

    Others are taken to have sent where this entry did. Their announced load is the same
    for all entries: by it all would choose the same servers until the next sum. Only
    one's own load makes a backend server full: room is freed and taken while others'
    load is announced, and whether there is some is known better there.
    """
    if load.own_tokens >= capacity:
        return load.own_tokens
    return min(load.own_tokens * entries, capacity - 1)


def _differ(one_ms: int | None, other_ms: int | None) -> bool:
    """Return whether two starts are known, and aren't the same."""
    return one_ms is not None and other_ms is not None and one_ms != other_ms


def _before(one_ms: int | None, other_ms: int | None) -> bool:
    """Return whether two starts are known, and the first was before the other."""
    return one_ms is not None and other_ms is not None and one_ms < other_ms
