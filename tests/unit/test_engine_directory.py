"""What an entry believes of backend servers that register themselves."""

from __future__ import annotations

from dataclasses import replace

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.engine_directory import (
    EngineDirectory,
    Registration,
)
from tests.lib.models import MODEL

ENGINE = Registration(
    server_id="i-1",
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
    replicas = directory.layer_replicas("llm", MODEL, "west", entries=1)
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


def test_load_counts_tokens_and_others_are_reckoned(directory: EngineDirectory) -> None:
    entry = directory.get("i-1")
    assert entry is not None
    entry.own_load = 4000
    (alone,) = directory.layer_replicas("llm", MODEL, "west", entries=1)
    (shared,) = directory.layer_replicas("llm", MODEL, "west", entries=5)
    free_mb = 21600.0 - 8 * 1750.0
    assert alone.capacity == int(free_mb / (8 * 0.0115))
    assert (alone.in_flight, shared.in_flight) == (4000, 20000)


def test_only_ones_own_load_makes_an_engine_full(directory: EngineDirectory) -> None:
    entry = directory.get("i-1")
    assert entry is not None
    entry.own_load = 60_000
    (reckoned,) = directory.layer_replicas("llm", MODEL, "west", entries=22)
    assert not reckoned.full
    entry.own_load = 100_000
    (full,) = directory.layer_replicas("llm", MODEL, "west", entries=1)
    assert full.full
