"""The planned stop of an entry that serves callers keeps its times.

Guards against an entry that is killed with answers in flight because its drain takes
longer than the settings say.
"""

from __future__ import annotations

import asyncio

import pytest

from railfold._internal.entry.process import Entry
from railfold._internal.settings.models import EntrySettings

NOTICE_S = 5.0
DRAIN_S = 20.0


def make_entry(port: int = 1) -> Entry:
    """Return an entry that isn't started."""
    settings = {
        "role": "entry",
        "name": "entry-0",
        "region": "west",
        "failure_domain": "hall-a",
        "listen": {"callers": f"127.0.0.1:{port}", "operators": "127.0.0.1:1"},
        "platform": {
            "log_url": "http://127.0.0.1:1",
            "hosts_url": "http://127.0.0.1:1",
        },
        "drain": {"notice_s": NOTICE_S, "timeout_s": DRAIN_S},
    }
    return Entry(EntrySettings.model_validate(settings))


@pytest.mark.looptime
async def test_drain_that_stays_busy_ends_within_its_timeout() -> None:
    entry = make_entry()
    entry._agents.register("r1", object())  # type: ignore[arg-type]
    started_s = asyncio.get_running_loop().time()
    await entry.drain()
    duration_s = asyncio.get_running_loop().time() - started_s
    assert duration_s == pytest.approx(DRAIN_S, abs=0.1)
