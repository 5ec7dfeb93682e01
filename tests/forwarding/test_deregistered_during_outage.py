"""A server that deregisters while an entry can't read the store gets no new requests.

The failure: one entry can't read the store for 6 s. In the meantime an engine announces
that it leaves, and its registration is removed. The entry then reads a complete copy of
the registrations without the engine. Since registrations may also lapse because of the
outage itself, the entry applies such a removal only 2.3 s later, and it went on sending
requests to the engine until then. Requests reached the engine 3 s after it had
announced that it leaves, where 2 s are allowed.
"""

from __future__ import annotations

from tests.lib.forwarding import Deployment, until


async def test_a_server_missing_after_a_store_outage_gets_no_new_requests(
    deployment: Deployment,
) -> None:
    """The other engines, which are still registered, serve the requests."""
    engine = deployment.first_stage_engines[0]
    entry = deployment.entry
    deployment.store.mode = "out"
    await until(lambda: not entry._store_reachable.is_set())
    engine.deregister()
    deployment.store.topic("keyed.servers").forget()
    deployment.store.mode = "ok"
    directory = entry.router.directory

    def removal_waits() -> bool:
        known = directory.get_by_registered_id(engine.server_id)
        return known is not None and known.removal_due_s is not None

    await until(removal_waits)
    for number in range(8):
        reply = await deployment.ask("/draft/1", f"late-{number}", events=2)
        assert reply.status == 200
    assert not [run for run in engine.run_counts if run.startswith("late")]
