"""Directory of registered backend servers: eligibility, load and incarnations."""

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


def test_engine_gets_requests_once_its_layers_are_registered() -> None:
    directory = EngineDirectory()
    directory.register(replace(ENGINE, layers=None))
    assert hosts(directory) == []
    directory.register(ENGINE)
    assert hosts(directory) == ["i-1"]


def test_draining_and_suspect_engines_get_no_requests(
    directory: EngineDirectory,
) -> None:
    directory.mark_suspect("i-1", 1.0)
    assert hosts(directory) == []
    directory.clear_suspicion("i-1")
    assert hosts(directory) == ["i-1"]
    directory.register(replace(ENGINE, draining=True))
    assert hosts(directory) == []


def test_removal_takes_effect_immediately(directory: EngineDirectory) -> None:
    directory.remove("i-1", 50.0)
    assert directory.get("i-1") is None


def test_removal_after_a_store_outage_is_cancelled_by_a_new_registration(
    directory: EngineDirectory,
) -> None:
    directory.store_recovered(100.0)
    directory.remove("i-1", 100.1)
    assert hosts(directory) == ["i-1"]
    assert directory.expire(102.0) == []
    directory.register(ENGINE)
    assert directory.expire(110.0) == []
    assert hosts(directory) == ["i-1"]


def test_engine_that_doesnt_register_after_a_store_outage_is_removed(
    directory: EngineDirectory,
) -> None:
    directory.store_recovered(100.0)
    directory.remove("i-1", 100.1)
    assert directory.expire(102.5) == ["i-1"]
    assert hosts(directory) == []


def load_lookup(
    own_tokens: dict[str, int], entries: int
) -> Callable[[str], ServerLoad]:
    """Return the load lookup of an entry that knows none of the others' load."""
    fleet = FleetLoad(lifetime_s=2.0)
    for server_id, tokens in own_tokens.items():
        fleet.add(server_id, EntryLoad(tokens, 1))
    return lambda server_id: fleet.load(server_id, entries, now_s=0.0)


def test_load_counts_tokens_and_estimates_that_of_other_entries(
    directory: EngineDirectory,
) -> None:
    own_tokens = {"i-1": 4000}
    (alone,) = directory.layer_replicas(
        "llm", MODEL, "west", load_lookup(own_tokens, 1), 1
    )
    (with_others,) = directory.layer_replicas(
        "llm", MODEL, "west", load_lookup(own_tokens, 5), 5
    )
    free_mb = 21600.0 - 8 * 1750.0
    assert alone.capacity == int(free_mb / (8 * 0.0115))
    assert (alone.in_flight, with_others.in_flight) == (4000, 20000)


def test_only_the_entrys_own_load_makes_an_engine_full(
    directory: EngineDirectory,
) -> None:
    own_tokens = {"i-1": 60_000}
    (estimated,) = directory.layer_replicas(
        "llm", MODEL, "west", load_lookup(own_tokens, 22), 22
    )
    assert not estimated.full
    own_tokens = {"i-1": 100_000}
    (full,) = directory.layer_replicas(
        "llm", MODEL, "west", load_lookup(own_tokens, 1), 1
    )
    assert full.full


def test_announced_load_of_other_entries_isnt_used_for_choosing(
    directory: EngineDirectory,
) -> None:
    fleet = FleetLoad(lifetime_s=2.0)
    fleet.announced("entry-2", {"i-1": EntryLoad(100_000, 90)}, at_s=0.0, now_s=0.0)
    (replica,) = directory.layer_replicas(
        "llm", MODEL, "west", lambda server_id: fleet.load(server_id, 2, now_s=0.0), 2
    )
    assert replica.in_flight == 0


# Incarnations. A backend server may restart under the same id; its start time tells
# which incarnation registered. Without it, the load, suspicion and slowness of a dead
# incarnation would pass to its successor.

EARLIER = replace(ENGINE, started_at_ms=1000)
LATER = replace(ENGINE, started_at_ms=2000, layers=None)


def test_restart_under_the_same_id_is_another_incarnation() -> None:
    directory = EngineDirectory()
    earlier_entry = directory.register(EARLIER).entry
    assert earlier_entry is not None
    earlier_entry.slowness = 3.0
    directory.mark_suspect(earlier_entry.server_id, 1.0)
    result = directory.register(LATER)
    assert result.ended == (earlier_entry.server_id,)
    assert result.entry is directory.get_by_registered_id("i-1")
    assert result.entry is not None
    assert result.entry.slowness == 1.0
    fleet = FleetLoad(lifetime_s=2.0)
    fleet.add(earlier_entry.server_id, EntryLoad(4000, 1))
    assert fleet.own_load(result.entry.server_id) == EntryLoad()
    assert result.entry.suspect_since_s is None
    assert directory.get(earlier_entry.server_id) is None


