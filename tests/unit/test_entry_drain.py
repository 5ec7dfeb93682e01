"""The planned stop of an entry that serves callers: how long it waits, and for what.

Guards against an entry that is killed with answers in flight because its drain takes
longer than the settings say, or that exits before callers have read their answers.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from railfold._internal.decisions.claims import ClaimKey, ClaimWrite
from railfold._internal.entry.answers import Reply
from railfold._internal.entry.dispatch import Dispatcher
from railfold._internal.entry.parsing import RequestParser
from railfold._internal.entry.process import Entry
from railfold._internal.errors import EntryStoppingError, LogUnavailableError
from railfold._internal.settings.models import EntrySettings
from railfold._internal.store.log import LogClient
from standins.cluster import free_port

NOTICE_S = 5.0
DRAIN_S = 20.0

# More than the sockets' buffers hold.
ANSWER_BYTES = 32 * 1024 * 1024


def make_entry(port: int = 1, notice_s: float = NOTICE_S) -> Entry:
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
        "drain": {"notice_s": notice_s, "timeout_s": DRAIN_S},
    }
    return Entry(EntrySettings.model_validate(settings))


@pytest.mark.looptime
async def test_drain_that_stays_busy_ends_within_its_timeout() -> None:
    entry = make_entry()
    entry._caller_services.open_requests.add(Mock())
    started_s = asyncio.get_running_loop().time()
    await entry.drain()
    duration_s = asyncio.get_running_loop().time() - started_s
    assert duration_s == pytest.approx(DRAIN_S, abs=0.1)


@pytest.mark.looptime
async def test_claim_that_is_pending_when_the_entry_exits_ends_unsettled() -> None:
    entry = make_entry()
    key = ClaimKey("quality", "k1")
    write = ClaimWrite(key, "r1", "entry-0", "digest")
    claim = asyncio.create_task(entry._claims.claim(write, 60.0))
    await asyncio.sleep(1.0)
    entry._dispatcher.give_up(EntryStoppingError("the entry exits"), 1.0)
    with pytest.raises(LogUnavailableError):
        await claim
    assert asyncio.get_running_loop().time() == pytest.approx(1.0, abs=0.1)


@pytest.mark.looptime
async def test_drain_waits_until_outcomes_of_idempotency_keys_are_appended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    appended: list[object] = []

    async def append_slowly(self: LogClient, stream: str, bodies: list[object]) -> None:
        await asyncio.sleep(1.0)
        appended.extend(bodies)

    monkeypatch.setattr(LogClient, "append", append_slowly)
    entry = make_entry(notice_s=0.0)
    appender = asyncio.create_task(entry._appender.run(asyncio.Event()))
    key = ClaimKey("quality", "k1")
    entry._claims.complete(key, "r1", "answered", 200, "text/plain", b"")
    await entry.drain()
    assert len(appended) == 1
    appender.cancel()


async def answer_at_once(self: Dispatcher, parsed: object) -> Reply:
    return Reply(200, "answered", bytes(ANSWER_BYTES))


def accept_call(*_: object) -> SimpleNamespace:
    return SimpleNamespace(request=SimpleNamespace(request_id="r1"))


async def test_drain_waits_until_a_slow_caller_has_read_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Entry, "_refusal_reasons", lambda _: [])
    monkeypatch.setattr(RequestParser, "parse_service", accept_call)
    monkeypatch.setattr(Dispatcher, "call", answer_at_once)
    port = free_port()
    entry = make_entry(port, notice_s=0.0)
    ready = asyncio.Event()
    server = asyncio.create_task(entry._callers.run(ready))
    await ready.wait()
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    writer.write(b"POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    drain = asyncio.create_task(entry.drain())
    await asyncio.sleep(0.3)
    assert not drain.done()
    assert len(await reader.readexactly(ANSWER_BYTES)) == ANSWER_BYTES
    await drain
    writer.close()
    server.cancel()
    await asyncio.gather(server, return_exceptions=True)
