"""Sessions with two deployments produce the answers in the snapshot files.

Guards against unintended changes of statuses, headers and bodies that callers see.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from standins.cluster import PIPELINE, SERVICE, Cluster, EngineHost, stream_generate
from tests.lib.callers import Answer, generate, log_slip, send


@dataclass(frozen=True)
class Deployment:
    """A deployment's domains and workspaces, reduced to one host for each stage."""

    name: str
    domains: tuple[str, str, str]
    workspaces: dict[str, dict[str, Any]] = field(default_factory=dict)


DEPLOYMENTS = [
    Deployment(
        "prairie_basin",
        ("hall-a", "hall-b", "depot-c"),
        {"quality": {"weight": 4.0}, "records": {"policy": '{"max_tokens": 3}'}},
    ),
    Deployment(
        "sapatura",
        ("hall-cluj", "hall-sibiu", "hall-brasov"),
        {"quality": {}, "records": {"policy": '{"admit": request.priority > 0}'}},
    ),
]


def comparable_answer(answer: Answer) -> dict[str, Any]:
    """Return the parts of an answer that are the same in each run."""
    compared_headers = ("Railfold-Outcome", "Content-Type", "Railfold-Replayed")
    body = answer.body
    if isinstance(body, dict):
        body = {
            name: value
            for name, value in body.items()
            if name not in ("request_id", "retry_after_s")
        }
    headers = {
        name: value
        for name, value in answer.headers.items()
        if name in compared_headers
    }
    return {"status": answer.status, "headers": headers, "body": body}


def comparable_stream(cluster: Cluster, prompt: str) -> list[Any]:
    """Stream an answer; return its text and outcome.

    The text is joined, because the number of tokens in an event differs between runs.
    """
    events = list(stream_generate(cluster.callers_url(), prompt, 8))
    text = "".join(event.data["text"] for event in events if event.name == "tokens")
    outcome = {
        name: value for name, value in events[-1].data.items() if name != "request_id"
    }
    return [text, outcome]


@pytest.mark.parametrize(
    "deployment", DEPLOYMENTS, ids=lambda deployment: deployment.name
)
def test_session(deployment: Deployment, snapshot: SnapshotAssertion) -> None:
    hosts = [
        EngineHost(f"runner-{index}", index * 4, index * 4 + 3, domain)
        for index, domain in enumerate(deployment.domains)
    ]
    with Cluster(hosts, service_hosts=1, workspaces=deployment.workspaces) as cluster:
        url = cluster.callers_url()
        session = {
            "answer": comparable_answer(generate(url, "unit 1", 5)),
            "stream": comparable_stream(cluster, "unit 2"),
            "policy": comparable_answer(
                generate(url, "unit 3", 5, workspace="records")
            ),
            "call": comparable_answer(log_slip(url, "slip-1")),
            "read": comparable_answer(
                send(f"{url}/v1/services/{SERVICE}/slips", method="GET")
            ),
            "wrong body": comparable_answer(
                send(f"{url}/v1/pipelines/{PIPELINE}/generate", [])
            ),
            "no such service": comparable_answer(send(f"{url}/v1/services/none/x", {})),
        }
    assert json.dumps(session, indent=1, sort_keys=True) == snapshot
