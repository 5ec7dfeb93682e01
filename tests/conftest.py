"""Tests that are known to fail for a fault that isn't mended yet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.lib.hosts import Host, new_host
from tests.lib.properties import load_example_profile

# Before any test is read: settings are taken as a test is defined.
load_example_profile()

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

# More than this and the list is no exception any more.
MOST_KNOWN_RED = 3


@dataclass(frozen=True)
class KnownFailure:
    """A line of the list: ``test id | cause | issue``."""

    test_id: str
    cause: str
    issue: str


def known_failures() -> list[KnownFailure]:
    """Return the list; empty if there is none."""
    if not KNOWN_RED.exists():
        return []
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN_RED:
        raise pytest.UsageError(f"{KNOWN_RED.name} lists over {MOST_KNOWN_RED} tests")
    return [_parse(line) for line in lines]


def _parse(line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 3:
        raise pytest.UsageError(f"{KNOWN_RED.name}: not 'test | cause | issue': {line}")
    return KnownFailure(*fields)


@pytest.fixture
def host(monkeypatch: pytest.MonkeyPatch) -> Host:
    """The host of the test's process, which can be suspended."""
    return new_host(monkeypatch)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let listed tests fail an assertion; one that passes must come off the list."""
    by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for failure in known_failures():
        item = by_id.get(failure.test_id)
        if item is not None:
            item.add_marker(
                pytest.mark.xfail(
                    reason=failure.cause, strict=True, raises=AssertionError
                )
            )
        elif len(by_id) > 1 and failure.test_id.partition("::")[0] in files:
            raise pytest.UsageError(f"{KNOWN_RED.name}: no test {failure.test_id}")
