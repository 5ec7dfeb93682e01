"""Directory of registered backend servers, as one entry knows them.

There are two sources of information: what a backend server registered itself (serving
or draining, the layers it holds), which takes precedence, and what this entry observed
of it. A backend server that resets a connection or doesn't answer is suspect, and gets
no new requests until a probe succeeds. A registration that lapses during an outage of
the store says nothing about its backend server: after an outage, a removal takes effect
only once a grace period has passed without a new registration.
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
    "RegistrationResult",
]

# Largest share of a service's servers that new requests avoid because their removal is
# pending, so that the load of the others rises by half at most. If more are missing,
# they haven't left; the store lost their registrations in an outage.
_MAX_MISSING_SHARE = 1.0 / 3.0

# Incarnation, in a chain's stage, of a backend server that doesn't register its start
# time.
UNKNOWN_INCARNATION = 0

# Number of departed servers whose start times are kept, so that an older registration
# that is read late doesn't bring one back. A read takes a few seconds at most.
_MAX_DEPARTED = 4096


@dataclass(frozen=True, slots=True)
class Registration:
    """A backend server's registration.

    :param registered_id: the id that it registers under, which may stay the same after
        a restart.
    :param service: name of its service.
    :param address: ``ip:port``.
    :param slots: how many requests it runs at a time.
    :param draining: whether it takes no new requests.
    :param model: name of the model that ``layers`` belong to.
    :param layers: the layers it holds, if it is a model engine that holds any.
    :param accelerator: kind of its accelerator, if it is a model engine.
    :param started_at_ms: Unix time of its start, which distinguishes its incarnations;
        None if it doesn't register it, and then ``registered_id`` alone identifies it.
    :param version: version of its software and model, as far as it registers them.
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
        """The id of this incarnation, which is the key of everything known about it."""
        if self.started_at_ms is None:
            return self.registered_id
        return f"{self.registered_id}@{self.started_at_ms}"

    @property
    def is_model_engine(self) -> bool:
        """Whether it runs layers of a model, rather than a plain service."""
        return bool(self.accelerator)


