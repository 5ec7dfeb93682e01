"""Search for the log lines about one request in logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

from railfold._internal.observability.events import (
    AttemptEnded,
    AttemptKept,
    AttemptStarted,
    ChainProbed,
    ChainStalled,
    ConfigurationAccepted,
    ConfigurationBehind,
    ConfigurationRefused,
    DependencyLost,
    DependencyRecovered,
    EngineChanged,
    Event,
    LinesDropped,
    LogLine,
    ProcessStopping,
    RequestEnded,
    StreamRerouted,
)

__all__ = ["RequestTrace", "read_lines", "trace_request"]

# Changes of state from this long before the first line of a request until this long
# after its last line may explain what happened to it.
_CONTEXT_BEFORE_S = 6.0
_CONTEXT_AFTER_S = 1.0

_DECODER = msgspec.json.Decoder(LogLine)


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Log lines about a request, and lines about their context.

    :param context_lines: changes of state, for instance of servers or of the store,
        that may explain what happened to the request.
    """

    request_lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]

    @property
    def lines(self) -> list[LogLine]:
        """All lines in order of time."""
        return sorted(
            (*self.request_lines, *self.context_lines), key=lambda line: line.time_s
        )


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines among lines of text.

    Ignores prefixes, which a log collector may add to each line, and other output
    between the lines.
    """
    log_lines: list[LogLine] = []
    for text in texts:
        start = text.find('{"time_s"')
        if start < 0:
            continue
        try:
            log_lines.append(_DECODER.decode(text[start:].strip()))
        except msgspec.DecodeError:
            continue  # The line was written by another program.
    return log_lines


def trace_request(lines: Sequence[LogLine], request_id: str) -> RequestTrace:
    """Return the lines about a request and the lines that may explain them."""
    request_lines = [line for line in lines if _request_id(line.event) == request_id]
    if not request_lines:
        return RequestTrace((), ())
    hosts = {line.host for line in request_lines}
    server_ids = set().union(*(_server_ids(line.event) for line in request_lines))
    context_start_s = min(line.time_s for line in request_lines) - _CONTEXT_BEFORE_S
    context_end_s = max(line.time_s for line in request_lines) + _CONTEXT_AFTER_S
    context_lines = [
        line
        for line in lines
        if line.host in hosts
        and context_start_s <= line.time_s <= context_end_s
        and _may_explain(line.event, server_ids)
    ]
    return RequestTrace(tuple(request_lines), tuple(context_lines))


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


def _server_ids(event: Event) -> set[str]:
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


def _may_explain(event: Event, server_ids: set[str]) -> bool:
    match event:
        case EngineChanged(server_id=server_id) | ChainStalled(server_id=server_id):
            return server_id in server_ids
        case (
            ConfigurationAccepted()
            | ConfigurationBehind()
            | ConfigurationRefused()
            | DependencyLost()
            | DependencyRecovered()
            | ProcessStopping()
            | LinesDropped()
        ):
            return True
        case _:
            return False
