"""Counters and log lines of answers that were skipped, cut or surplus."""

from __future__ import annotations

import asyncio

from tests.lib.forwarding import Deployment, until


def counter(deployment: Deployment, name: str) -> int:
    return deployment.entry.metrics.counters[name]


async def test_skipped_answer_is_logged_with_both_requests(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.mode = "foreign"
    await deployment.ask("/tray/1", "p-1")
    lines = [e for e in deployment.log_lines() if e["type"] == "answer_unmatched"]
    (line,) = lines
    assert (line["kind"], line["request_id"]) == ("skipped", "p-1")
    assert (line["named_id"], line["status"]) == ("another-request", 200)
    assert counter(deployment, "answers.skipped") == 1


async def test_second_answer_is_counted_once(deployment: Deployment) -> None:
    for server in deployment.plain:
        server.mode = "surplus"
    await deployment.ask("/tray/1", "p-1")
    await until(lambda: counter(deployment, "answers.surplus") == 1)
    await asyncio.sleep(0.05)
    assert counter(deployment, "answers.surplus") == 1


async def test_answer_that_is_reset_is_counted_as_cut(deployment: Deployment) -> None:
    for server in deployment.plain:
        server.mode = "unframed reset"
    await deployment.ask("/slip/1", "p-1")
    causes = [
        e["cause"] for e in deployment.log_lines() if e["type"] == "attempt_ended"
    ]
    assert causes == ["the connection was closed within the body of the answer"]
    assert counter(deployment, "answers.cut") == 1
