"""Comparison of links between stages: a grpcio stream and a tornado stream.

Two processes exchange frames like those between stages, in the real encoding. Measures
the round trip time, the frames per second with many in flight, and the number of
threads.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import struct
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import grpc
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from benchmarks.lib import print_table, run
from railfold._internal.core import LayerRange, StageRun
from railfold._internal.links.messages import (
    Activation,
    Frame,
    decode_frame,
    encode_frame,
)

SEQUENCES = (1, 8, 64)
STATE_BYTES = 64
ROUND_TRIPS = 1000
PIPELINED_FRAMES = 5000
MAX_FRAMES_IN_FLIGHT = 64
LENGTH_PREFIX = struct.Struct(">I")


@dataclass(frozen=True)
class Channel:
    """One end of a measured link."""

    send: Callable[[bytes], Awaitable[None]]
    receive: Callable[[], Awaitable[bytes]]


def frame(sequences: int) -> Frame:
    """Return a frame of activations that the second stage of a chain sends."""
    lineage = tuple(
        StageRun(f"meter-{i}", 1, 1, LayerRange(i * 4, i * 4 + 3)) for i in range(2)
    )
    return Frame(
        7,
        activations=[
            Activation(f"{n:032x}", 1, 100, bytes(STATE_BYTES), lineage)
            for n in range(sequences)
        ],
    )


async def grpc_echo(port: Any) -> None:
    """Serve an echo over a grpcio stream; put its port number into ``port``."""

    async def echo(requests: Any, context: Any) -> Any:
        async for data in requests:
            yield encode_frame(decode_frame(data))

    server = grpc.aio.server()
    handler = grpc.stream_stream_rpc_method_handler(echo)
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("Link", {"Frames": handler}),)
    )
    port.put(server.add_insecure_port("127.0.0.1:0"))
    await server.start()
    await server.wait_for_termination()


async def grpc_channel(port: int) -> Channel:
    """Open a grpcio stream to a loopback port."""
    call = grpc.aio.insecure_channel(f"127.0.0.1:{port}").stream_stream(
        "/Link/Frames"
    )()
    return Channel(call.write, call.read)


async def tornado_echo(port: Any) -> None:
    """Serve an echo over a tornado stream; put its port number into ``port``."""

    class Echo(TCPServer):
        async def handle_stream(self, stream: Any, address: Any) -> None:
            stream.set_nodelay(True)
            try:
                while True:
                    (size,) = LENGTH_PREFIX.unpack(
                        await stream.read_bytes(LENGTH_PREFIX.size)
                    )
                    data = await stream.read_bytes(size)
                    response = encode_frame(decode_frame(data))
                    stream.write(LENGTH_PREFIX.pack(len(response)) + response)
            except StreamClosedError:
                return

    server = Echo()
    server.listen(0, "127.0.0.1")
    sockets = list(server._sockets.values())
    port.put(sockets[0].getsockname()[1])
    await asyncio.Event().wait()


async def tornado_channel(port: int) -> Channel:
    """Open a tornado stream to a loopback port."""
    stream = await TCPClient().connect("127.0.0.1", port)
    stream.set_nodelay(True)

    async def send(data: bytes) -> None:
        stream.write(LENGTH_PREFIX.pack(len(data)) + data)

    async def receive() -> bytes:
        (size,) = LENGTH_PREFIX.unpack(await stream.read_bytes(LENGTH_PREFIX.size))
        return await stream.read_bytes(size)

    return Channel(send, receive)


def serve(kind: str, port: Any) -> None:
    """Run an echo server, as the main function of the child process."""
    asyncio.run(grpc_echo(port) if kind == "grpcio" else tornado_echo(port))


async def measure(channel: Channel, sequences: int) -> tuple[float, float, float]:
    """Return the round trip in us, frames per second and processor us per frame.

    The processor time is that of this end.
    """
    sample_frame = frame(sequences)

    async def exchange() -> None:
        await channel.send(encode_frame(sample_frame))
        decode_frame(await channel.receive())

    for _ in range(100):
        await exchange()
    started_s = time.perf_counter()
    for _ in range(ROUND_TRIPS):
        await exchange()
    round_trip_s = (time.perf_counter() - started_s) / ROUND_TRIPS
    window = asyncio.Semaphore(MAX_FRAMES_IN_FLIGHT)

    async def send_all() -> None:
        for _ in range(PIPELINED_FRAMES):
            await window.acquire()
            await channel.send(encode_frame(sample_frame))

    async def receive_all() -> None:
        for _ in range(PIPELINED_FRAMES):
            decode_frame(await channel.receive())
            window.release()

    started_s, cpu_s = time.perf_counter(), time.process_time()
    await asyncio.gather(send_all(), receive_all())
    wall_s = time.perf_counter() - started_s
    cpu_us = (time.process_time() - cpu_s) / PIPELINED_FRAMES * 1e6
    return round_trip_s * 1e6, PIPELINED_FRAMES / wall_s, cpu_us


async def main() -> None:
    """Run the measurements and print the table."""
    rows = []
    context = multiprocessing.get_context("spawn")
    connectors = {"tornado": tornado_channel, "grpcio": grpc_channel}
    for sequences in SEQUENCES:
        for kind, connect in connectors.items():
            port = context.Queue()
            server = context.Process(target=serve, args=(kind, port), daemon=True)
            server.start()
            port_number = await asyncio.to_thread(port.get)
            channel = await connect(port_number)
            figures = await measure(channel, sequences)
            size = len(encode_frame(frame(sequences)))
            rows.append([kind, sequences, size, *figures, threading.active_count()])
            server.kill()
            server.join()
    print_table(
        "one link, frames as between stages",
        [
            "link",
            "sequences",
            "bytes",
            "round trip us",
            "frames/s",
            "cpu us/frame",
            "threads",
        ],
        rows,
    )


if __name__ == "__main__":
    run(main())
