"""Finding what logs of several processes say about one request."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

from railfold._internal.observability.events import (
    AttemptEnded,
    AttemptKept,
    AttemptStarted,
    ChainProbed,
    ConfigurationAccepted,
    ConfigurationBehind,
    DependencyLost,
    DependencyRegained,
    EngineChanged,
    Event,
    LinesDropped,
    LogLine,
    ProcessStopping,
    RequestEnded,
    StreamRerouted,
)

__all__ = ["RequestTrace", "read_lines", "trace_request"]

# How long before a request's first line a change of state may explain it.
_CONTEXT_BEFORE_S = 6.0
_CONTEXT_AFTER_S = 1.0

_DECODER = msgspec.json.Decoder(LogLine)


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """A request's lines in order of time, and lines that may explain them."""

    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]

    @property
    def lines(self) -> list[LogLine]:
        """All lines in order of time."""
        return sorted((*self.own, *self.context), key=lambda line: line.time_s)


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines among lines of text.

    What collects the logs may have put something before each line, and other
    output may stand between them: both are passed over.
    """
    found: list[LogLine] = []
    for text in texts:
        start = text.find('{"time_s"')
        if start < 0:
            continue
        try:
            found.append(_DECODER.decode(text[start:].strip()))
        except msgspec.DecodeError:
            continue  # Another program's line.
    return found


def trace_request(lines: Sequence[LogLine], request_id: str) -> RequestTrace:
    """Return what is said of a request, and what happened around it."""
    own = [line for line in lines if _request_id(line.event) == request_id]
    if not own:
        return RequestTrace((), ())
    hosts = {line.host for line in own}
    servers = set().union(*(_servers(line.event) for line in own))
    first_s = min(line.time_s for line in own) - _CONTEXT_BEFORE_S
    last_s = max(line.time_s for line in own) + _CONTEXT_AFTER_S
    context = [
        line
        for line in lines
        if line.host in hosts
        and first_s <= line.time_s <= last_s
        and _explains(line.event, servers)
    ]
    return RequestTrace(tuple(own), tuple(context))


def _request_id(event: Event) -> str:
    match event:
        case (
            AttemptStarted(request_id=request_id)
            | AttemptEnded(request_id=request_id)
            | AttemptKept(request_id=request_id)
            | ChainProbed(request_id=request_id)
            | StreamRerouted(request_id=request_id)
            | RequestEnded(request_id=request_id)
        ):
            return request_id
        case _:
            return ""


def _servers(event: Event) -> set[str]:
    match event:
        case AttemptStarted(server_id=server_id, chain=chain):
            stages = {stage.partition(":")[0] for stage in chain.split()}
            return {server_id, *stages}
        case AttemptEnded(server_id=server_id) | AttemptKept(server_id=server_id):
            return {server_id}
        case ChainProbed(lost=lost):
            return set(lost)
        case _:
            return set()


def _explains(event: Event, servers: set[str]) -> bool:
    match event:
        case EngineChanged(server_id=server_id):
            return server_id in servers
        case (
            ConfigurationAccepted()
            | ConfigurationBehind()
            | DependencyLost()
            | DependencyRegained()
            | ProcessStopping()
            | LinesDropped()
        ):
            return True
        case _:
            return False
