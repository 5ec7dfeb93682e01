"""A backend server that says how many requests a second it takes gets no more.

What operators saw: a server in need named a limit of 1.4 requests a second in all its
answers, and got 23 requests within 4 s from entries that it had told.

The order of events: it names the limit; each entry passes its answers on, with the
limit in them; all entries go on sending to it as before, for as long as it says so.
"""

from __future__ import annotations

import pytest

from tests.lib.forwarding import Deployment, running
from tests.lib.limits import Load, allowed, play

STREAM = "/draft/1"

PER_S = 24.0


@pytest.mark.parametrize("entries", [1, 5])
async def test_one_of_two_first_engines_names_a_limit(entries: int) -> None:
    async for deployment in running(Deployment(entry_count=entries)):
        server = deployment.first_engines[0]
        load = Load(deployment, STREAM, PER_S)
        outcome = await play(deployment, load, {server.server_id: "1.4"})
        assert outcome.most(server) <= allowed(1.4)