def test_registration_of_an_older_incarnation_is_ignored() -> None:
    directory = EngineDirectory()
    directory.register(LATER)
    assert directory.register(EARLIER).entry is None
    assert [entry.registration for entry in directory] == [LATER]


def test_older_incarnation_doesnt_come_back_after_a_removal() -> None:
    directory = EngineDirectory()
    directory.register(LATER)
    directory.remove("i-1", 10.0)
    assert directory.register(EARLIER).entry is None
    assert directory.register(LATER).entry is not None


def test_registration_without_a_start_time_is_the_known_incarnation(
    directory: EngineDirectory,
) -> None:
    known = directory.get_by_registered_id("i-1")
    assert directory.register(EARLIER).entry is known
    assert directory.register(ENGINE).entry is known
    assert directory.register(LATER).ended == ("i-1",)


def test_new_id_at_an_address_replaces_the_previous_server(
    directory: EngineDirectory,
) -> None:
    result = directory.register(replace(ENGINE, registered_id="i-2"))
    assert result.ended == ("i-1",)
    assert hosts(directory) == ["i-2"]


def test_start_times_of_different_ids_at_an_address_arent_compared() -> None:
    """The clock of a host that takes over an address may be behind."""
    directory = EngineDirectory()
    directory.register(LATER)
    result = directory.register(replace(EARLIER, registered_id="i-2"))
    assert result.entry is not None
    assert result.ended == (LATER.server_id,)


def test_withdrawal_takes_effect_immediately_after_a_store_outage(
    directory: EngineDirectory,
) -> None:
    directory.store_recovered(100.0)
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
def test_each_id_and_address_has_one_incarnation_in_any_order_of_records(
    steps: list[tuple[str, Registration]],
) -> None:
    directory = EngineDirectory()
    newest: dict[str, int] = {}
    for now_s, (step, registration) in enumerate(steps):
        name = registration.registered_id
        if step == "register":
            result = directory.register(registration)
            if result.entry is not None:
                if registration.started_at_ms is not None:
                    assert registration.started_at_ms >= newest.get(name, 0)
                    newest[name] = registration.started_at_ms
                assert directory.get(result.entry.server_id) is result.entry
            assert all(directory.get(server_id) is None for server_id in result.ended)
        elif step == "outage":
            directory.store_recovered(float(now_s))
        elif step == "remove":
            directory.remove(name, float(now_s))
        else:
            directory.withdraw(name)
        directory.expire(float(now_s))
        entries = list(directory)
        assert len({e.registration.registered_id for e in entries}) == len(entries)
        assert len({e.registration.address for e in entries}) == len(entries)
        for entry in entries:
            assert (
                directory.get_by_registered_id(entry.registration.registered_id)
                is entry
            )
            assert directory.get_by_address(entry.registration.address) is entry


def directory_after_outage(count: int, missing: int) -> EngineDirectory:
    """Return a directory after a store outage in which some registrations lapsed."""
    directory = EngineDirectory()
    for number in range(count):
        address = f"10.0.0.{number}:80"
        name = f"i-{number}"
        directory.register(replace(ENGINE, registered_id=name, address=address))
    directory.store_recovered(1.0)
    for number in range(missing):
        directory.remove(f"i-{number}", 1.1)
    return directory


def test_few_missing_servers_after_an_outage_have_possibly_departed() -> None:
    """They left while only this entry was cut off from the store."""
    assert directory_after_outage(6, 2).possibly_departed("llm") == {"i-0", "i-1"}
    assert directory_after_outage(2, 1).possibly_departed("llm") == {"i-0"}


def test_many_missing_servers_after_an_outage_arent_avoided() -> None:
    """Their registrations lapsed because the store was out for all."""
    assert directory_after_outage(6, 3).possibly_departed("llm") == frozenset()


def test_server_that_registers_again_isnt_avoided() -> None:
    directory = directory_after_outage(6, 1)
    directory.register(replace(ENGINE, registered_id="i-0", address="10.0.0.0:80"))
    assert directory.possibly_departed("llm") == frozenset()
