"""Streams that are resumed at a server whose answer isn't a stream of events."""

from __future__ import annotations

import pytest

from standins.broken_answers import RESUMED_FORMS
from tests.lib.forwarding import (
    Deployment,
    MalformedAnswerError,
    begin_stream,
    read_reply,
    stream_body,
)

EVENTS = 30


@pytest.fixture
async def resets_streams(deployment: Deployment) -> Deployment:
    """A deployment whose engines reset the connection behind each last event."""
    for engine in deployment.engines:
        engine.mode = "reset at end"
    return deployment


async def answer_when_resumed(deployment: Deployment, form: str) -> str:
    """Ask for a stream, whose resumed part has a form; return what is wrong."""
    for engine in deployment.engines:
        engine.resumed_form = form
    try:
        reply = await deployment.ask(
            "/draft/1", "s-" + form.replace(" ", "-"), events=EVENTS
        )
    except (MalformedAnswerError, TimeoutError) as error:
        return f"{form}: {error!r}"
    if reply.body != stream_body(EVENTS):
        return f"{form}: {len(reply.body)} bytes of the body, ending {reply.body[-40:]}"
    return ""


async def test_head_or_body_of_another_answer_is_never_sent_within_a_stream(
    resets_streams: Deployment,
) -> None:
    wrong = [await answer_when_resumed(resets_streams, form) for form in RESUMED_FORMS]
    assert not any(wrong), wrong


async def test_stream_is_whole_if_the_resuming_server_has_no_more_events(
    resets_streams: Deployment,
) -> None:
    for engine in resets_streams.engines:
        engine.resumed_form = "204"
    reply = await resets_streams.ask("/draft/1", "s-1", events=EVENTS)
    assert (reply.complete, reply.body) == (True, stream_body(EVENTS))


async def test_stream_that_no_server_continues_is_cut_visibly(
    deployment: Deployment,
) -> None:
    connection, engine = await begin_stream(deployment)
    for other in deployment.engines:
        other.resumed_form = "404"
    engine.crash()
    reply = await read_reply(connection)
    assert not reply.complete
    assert reply.body
    assert stream_body(60).startswith(reply.body)
    assert deployment.entry.metrics.counters["streams.not_continued"] == 1