@dataclass(slots=True, eq=False)
class DirectoryEntry:
    """One incarnation of a backend server, as this entry knows it.

    Entries compare by identity. Times are on the monotonic clock.

    :param server_id: id of the incarnation.
    :param slowness: duration of its steps relative to the usual one, as it last
        reported.
    :param suspect_since_s: when it became suspect, if it is.
    :param announced_leaving: whether its answers announced that it leaves, regardless
        of what it registers.
    :param removal_due_s: when the removal of its registration takes effect, if it was
        removed.
    """

    server_id: str
    registration: Registration
    slowness: float = 1.0
    suspect_since_s: float | None = None
    announced_leaving: bool = False
    removal_due_s: float | None = None

    def stage(self, layers: LayerRange) -> Stage:
        """Return this incarnation as the stage of a chain that runs ``layers``."""
        started_at_ms = self.registration.started_at_ms
        incarnation = UNKNOWN_INCARNATION if started_at_ms is None else started_at_ms
        return Stage(self.server_id, self.registration.address, incarnation, layers)

    def is_other_incarnation(self, started_at_ms: int | None) -> bool:
        """Return whether a server that started then is known to be another incarnation.

        Returns False if one of the start times isn't known.
        """
        return _starts_differ(self.registration.started_at_ms, started_at_ms)

    @property
    def draining(self) -> bool:
        """Whether it takes no new requests and will leave."""
        return self.registration.draining or self.announced_leaving

    @property
    def routable(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.suspect_since_s is None and not self.draining

    @property
    def removal_pending(self) -> bool:
        """Whether its registration is gone but the removal hasn't taken effect yet."""
        return self.removal_due_s is not None


@dataclass(frozen=True, slots=True)
class RegistrationResult:
    """Result of a registration.

    :param entry: the registered incarnation; None if the registration is outdated.
    :param ended: ids of incarnations that have ended, since this one has taken their
        registered id or address.
    """

    entry: DirectoryEntry | None
    ended: tuple[str, ...] = ()


class EngineDirectory:
    """All registered backend servers.

    Each registered id and each address belongs to at most one incarnation.
    """

    def __init__(self) -> None:
        self._entries: dict[str, DirectoryEntry] = {}
        self._by_registered_id: dict[str, DirectoryEntry] = {}
        self._by_address: dict[str, DirectoryEntry] = {}
        self._departed_started_at_ms: dict[str, int] = {}
        # Ids stay here after their entries are removed, since a lapsed registration may
        # come back unchanged.
        self._leaving_ids: OrderedDict[str, None] = OrderedDict()
        self._departed_ids: OrderedDict[str, None] = OrderedDict()
        self._recovered_s: float | None = None
        self._departed: deque[DirectoryEntry] = deque(maxlen=_MAX_DEPARTED)

    def __iter__(self) -> Iterator[DirectoryEntry]:
        return iter(self._entries.values())

    def get(self, server_id: str) -> DirectoryEntry | None:
        """Return the entry of an incarnation."""
        return self._entries.get(server_id)

    def get_by_registered_id(self, registered_id: str) -> DirectoryEntry | None:
        """Return the backend server that is registered under an id."""
        return self._by_registered_id.get(registered_id)

    def get_by_address(self, address: str) -> DirectoryEntry | None:
        """Return the backend server that is registered at an address."""
        return self._by_address.get(address)

    def store_recovered(self, now_s: float) -> None:
        """Record that the store answers again after an outage."""
        self._recovered_s = now_s

    def register(self, registration: Registration) -> RegistrationResult:
        """Add or renew a registration.

        A new incarnation replaces the one with the same registered id and the one at
        the same address: a probe of the address would otherwise take the dead one for
        healthy. A registration that started before the known one of its id was read
        late and is ignored. Start times of different ids aren't compared, since their
        hosts' clocks may differ.
        """
        known = self.get_by_registered_id(registration.registered_id)
        at_address = self.get_by_address(registration.address)
        if self._is_outdated(registration, known):
            return RegistrationResult(None)
        if known is not None and not known.is_other_incarnation(
            registration.started_at_ms
        ):
            entry = known
        else:
            entry = DirectoryEntry(registration.server_id, registration)
        replaced = {e.server_id: e for e in (known, at_address) if e is not None}
        ended = [e for e in replaced.values() if e is not entry]
        for predecessor in ended:
            self._remove_entry(predecessor)
        self._index_registration(entry, registration)
        return RegistrationResult(entry, tuple(e.server_id for e in ended))

    def _is_outdated(
        self, registration: Registration, known: DirectoryEntry | None
    ) -> bool:
        """Return whether a later incarnation of the registered id is known."""
        started_at_ms = registration.started_at_ms
        departed_ms = self._departed_started_at_ms.get(registration.registered_id)
        known_ms = known.registration.started_at_ms if known is not None else None
        return _starts_before(started_at_ms, departed_ms) or _starts_before(
            started_at_ms, known_ms
        )

    def _index_registration(
        self, entry: DirectoryEntry, registration: Registration
    ) -> None:
        """Set an entry's registration and index it by id and address."""
        if self._by_address.get(entry.registration.address) is entry:
            del self._by_address[entry.registration.address]
        if registration.started_at_ms is None:
            # A registration without a start time doesn't contradict the known one.
            started_at_ms = entry.registration.started_at_ms
            registration = replace(registration, started_at_ms=started_at_ms)
        entry.registration = registration
        entry.announced_leaving = entry.server_id in self._leaving_ids
        entry.removal_due_s = None
        self._entries[entry.server_id] = entry
        self._by_registered_id[registration.registered_id] = entry
        self._by_address[registration.address] = entry

    def _remove_entry(self, entry: DirectoryEntry) -> None:
        """Remove an entry, but remember its id and start time as departed."""
        registration = entry.registration
        self._departed.append(entry)
        self._departed_ids.pop(entry.server_id, None)
        self._departed_ids[entry.server_id] = None
        if len(self._departed_ids) > _MAX_DEPARTED:
            self._departed_ids.popitem(last=False)
        self._entries.pop(entry.server_id, None)
        if self._by_registered_id.get(registration.registered_id) is entry:
            del self._by_registered_id[registration.registered_id]
        if self._by_address.get(registration.address) is entry:
            del self._by_address[registration.address]
        if registration.started_at_ms is not None:
            departed = self._departed_started_at_ms
            departed.pop(registration.registered_id, None)
            departed[registration.registered_id] = registration.started_at_ms
            if len(departed) > _MAX_DEPARTED:
                del departed[next(iter(departed))]

    def has_left(self, registration: Registration) -> bool:
        """Return whether this incarnation is draining or has departed."""
        known = self.get_by_registered_id(registration.registered_id)
        if known is not None and not known.is_other_incarnation(
            registration.started_at_ms
        ):
            return known.draining
        return registration.server_id in self._departed_ids

    def mark_leaving(self, server_id: str) -> bool:
        """Record that an incarnation's answers announced that it leaves.

        This can't be revoked: only another incarnation gets new requests.

        :returns: whether this wasn't recorded before.
        """
        if server_id in self._leaving_ids:
            return False
        self._leaving_ids[server_id] = None
        if len(self._leaving_ids) > _MAX_DEPARTED:
            self._leaving_ids.popitem(last=False)
        entry = self._entries.get(server_id)
        if entry is not None:
            entry.announced_leaving = True
        return True

    def pop_departed(self) -> list[DirectoryEntry]:
        """Return the entries removed since the last call, in their last known state."""
        departed = list(self._departed)
        self._departed.clear()
        return departed

    def remove(self, registered_id: str, now_s: float) -> None:
        """Remove a registration, after a grace period if the store was out recently."""
        entry = self.get_by_registered_id(registered_id)
        if entry is None:
            return
        due_s = now_s
        if self._recovered_s is not None:
            due_s = max(now_s, self._recovered_s + LOG_RECOVERY_S)
        if due_s <= now_s:
            self._remove_entry(entry)
        elif entry.removal_due_s is None:
            entry.removal_due_s = due_s

    def withdraw(self, registered_id: str) -> None:
        """Remove a backend server whose record no longer describes a usable one.

        Unlike a removal after an outage of the store, it takes effect immediately: the
        record was written by someone and hasn't just lapsed.
        """
        entry = self.get_by_registered_id(registered_id)
        if entry is not None:
            self._remove_entry(entry)

    def expire(self, now_s: float) -> list[str]:
        """Remove entries whose grace period has passed; return their server ids."""
        due_entries = [
            entry
            for entry in self._entries.values()
            if entry.removal_due_s is not None and entry.removal_due_s <= now_s
        ]
        for entry in due_entries:
            self._remove_entry(entry)
        return [entry.server_id for entry in due_entries]

    def mark_suspect(self, server_id: str, now_s: float) -> bool:
        """Send a server no new requests; return whether it wasn't suspect before."""
        entry = self._entries.get(server_id)
        if entry is None or entry.suspect_since_s is not None:
            return False
        entry.suspect_since_s = now_s
        return True

    def clear_suspicion(self, server_id: str) -> None:
        """Record that a probe of a server succeeded."""
        entry = self._entries.get(server_id)
        if entry is not None:
            entry.suspect_since_s = None

    def servers_of(self, service: str) -> list[DirectoryEntry]:
        """Return a service's backend servers."""
        return [e for e in self._entries.values() if e.registration.service == service]

    def possibly_departed(self, service: str) -> frozenset[str]:
        """Return the ids of servers that new requests should avoid.

        Their removal is pending. If only this entry was cut off from the store, such a
        server has left, and it would get new requests until its removal takes effect.
        If the store was out for all, most registrations have lapsed and their servers
        are still there; then none of them is avoided.
        """
        routable = [e for e in self.servers_of(service) if e.routable]
        missing = [e for e in routable if e.removal_pending]
        if len(missing) > max(1.0, _MAX_MISSING_SHARE * len(routable)):
            return frozenset()
        return frozenset(e.server_id for e in missing)

    def replicas(
        self, service: str, region: str, get_load: Callable[[str], ServerLoad]
    ) -> list[Replica]:
        """Return a plain service's backend servers that may get new requests.

        :param region: the region that the replicas get.
        :param get_load: returns a server's load over all entries, by server id.
        """
        return [
            Replica(
                e.stage(LayerRange(0, 0)),
                e.registration.failure_domain,
                region,
                in_flight=get_load(e.server_id).own_sequences,
                capacity=max(1, e.registration.slots),
                step_ms=1.0,
            )
            for e in self.servers_of(service)
            if e.routable
        ]

    def layer_replicas(
        self,
        service: str,
        model: EngineModel,
        region: str,
        get_load: Callable[[str], ServerLoad],
        entries: int,
    ) -> list[Replica]:
        """Return a model's backend servers that hold layers and may get new requests.

        Their load and capacity are counted in tokens, since memory for the state of
        requests runs out first.

        :param region: the region that the replicas get.
        :param get_load: returns a server's load over all entries, by server id.
        :param entries: how many entries there are.
        """
        replicas = []
        for entry in self.servers_of(service):
            registration = entry.registration
            layers = registration.layers
            accelerator = model.accelerators.get(registration.accelerator)
            if not entry.routable or layers is None or accelerator is None:
                continue
            if registration.model != model.name or not model.has_layers(layers):
                continue
            capacity = max(1, model.capacity_tokens(accelerator, len(layers)))
            replicas.append(
                Replica(
                    entry.stage(layers),
                    registration.failure_domain,
                    region,
                    in_flight=_estimated_load(
                        get_load(entry.server_id), entries, capacity
                    ),
                    capacity=capacity,
                    step_ms=accelerator.step_factor * len(layers) * entry.slowness,
                )
            )
        return replicas


def _estimated_load(load: ServerLoad, entries: int, capacity: int) -> int:
    """Return an estimate of a server's load from all entries, in tokens.

    It assumes that the other entries sent to the same servers as this one. Their
    announced load isn't used: it is the same for all entries, so that all would choose
    the same servers until the next announcement. Only this entry's own load makes a
    server full: capacity is freed and taken between announcements, and the server
    itself knows better whether it has any.
    """
    if load.own_tokens >= capacity:
        return load.own_tokens
    return min(load.own_tokens * entries, capacity - 1)


def _starts_differ(first_ms: int | None, second_ms: int | None) -> bool:
    """Return whether both start times are known and differ."""
    return first_ms is not None and second_ms is not None and first_ms != second_ms


def _starts_before(first_ms: int | None, second_ms: int | None) -> bool:
    """Return whether both start times are known and the first is earlier."""
    return first_ms is not None and second_ms is not None and first_ms < second_ms
