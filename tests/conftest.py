"""Tests that are known to fail for a fault that isn't mended yet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.lib.hosts import Host, new_host
from tests.lib.properties import load_example_profile

# Before any test is read: settings are taken as a test is defined.
load_example_profile()

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

# More than this and the list is no exception any more.
MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True)
class KnownFailure:
    """A line of the list: ``test id | cause | issue``."""

    test_id: str
    cause: str
    issue: str


def known_failures() -> list[KnownFailure]:
    """Return the list; empty if there is none."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = [
        line for line in KNOWN_FAILURES_FILE.read_text().splitlines() if line.strip()
    ]
    if len(lines) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"{KNOWN_FAILURES_FILE.name} lists over {MAX_KNOWN_FAILURES} tests"
        )
    return [_parse_line(line) for line in lines]


def _parse_line(line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 3:
        raise pytest.UsageError(
            f"{KNOWN_FAILURES_FILE.name}: not 'test | cause | issue': {line}"
        )
    return KnownFailure(*fields)


@pytest.fixture
def host(monkeypatch: pytest.MonkeyPatch) -> Host:
    """The host of the test's process, which can be suspended."""
    return new_host(monkeypatch)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let listed tests fail an assertion; one that passes must come off the list."""
    items_by_id = {item.nodeid: item for item in items}
    test_files = {item.nodeid.partition("::")[0] for item in items}
    for failure in known_failures():
        item = items_by_id.get(failure.test_id)
        if item is not None:
            item.add_marker(
                pytest.mark.xfail(
                    reason=failure.cause, strict=True, raises=AssertionError
                )
            )
        elif len(items_by_id) > 1 and failure.test_id.partition("::")[0] in test_files:
            raise pytest.UsageError(
                f"{KNOWN_FAILURES_FILE.name}: no test {failure.test_id}"
            )
