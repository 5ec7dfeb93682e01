"""What an entry believes of backend servers that register themselves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.core import LayerRange
from railfold._internal.decisions.engine_directory import (
    EngineDirectory,
    Registration,
)
from railfold._internal.decisions.fleet_load import EntryLoad, FleetLoad, ServerLoad
from tests.lib.models import MODEL

ENGINE = Registration(
    registered_id="i-1",
    service="llm",
    address="10.0.0.1:80",
    failure_domain="hall-a",
    slots=96,
    draining=False,
    model="inspect",
    layers=LayerRange(0, 7),
    accelerator="l4",
)


@pytest.fixture
def directory() -> EngineDirectory:
    directory = EngineDirectory()
    directory.register(ENGINE)
    return directory


def hosts(directory: EngineDirectory) -> list[str]:
    replicas = directory.layer_replicas("llm", MODEL, "west", lambda _: ServerLoad(), 1)
    return [replica.stage.host for replica in replicas]


def test_an_engine_gets_work_once_its_layers_are_registered() -> None:
    directory = EngineDirectory()
    directory.register(replace(ENGINE, layers=None))
    assert hosts(directory) == []
    directory.register(ENGINE)
    assert hosts(directory) == ["i-1"]


def test_draining_and_suspect_engines_get_no_work(directory: EngineDirectory) -> None:
    directory.suspect("i-1", 1.0)
    assert hosts(directory) == []
    directory.cleared("i-1")
    assert hosts(directory) == ["i-1"]
    directory.register(replace(ENGINE, draining=True))
    assert hosts(directory) == []


def test_a_removal_counts_at_once(directory: EngineDirectory) -> None:
    directory.remove("i-1", 50.0)
    assert directory.get("i-1") is None


def test_a_removal_after_an_outage_waits_for_a_new_registration(
    directory: EngineDirectory,
) -> None:
    directory.store_returned(100.0)
    directory.remove("i-1", 100.1)
    assert hosts(directory) == ["i-1"]
    assert directory.expire(102.0) == []
    directory.register(ENGINE)
    assert directory.expire(110.0) == []
    assert hosts(directory) == ["i-1"]


def test_an_engine_that_stays_away_after_an_outage_is_gone(
    directory: EngineDirectory,
) -> None:
    directory.store_returned(100.0)
    directory.remove("i-1", 100.1)
    assert directory.expire(102.5) == ["i-1"]
    assert hosts(directory) == []


def loads(own: dict[str, int], entries: int) -> Callable[[str], ServerLoad]:
    """What one of some entries reckons with that hears none of the others."""
    fleet = FleetLoad(lifetime_s=2.0)
    for server_id, tokens in own.items():
        fleet.add(server_id, EntryLoad(tokens, 1))
    return lambda server_id: fleet.load(server_id, entries, now_s=0.0)


def test_load_counts_tokens_and_others_are_reckoned(directory: EngineDirectory) -> None:
    own = {"i-1": 4000}
    (alone,) = directory.layer_replicas("llm", MODEL, "west", loads(own, 1), 1)
    (shared,) = directory.layer_replicas("llm", MODEL, "west", loads(own, 5), 5)
    free_mb = 21600.0 - 8 * 1750.0
    assert alone.capacity == int(free_mb / (8 * 0.0115))
    assert (alone.in_flight, shared.in_flight) == (4000, 20000)


def test_only_ones_own_load_makes_an_engine_full(directory: EngineDirectory) -> None:
    own = {"i-1": 60_000}
    (reckoned,) = directory.layer_replicas("llm", MODEL, "west", loads(own, 22), 22)
    assert not reckoned.full
    own = {"i-1": 100_000}
    (full,) = directory.layer_replicas("llm", MODEL, "west", loads(own, 1), 1)
    assert full.full


def test_others_load_draws_no_entries_to_the_same_engine(
    directory: EngineDirectory,
) -> None:
    fleet = FleetLoad(lifetime_s=2.0)
    fleet.announced("entry-2", {"i-1": EntryLoad(100_000, 90)}, at_s=0.0, now_s=0.0)
    (replica,) = directory.layer_replicas(
        "llm", MODEL, "west", lambda server_id: fleet.load(server_id, 2, now_s=0.0), 2
    )
    assert replica.in_flight == 0


# Incarnations. A backend server may start again under its id; its start tells which
# incarnation speaks. Before that was told, an id was one incarnation, so that work on a
# dead one, its refusals and its slowness passed to its successor.

EARLIER = replace(ENGINE, started_at_ms=1000)
LATER = replace(ENGINE, started_at_ms=2000, layers=None)


def test_a_restart_under_the_same_id_is_another_incarnation() -> None:
    directory = EngineDirectory()
    before = directory.register(EARLIER).entry
    assert before is not None
    before.slowness = 3.0
    directory.suspect(before.server_id, 1.0)
    taken = directory.register(LATER)
    assert taken.ended == (before.server_id,)
    assert taken.entry is directory.registered_as("i-1")
    assert taken.entry is not None
    assert taken.entry.slowness == 1.0
    fleet = FleetLoad(lifetime_s=2.0)
    fleet.add(before.server_id, EntryLoad(4000, 1))
    assert fleet.own_load(taken.entry.server_id) == EntryLoad()
    assert taken.entry.suspect_since_s is None
    assert directory.get(before.server_id) is None


def test_an_older_incarnation_that_is_read_late_changes_nothing() -> None:
    directory = EngineDirectory()
    directory.register(LATER)
    assert directory.register(EARLIER).entry is None
    assert [entry.registration for entry in directory] == [LATER]


def test_an_older_incarnation_doesnt_come_back_after_a_removal() -> None:
    directory = EngineDirectory()
    directory.register(LATER)
    directory.remove("i-1", 10.0)
    assert directory.register(EARLIER).entry is None
    assert directory.register(LATER).entry is not None


def test_the_id_alone_names_a_server_that_doesnt_tell_its_start(
    directory: EngineDirectory,
) -> None:
    known = directory.registered_as("i-1")
    assert directory.register(EARLIER).entry is known
    assert directory.register(ENGINE).entry is known
    assert directory.register(LATER).ended == ("i-1",)


def test_another_id_at_an_address_ends_the_one_there(
    directory: EngineDirectory,
) -> None:
    taken = directory.register(replace(ENGINE, registered_id="i-2"))
    assert taken.ended == ("i-1",)
    assert hosts(directory) == ["i-2"]


def test_starts_of_different_ids_at_an_address_arent_compared() -> None:
    """The clock of a host that an address passes to may be behind."""
    directory = EngineDirectory()
    directory.register(LATER)
    taken = directory.register(replace(EARLIER, registered_id="i-2"))
    assert taken.entry is not None
    assert taken.ended == (LATER.server_id,)


def test_a_record_that_names_nobody_counts_at_once(directory: EngineDirectory) -> None:
    directory.store_returned(100.0)
    directory.withdraw("i-1")
    assert hosts(directory) == []
    directory.register(ENGINE)
    assert hosts(directory) == ["i-1"]


STARTS = st.sampled_from([None, 1000, 2000, 3000])
REGISTERED = st.builds(
    lambda name, port, start: replace(
        ENGINE,
        registered_id=f"i-{name}",
        address=f"10.0.0.1:{port}",
        started_at_ms=start,
    ),
    st.integers(1, 3),
    st.integers(1, 3),
    STARTS,
)
STEPS = st.lists(
    st.tuples(st.just("register"), REGISTERED)
    | st.tuples(st.sampled_from(["remove", "withdraw"]), REGISTERED)
    | st.tuples(st.just("outage"), REGISTERED),
    max_size=30,
)


@given(STEPS)
def test_one_incarnation_an_id_and_address_in_any_order_of_records(
    steps: list[tuple[str, Registration]],
) -> None:
    directory = EngineDirectory()
    newest: dict[str, int] = {}
    for now_s, (step, registration) in enumerate(steps):
        name = registration.registered_id
        if step == "register":
            taken = directory.register(registration)
            if taken.entry is not None:
                if registration.started_at_ms is not None:
                    assert registration.started_at_ms >= newest.get(name, 0)
                    newest[name] = registration.started_at_ms
                assert directory.get(taken.entry.server_id) is taken.entry
            assert all(directory.get(server_id) is None for server_id in taken.ended)
        elif step == "outage":
            directory.store_returned(float(now_s))
        elif step == "remove":
            directory.remove(name, float(now_s))
        else:
            directory.withdraw(name)
        directory.expire(float(now_s))
        entries = list(directory)
        assert len({e.registration.registered_id for e in entries}) == len(entries)
        assert len({e.registration.address for e in entries}) == len(entries)
        for entry in entries:
            assert directory.registered_as(entry.registration.registered_id) is entry
            assert directory.at(entry.registration.address) is entry


def missing_of(count: int, missing: int) -> EngineDirectory:
    """Return a directory after an outage in which some registrations disappeared."""
    directory = EngineDirectory()
    for number in range(count):
        address = f"10.0.0.{number}:80"
        name = f"i-{number}"
        directory.register(replace(ENGINE, registered_id=name, address=address))
    directory.store_returned(1.0)
    for number in range(missing):
        directory.remove(f"i-{number}", 1.1)
    return directory


def test_few_that_are_missing_after_an_outage_are_doubtful() -> None:
    """They left while this entry alone was without the store."""
    assert missing_of(6, 2).doubtful("llm") == {"i-0", "i-1"}
    assert missing_of(2, 1).doubtful("llm") == {"i-0"}


def test_many_that_are_missing_lapsed_with_the_store() -> None:
    assert missing_of(6, 3).doubtful("llm") == frozenset()


def test_one_that_registers_again_isnt_doubtful() -> None:
    directory = missing_of(6, 1)
    directory.register(replace(ENGINE, registered_id="i-0", address="10.0.0.0:80"))
    assert directory.doubtful("llm") == frozenset()
