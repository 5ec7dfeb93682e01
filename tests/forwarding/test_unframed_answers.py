"""Answers with neither length nor chunks, which end with their connection.

Their end must count as complete, unless a stream ends within an event or the connection
is reset.
"""

from __future__ import annotations

import pytest

from tests.lib.forwarding import Deployment, run_count, stream_body


def set_mode(deployment: Deployment, mode: str) -> None:
    for server in (*deployment.engines, *deployment.plain):
        server.mode = mode


@pytest.mark.parametrize("path", ["/tray/1", "/slip/1"])
async def test_plain_answer_that_ends_with_its_connection_is_complete(
    deployment: Deployment, path: str
) -> None:
    set_mode(deployment, "unframed")
    reply = await deployment.ask(path, "p-1")
    assert (reply.status, reply.body) == (200, b"record of p-1")
    assert run_count(deployment, "p-1") == 1


async def test_stream_that_ends_with_its_connection_is_complete(
    deployment: Deployment,
) -> None:
    set_mode(deployment, "unframed")
    reply = await deployment.ask("/draft/1", "s-1", events=30)
    assert (reply.complete, reply.body) == (True, stream_body(30))
    assert run_count(deployment, "s-1") == 1


@pytest.mark.parametrize("mode", ["unframed cut", "unframed reset"])
async def test_stream_that_is_cut_or_reset_resumes_with_each_event_once(
    deployment: Deployment, mode: str
) -> None:
    set_mode(deployment, mode)
    reply = await deployment.ask("/draft/1", "s-1", events=31)
    assert (reply.complete, reply.body) == (True, stream_body(31))
    assert run_count(deployment, "s-1") == 2


async def test_plain_answer_that_is_reset_is_repeated_if_its_route_allows_it(
    deployment: Deployment,
) -> None:
    set_mode(deployment, "unframed reset")
    reply = await deployment.ask("/tray/1", "p-1")
    assert (reply.status, reply.body) == (200, b"record of p-1")
    assert run_count(deployment, "p-1") == 2


async def test_plain_answer_that_is_reset_is_not_a_success(
    deployment: Deployment,
) -> None:
    set_mode(deployment, "unframed reset")
    reply = await deployment.ask("/slip/1", "p-1")
    assert reply.status >= 500
    assert run_count(deployment, "p-1") == 1
