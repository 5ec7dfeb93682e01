"""A server that leaves while an entry can't read the store gets no new work after it.

What users saw: requests reached an engine 3 s after it had said that it leaves, where
2 s are allowed, for a second after one entry had been turned away by the store.

The order of events: one entry can't read the store for 6 s, the others can; an engine
says that it leaves, and its registration disappears; the entry reads a whole copy in
which that engine is missing. Since registrations may lapse with the store, a removal
that is read after an outage counts 2.3 s later, and until then the engine gets work.

The cause: what may be missing for either reason is used like what is there. The
evidence: the entry's own log of such a day tells "removal waits" for the engine 1.9 s
before the first late request, and nothing else of it.
"""

from __future__ import annotations

from tests.lib.forwarding import Deployment, until


async def test_a_server_that_is_missing_after_an_outage_gets_no_new_work(
    deployment: Deployment,
) -> None:
    """Others that are there serve as well."""
    engine = deployment.first_stage_engines[0]
    entry = deployment.entry
    deployment.store.mode = "out"
    await until(lambda: not entry._store_reachable.is_set())
    engine.deregister()
    deployment.store.topic("keyed.servers").forget()
    deployment.store.mode = "ok"
    directory = entry.router.directory

    def waits() -> bool:
        known = directory.get_by_registered_id(engine.server_id)
        return known is not None and known.removal_due_s is not None

    await until(waits)
    for number in range(8):
        reply = await deployment.ask("/draft/1", f"late-{number}", events=2)
        assert reply.status == 200
    assert not [run for run in engine.runs if run.startswith("late")]
