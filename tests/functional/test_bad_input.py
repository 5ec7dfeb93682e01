"""Invalid requests get a typed error immediately and never reach an engine.

The tests guard against malformed, oversized or slow requests that use up an entry or
pass unchecked values on to an engine.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from urllib.parse import urlsplit

import pytest

from standins.cluster import PIPELINE, Cluster, EngineHost, caller_headers, get
from tests.lib.callers import Answer, generate, send

HOST = EngineHost("meter-a1", 0, 11)
ENTRY_OVERRIDES = {"callers": {"max_body_bytes": 4096, "body_timeout_s": 0.5}}


@pytest.fixture(scope="module")
def one_host_cluster() -> Iterator[Cluster]:
    """Run one entry and one agent; check that its engine got no request."""
    with Cluster([HOST], entry_overrides=ENTRY_OVERRIDES) as cluster:
        yield cluster
        assert get(f"{cluster.engine_url(HOST.host)}/v1/status")["started"] == 0


def post_generate(cluster: Cluster, body: object, **headers: str) -> Answer:
    url = f"{cluster.callers_url()}/v1/pipelines/{PIPELINE}/generate"
    return send(url, body, headers=caller_headers(**headers))


def assert_refused(answer: Answer, status: int, code: str) -> None:
    assert (answer.status, answer.body["code"]) == (status, code)
    assert answer.outcome == answer.body["outcome"] == "not_run"
    assert answer.body["what"]


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[]",
        b"\xff\xfe",
        {"prompt": ""},
        {"prompt": 7},
        {"prompt": "x", "max_tokens": 0},
        {"prompt": "x", "max_tokens": "many"},
        {"prompt": "x", "max_tokens": 1_000_000},
        {"prompt": "x", "unknown_field": 1},
    ],
)
def test_invalid_body_is_refused(one_host_cluster: Cluster, body: object) -> None:
    assert_refused(post_generate(one_host_cluster, body), 400, "invalid_request")


@pytest.mark.parametrize(
    "headers",
    [
        {"Railfold_Deadline_Ms": "soon"},
        {"Railfold_Deadline_Ms": "999999999999"},
        {"Railfold_Priority": "-1"},
        {"Railfold_Priority": "10"},
        {"Railfold_Repeatable": "maybe"},
        {"Idempotency_Key": "k" * 300},
    ],
)
def test_invalid_header_is_refused(
    one_host_cluster: Cluster, headers: dict[str, str]
) -> None:
    answer = post_generate(one_host_cluster, {"prompt": "x"}, **headers)
    assert_refused(answer, 400, "invalid_request")


def test_expired_deadline_is_refused(one_host_cluster: Cluster) -> None:
    answer = generate(one_host_cluster.callers_url(), "x", 4, Railfold_Deadline_Ms="0")
    assert_refused(answer, 504, "deadline_expired")


# Different errors would reveal which workspaces exist.
def test_wrong_credential_and_unknown_workspace_get_the_same_error(
    one_host_cluster: Cluster,
) -> None:
    wrong_credential = generate(
        one_host_cluster.callers_url(), "x", 4, Authorization="Bearer guess"
    )
    unknown_workspace = post_generate(
        one_host_cluster, {"prompt": "x"}, workspace="nobody"
    )
    assert_refused(wrong_credential, 401, "unauthorized")
    assert_refused(unknown_workspace, 401, "unauthorized")
    assert wrong_credential.body["what"] == unknown_workspace.body["what"]


def test_unknown_pipeline_and_path_are_refused(one_host_cluster: Cluster) -> None:
    url = one_host_cluster.callers_url()
    answer = send(f"{url}/v1/pipelines/nothing/generate", {"prompt": "x"})
    assert_refused(answer, 404, "unknown_target")
    assert_refused(send(f"{url}/v2/anything", {}), 404, "unknown_target")


def test_wrong_method_is_refused(one_host_cluster: Cluster) -> None:
    url = f"{one_host_cluster.callers_url()}/v1/pipelines/{PIPELINE}/generate"
    assert send(url, method="GET").status == 405


def test_body_over_the_limit_is_refused(one_host_cluster: Cluster) -> None:
    answer = post_generate(one_host_cluster, {"prompt": "x" * 5000})
    assert_refused(answer, 413, "body_too_large")


def test_headers_over_the_limit_are_refused(one_host_cluster: Cluster) -> None:
    answer = post_generate(one_host_cluster, {"prompt": "x"}, X_Filler="y" * 20_000)
    assert_refused(answer, 431, "headers_too_large")


def send_raw(cluster: Cluster, *parts: bytes) -> bytes:
    """Send raw bytes; return all bytes received until the connection closes."""
    address = urlsplit(cluster.callers_url())
    with socket.create_connection((address.hostname, address.port), 20.0) as connection:
        for part in parts:
            connection.sendall(part)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
    return received


def request_head(*extra_headers: str) -> bytes:
    lines = [f"POST /v1/pipelines/{PIPELINE}/generate HTTP/1.1", "Host: x"]
    lines += [f"{name}: {value}" for name, value in caller_headers().items()]
    return "\r\n".join([*lines, *extra_headers, "", ""]).encode()


# A caller that never finishes its body must not hold its connection indefinitely.
def test_slow_body_is_refused(one_host_cluster: Cluster) -> None:
    answer = send_raw(
        one_host_cluster, request_head("Content-Length: 100"), b'{"prompt"'
    )
    assert b" 408 " in answer.splitlines()[0]
    assert b'"request_timeout"' in answer


# A chunked body has no Content-Length header that could be checked before it is read.
def test_chunked_body_over_the_limit_is_refused(one_host_cluster: Cluster) -> None:
    chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
    head = request_head("Transfer-Encoding: chunked")
    answer = send_raw(one_host_cluster, head, chunk, chunk)
    assert b" 413 " in answer.splitlines()[0]
    assert b'"body_too_large"' in answer
