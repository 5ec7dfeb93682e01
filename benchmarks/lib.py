"""Functions that benchmarks share: tables, process usage and load generation."""

from __future__ import annotations

import asyncio
import hashlib
import json
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import psutil
from tornado.httpclient import AsyncHTTPClient

from standins.cluster import PIPELINE, Cluster, caller_headers

MEBIBYTE = 1024 * 1024


def print_table(
    title: str, header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Print a table with aligned columns."""
    cells = [list(header)] + [[_text(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    print(f"\n{title}")
    for number, row in enumerate(cells):
        print(
            "  " + "  ".join(cell.rjust(w) for cell, w in zip(row, widths, strict=True))
        )
        if number == 0:
            print("  " + "  ".join("-" * width for width in widths))


def _text(cell: object) -> str:
    return f"{cell:.3g}" if isinstance(cell, float) else str(cell)


def percentile(values: Sequence[float], share: float) -> float:
    """Return a percentile of ``values``; ``share`` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(frozen=True)
class Usage:
    """The processor time and resident memory of a process at one moment."""

    cpu_s: float
    resident_mib: float


def read_usage(cluster: Cluster, name: str) -> Usage:
    """Return the current usage of a process of the cluster."""
    process = psutil.Process(cluster.processes[name].popen.pid)
    times = process.cpu_times()
    return Usage(times.user + times.system, process.memory_info().rss / MEBIBYTE)


@dataclass
class StreamTimes:
    """Timing of one streamed response, in seconds from the start of the request.

    ``gaps_s`` holds the time between successive tokens.
    """

    first_token_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)
    tokens: int = 0
    outcome: str = ""
    attempts: int = 0
    total_s: float = 0.0


async def stream(
    http: AsyncHTTPClient,
    base_url: str,
    prompt: str,
    max_tokens: int,
    workspace: str = "quality",
    **headers: str,
) -> StreamTimes:
    """Send one streaming request; return the timing of its response."""
    times = StreamTimes()
    started_s = time.perf_counter()
    last_s = started_s
    pending = b""

    def handle_chunk(chunk: bytes) -> None:
        nonlocal last_s, pending
        pending += chunk
        *events, pending = pending.split(b"\n\n")
        for event in events:
            now_s = time.perf_counter()
            name, _, data = event.partition(b"\ndata: ")
            if name == b"event: tokens":
                count = data[data.index(b"[") : data.index(b"]")].count(b",") + 1
                if times.tokens:
                    times.gaps_s += [(now_s - last_s) / count] * count
                else:
                    times.first_token_s = now_s - started_s
                times.tokens += count
                last_s = now_s
            else:
                final = json.loads(data)
                times.outcome = final["outcome"]
                times.attempts = final.get("attempts", 0)

    response = await http.fetch(
        f"{base_url}/v1/pipelines/{PIPELINE}/generate",
        method="POST",
        headers=caller_headers(workspace, **headers),
        body=json.dumps({"prompt": prompt, "max_tokens": max_tokens, "stream": True}),
        streaming_callback=handle_chunk,
        request_timeout=300.0,
        raise_error=False,
    )
    times.outcome = times.outcome or response.headers.get("Railfold-Outcome", "failed")
    times.total_s = time.perf_counter() - started_s
    return times


def new_client(max_clients: int = 512) -> AsyncHTTPClient:
    """Return an HTTP client with at most ``max_clients`` concurrent requests."""
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    return AsyncHTTPClient(force_instance=True, max_clients=max_clients)


def median(values: Sequence[float]) -> float:
    """Return the median, or 0 if there are no values."""
    return statistics.median(values) if values else 0.0


def prompt(number: int) -> str:
    """Return a prompt that differs for each number."""
    return hashlib.blake2b(str(number).encode(), digest_size=8).hexdigest()


def run(coroutine) -> object:
    """Run a benchmark's coroutine and return its result."""
    return asyncio.run(coroutine)
