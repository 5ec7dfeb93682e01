"""The store comes back from a copy that is some seconds old.

What it had acknowledged since is gone, and its offsets are given out again. What the
operator and the servers wrote is written again within about two seconds; what entries
wrote is theirs to write again.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from railfold._internal.core import Address
from railfold._internal.decisions.log_epoch import LOG_RECOVERY_S
from railfold._internal.decisions.quarantine import Crash, RequestContent
from railfold._internal.forwarding.store.shared_records import KEY_NAME
from railfold._internal.platform.store import GroupLease
from standins.metadata_store import PARTITIONS, StoreCopy
from tests.lib.forwarding import KEY, Deployment, configuration, running, until

QUARANTINE = "keyed.railfold-quarantine"
ENTRIES = "keyed.railfold-entries"


@pytest.fixture
async def short_lease() -> AsyncIterator[Deployment]:
    async for deployment in running(Deployment(lease_s=1.0)):
        yield deployment


@pytest.fixture
async def long_lease() -> AsyncIterator[Deployment]:
    async for deployment in running(Deployment(lease_s=10.0)):
        yield deployment


async def lose_store(deployment: Deployment) -> None:
    """Let the store be away, so that all reads that wait have ended."""
    deployment.store.mode = "out"
    for entry in deployment.entries:
        await until(lambda e=entry: not e._store_reachable.is_set())  # type: ignore[misc]


async def come_back(deployment: Deployment, copy: StoreCopy) -> None:
    """Let it come back from a copy; return when all entries have read it."""
    deployment.store.go_back(copy)
    deployment.store.mode = "ok"
    for entry in deployment.entries:
        await until(entry._store_reachable.is_set)
    await asyncio.sleep(0.4)


async def test_what_stands_at_offsets_given_out_again_is_read(
    deployment: Deployment,
) -> None:
    """The stream has grown beyond where the reader was when it is asked again."""
    store = deployment.store
    router = deployment.entry.router
    copy = store.copy()
    for number in range(5):
        store.put("keyed.op", "else", {"n": number})
    store.put("keyed.op", "config", configuration(2))
    await until(lambda: router.table is not None and router.table.version == 2)
    await lose_store(deployment)
    store.go_back(copy)
    store.put("keyed.op", "config", configuration(3))
    for number in range(9):
        store.put("keyed.op", "else", {"n": number})
    store.mode = "ok"
    await until(lambda: router.table is not None and router.table.version == 3)


async def test_a_configuration_doesnt_go_back(deployment: Deployment) -> None:
    copy = deployment.store.copy()
    deployment.store.put("keyed.op", "config", configuration(2, tenants=[]))
    router = deployment.entry.router
    await until(lambda: router.table is not None and router.table.version == 2)
    await lose_store(deployment)
    await come_back(deployment, copy)
    await asyncio.sleep(0.5)
    assert router.table is not None
    assert router.table.version == 2
    assert (await deployment.ask("/tray/1", "r-old-key")).status == 401


async def test_what_it_may_have_lost_of_credentials_isnt_taken_for_proved(
    short_lease: Deployment,
) -> None:
    """The removal of a credential was acknowledged, read by nobody, and lost."""
    deployment = short_lease
    copy = deployment.store.copy()
    await lose_store(deployment)
    lease = deployment.entry.router.lease
    loop = asyncio.get_running_loop()
    await until(lambda: not lease.valid(loop.time()))
    back_s = loop.time()
    await come_back(deployment, copy)
    while loop.time() < back_s + LOG_RECOVERY_S - 0.2:
        assert (await deployment.ask("/tray/1", "r-early")).status == 503
        await asyncio.sleep(0.1)
    tenants = [{"name": "quality", "api_keys": ["another"], "priority": 1}]
    deployment.store.put("keyed.op", "config", configuration(2, tenants=tenants))
    await until(lambda: lease.valid(loop.time()))
    assert (await deployment.ask("/tray/1", "r-late", key=KEY)).status == 401
    assert not [s for s in deployment.plain if s.runs["r-early"] or s.runs["r-late"]]


async def test_an_older_copy_proves_nothing_until_the_newer_one_is_back(
    short_lease: Deployment,
) -> None:
    deployment = short_lease
    router = deployment.entry.router
    copy = deployment.store.copy()
    deployment.store.put("keyed.op", "config", configuration(2))
    await until(lambda: router.table is not None and router.table.version == 2)
    await lose_store(deployment)
    await come_back(deployment, copy)
    await asyncio.sleep(LOG_RECOVERY_S + 1.2)
    loop = asyncio.get_running_loop()
    assert not router.lease.valid(loop.time())
    deployment.store.put("keyed.op", "config", configuration(2))
    await until(lambda: router.lease.valid(loop.time()))


async def test_servers_that_the_copy_lacks_stay_in_use(long_lease: Deployment) -> None:
    deployment = long_lease
    store = deployment.store
    for server in (*deployment.engines, *deployment.plain):
        store.topic("keyed.servers").append(server.server_id, b"")
    copy = store.copy()
    for server in (*deployment.engines, *deployment.plain):
        server.register()
    await until(deployment.all_known)
    await lose_store(deployment)
    await come_back(deployment, copy)
    for number in range(5):
        reply = await deployment.ask("/draft/1", f"r-{number}", events=2)
        assert reply.status == 200
        await asyncio.sleep(0.1)


async def test_a_server_that_left_since_the_copy_gets_nothing(
    long_lease: Deployment,
) -> None:
    """Its registration is there again until it lapses."""
    deployment = long_lease
    copy = deployment.store.copy()
    leaving = deployment.plain[0]
    leaving.deregister()
    directory = deployment.entry.router.directory
    await until(lambda: directory.get_by_registered_id(leaving.server_id) is None)
    await lose_store(deployment)
    await come_back(deployment, copy)
    await until(deployment.entry._store_reachable.is_set)
    for number in range(12):
        assert (await deployment.ask("/tray/1", f"late-{number}")).status == 200
        await asyncio.sleep(0.1)
    assert not [run for run in leaving.runs if run.startswith("late")]


async def test_a_server_that_said_it_leaves_stays_so(long_lease: Deployment) -> None:
    deployment = long_lease
    copy = deployment.store.copy()
    leaving = deployment.plain[0]
    leaving.state = "draining"
    leaving.register()
    await until(deployment.all_known)
    await lose_store(deployment)
    await come_back(deployment, copy)
    for number in range(12):
        assert (await deployment.ask("/tray/1", f"late-{number}")).status == 200
        await asyncio.sleep(0.1)
    assert not [run for run in leaving.runs if run.startswith("late")]


async def test_what_entries_wrote_is_written_again(two_entries: Deployment) -> None:
    """The common key, what is held back, and who takes messages where."""
    deployment = two_entries
    store = deployment.store
    await until(lambda: all(entry.recognizes_requests for entry in deployment.entries))
    await until(lambda: len(store.topic(ENTRIES).newest) == 2)
    old_key = store.topic(QUARANTINE).newest[KEY_NAME][1]
    quarantine = deployment.entry._peering.quarantine._quarantine
    content, crashes = held_content(asyncio.get_running_loop().time())
    quarantine.restore_hold(content, crashes, crashes[-1].ended_s, 1)
    await lose_store(deployment)
    copy = store.copy()
    copy.topics[QUARANTINE].newest.clear()
    copy.topics[ENTRIES].newest.clear()
    await come_back(deployment, copy)
    await until(lambda: len(store.topic(ENTRIES).newest) == 2)
    await until(lambda: KEY_NAME in store.topic(QUARANTINE).newest)
    await until(lambda: content.digest in store.topic(QUARANTINE).newest)
    assert store.topic(QUARANTINE).newest[KEY_NAME][1] == old_key
    assert all(len(e._peering._channel._view) == 1 for e in deployment.entries)  # type: ignore[union-attr]


def held_content(now_s: float) -> tuple[RequestContent, list[Crash]]:
    crashes = [Crash(f"i-{n}", now_s - 3 + n, now_s - 2.9 + n, "v1") for n in range(3)]
    return RequestContent("f" * 32, "line-records", "tray", "quality"), crashes


async def test_a_fencing_token_only_rises(deployment: Deployment) -> None:
    """The group's generation falls with the store, and is given out again."""
    port = deployment._adapter._store.port
    lease = GroupLease(Address("127.0.0.1", port), "test", PARTITIONS)
    other = GroupLease(Address("127.0.0.1", port), "test", PARTITIONS)
    copy = deployment.store.copy()
    for _ in range(3):
        await other.renew("b", 1.0)
        await other.release("b")
    await lease.renew("a", 1.0)
    before = await lease.renew("a", 1.0)
    assert before.is_holder
    deployment.store.go_back(copy)
    first = await lease.renew("a", 1.0)
    # It may have been granted to another one meanwhile.
    assert not first.is_holder
    after = await lease.renew("a", 1.0)
    assert after.is_holder
    assert after.fencing_token > before.fencing_token


async def test_an_entry_that_starts_on_an_older_copy_doesnt_serve_on_it(
    long_lease: Deployment,
) -> None:
    """Another entry knows the newer one, and tells it."""
    deployment = long_lease
    copy = deployment.store.copy()
    tenants = [{"name": "quality", "api_keys": ["another"], "priority": 1}]
    deployment.store.put("keyed.op", "config", configuration(2, tenants=tenants))
    router = deployment.entry.router
    await until(lambda: router.table is not None and router.table.version == 2)
    await until(lambda: deployment.entry.recognizes_requests)
    await lose_store(deployment)
    await come_back(deployment, copy)
    deployment._settings.append(deployment._entry_settings(1))
    deployment.entry_count = 2
    deployment.run_entry(number=1)
    started = deployment.entries[1]
    loop = asyncio.get_running_loop()
    await until(lambda: started.metrics.counters["proofs.behind"] > 0)
    await until(lambda: not started.router.lease.valid(loop.time()), 1.0)
    deployment.store.put("keyed.op", "config", configuration(2, tenants=tenants))
    await until(lambda: started.router.lease.valid(loop.time()))
    assert started.router.table is not None
    assert started.router.table.version == 2
