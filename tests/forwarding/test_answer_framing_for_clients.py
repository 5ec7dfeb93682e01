"""How answers are framed for clients of different protocol versions and methods."""

from __future__ import annotations

import asyncio

import pytest

from tests.lib.forwarding import (
    HOST,
    KEY,
    WAIT_S,
    Connection,
    Deployment,
    stream_body,
    until,
)


async def send_http_1_0(
    deployment: Deployment, path: str, *, events: int = 10, keep_alive: bool = False
) -> Connection:
    """Send a request as an HTTP/1.0 client."""
    connection = await deployment.connect()
    kept = "Connection: keep-alive\r\n" if keep_alive else ""
    connection.writer.write(
        f"POST {path} HTTP/1.0\r\nHost: {HOST}\r\nRailfold-Attempt-Id: r-1\r\n"
        f"Railfold-Token-Counts: 10,{events}\r\nAuthorization: Bearer {KEY}\r\n"
        f"{kept}Content-Length: 4\r\n\r\nslip".encode()
    )
    return connection


async def read_to_end(connection: Connection) -> bytes:
    """Read until the connection is closed; raise an error if it is reset."""
    return await asyncio.wait_for(connection.reader.read(), WAIT_S)


@pytest.mark.parametrize("keep_alive", [False, True])
async def test_stream_of_an_http_1_0_client_ends_with_its_connection(
    deployment: Deployment, keep_alive: bool
) -> None:
    connection = await send_http_1_0(deployment, "/draft/1", keep_alive=keep_alive)
    answer = await read_to_end(connection)
    assert answer.endswith(b"\r\n\r\n" + stream_body(10))
    assert b"\r\nConnection: close\r\n" in answer


async def test_plain_answer_of_an_http_1_0_client_is_whole(
    deployment: Deployment,
) -> None:
    connection = await send_http_1_0(deployment, "/slip/1", keep_alive=True)
    answer = await read_to_end(connection)
    assert answer.endswith(b"\r\n\r\nrecord of r-1")
    assert b"\r\nContent-Length: 13\r\n" in answer


async def test_cut_stream_of_an_http_1_0_client_does_not_look_complete(
    deployment: Deployment,
) -> None:
    connection = await send_http_1_0(deployment, "/draft/1", events=60)
    await until(lambda: any(e.run_counts["r-1"] for e in deployment.engines))
    await asyncio.sleep(0.1)
    for engine in deployment.engines:
        engine.mode = "shed"
    (running,) = [e for e in deployment.engines if e.run_counts["r-1"]]
    running.crash()
    with pytest.raises(ConnectionResetError):
        await read_to_end(connection)


@pytest.mark.parametrize(
    ("method", "answer", "length"),
    [
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", ""),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "9"),
        ("GET", b"HTTP/1.1 304 Not Modified\r\n\r\n", ""),
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "9"),
        ("HEAD", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""),
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsurplus..", "9"),
    ],
)
async def test_answer_without_a_body_has_the_length_that_its_server_names(
    deployment: Deployment, method: str, answer: bytes, length: str
) -> None:
    for server in deployment.plain:
        server.raw_answer = answer
    connection = await deployment.connect()
    for number in range(2):
        # The second answer would be taken for a body that the first has not.
        await connection.send("/tray/1", f"r-{number}", method=method, body=b"")
        status, headers = await asyncio.wait_for(connection.read_head(), WAIT_S)
        assert status == int(answer.split()[1])
        assert headers["Railfold-Attempt-Id"] == f"r-{number}"
        assert headers.get("Content-Length", "") == length
        assert "Transfer-Encoding" not in headers
    assert connection.unread() == b""
    connection.close()
