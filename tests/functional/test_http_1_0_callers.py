"""Callers that speak HTTP/1.0, whose streams end with their connection."""

from __future__ import annotations

import json
import socket
from urllib.parse import urlsplit

import pytest

from standins.cluster import PIPELINE, Cluster, caller_headers


@pytest.mark.parametrize("connection", ["close", "keep-alive"])
def test_stream_of_an_http_1_0_caller_ends_with_its_connection(
    cluster: Cluster, connection: str
) -> None:
    address = urlsplit(cluster.callers_url(0))
    body = json.dumps({"prompt": "p", "max_tokens": 5, "stream": True}).encode()
    headers = {
        **caller_headers(),
        "Host": address.netloc,
        "Connection": connection,
        "Content-Length": str(len(body)),
    }
    lines = [f"POST /v1/pipelines/{PIPELINE}/generate HTTP/1.0"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    with socket.create_connection((address.hostname, address.port), 5.0) as caller:
        caller.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = b""
        while data := caller.recv(65536):
            answer += data
    head, _, events = answer.partition(b"\r\n\r\n")
    assert b"Connection: close" in head
    assert b"chunked" not in head
    assert events.count(b"event: outcome") == 1
