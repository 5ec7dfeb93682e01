"""Replay of recorded traces through the state machines of the decisions.

A trace is a file of JSON lines. The first line names the state machine and its
parameters, each following line has a time and an event, and the last line has the
expected outcome. A replay returns the actions after each event as plain data, which
the test compares with a snapshot file, and the outcome, which it compares with the
expected one.
"""

from __future__ import annotations

import dataclasses
import enum
import json
from pathlib import Path
from typing import Any

import msgspec

from railfold._internal import errors
from railfold._internal.core import AttemptId, Chain, GenerateRequest, ServiceRequest
from railfold._internal.decisions import (
    calls,
    claims,
    lifecycle,
    lifecycle_events,
    sequence_events,
    sequences,
)
from railfold._internal.decisions import configuration as conf
from railfold._internal.errors import RailfoldError

TRACES = Path(__file__).parent.parent / "traces"


def to_plain(value: Any) -> Any:
    """Convert a value to plain data that is readable in a snapshot file."""
    match value:
        case RailfoldError():
            return value.code
        case enum.Enum():
            return value.value
        case AttemptId():
            return str(value)
        case Chain():
            return [f"{s.host}[{s.layers}]" for s in value.stages]
        case _ if dataclasses.is_dataclass(value) and not isinstance(value, type):
            fields = {
                f.name: to_plain(getattr(value, f.name))
                for f in dataclasses.fields(value)
            }
            return {type(value).__name__: fields}
        case msgspec.Struct():
            values = msgspec.structs.asdict(value)
            return {type(value).__name__: {k: to_plain(v) for k, v in values.items()}}
        case frozenset():
            return sorted(to_plain(item) for item in value)
        case list() | tuple():
            return [to_plain(item) for item in value]
        case _:
            return value


def decode(module: Any, name: str, fields: dict[str, Any]) -> Any:
    """Return an instance of the class ``name`` of a decisions module."""
    return msgspec.convert(fields, getattr(module, name), dec_hook=_decode_special)


def _decode_special(kind: type, value: Any) -> Any:
    if kind is object:
        return value
    if issubclass(kind, RailfoldError):
        error_type = getattr(errors, value)
        assert issubclass(error_type, RailfoldError)
        return error_type(value)
    raise NotImplementedError(kind)


@dataclasses.dataclass
class Replay:
    """Result of a replay.

    :param steps: one line per event, with its actions.
    :param outcome: the outcome of the replay.
    :param expected: the outcome that the trace expects.
    """

    steps: list[str]
    outcome: Any
    expected: Any


def replay(path: Path) -> Replay:
    """Replay one trace file."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    header, *events, last = lines
    machine = _MACHINES[header.pop("machine")](header)
    steps = []
    for line in events:
        actions = machine.feed(line["at_s"], line["event"], line.get("fields", {}))
        performed = [json.dumps(to_plain(action)) for action in actions]
        steps.append(
            f"{line['at_s']} {line['event']} -> {' '.join(performed) or 'nothing'}"
        )
    return Replay(steps, machine.outcome(), last["outcome"])


class _Lifecycle:
    def __init__(self, header: dict[str, Any]) -> None:
        request = msgspec.convert(header["request"], GenerateRequest)
        limits = lifecycle.LifecycleLimits(header.get("max_attempts", 6))
        self.machine = lifecycle.RequestLifecycle(
            request, header["layer_count"], limits
        )
        self.finish: Any = None

    def feed(self, at_s: float, name: str, fields: dict[str, Any]) -> list[Any]:
        if name == "start":
            return self.machine.start()
        actions = self.machine.apply(decode(lifecycle_events, name, fields))
        for action in actions:
            if isinstance(action, lifecycle_events.Finish):
                assert self.finish is None, "two final outcomes"
                self.finish = action.outcome
        return actions

    def outcome(self) -> Any:
        tokens = [token.token_id for token in self.machine.emitted]
        return {"final": to_plain(self.finish), "tokens": tokens}


class _Call:
    def __init__(self, header: dict[str, Any]) -> None:
        request = msgspec.convert(
            {"body": b"", "content_type": "", **header["request"]}, ServiceRequest
        )
        self.machine = calls.CallLifecycle(
            repeatable=request.repeatable, limits=calls.CallLimits()
        )
        self.finish: Any = None

    def feed(self, at_s: float, name: str, fields: dict[str, Any]) -> list[Any]:
        if name == "start":
            return self.machine.start()
        actions = self.machine.apply(decode(calls, name, fields))
        for action in actions:
            if isinstance(action, calls.FinishCall):
                assert self.finish is None, "two final outcomes"
                self.finish = action.outcome
        return actions

    def outcome(self) -> Any:
        return to_plain(self.finish)


class _Sequences:
    def __init__(self, header: dict[str, Any]) -> None:
        limits = sequence_events.SequenceLimits(**header.get("limits", {}))
        self.table = sequences.SequenceTable(header["host"], 1, limits)
        self.runs: list[str] = []

    def feed(self, at_s: float, name: str, fields: dict[str, Any]) -> list[Any]:
        if name == "drain":
            self.table.draining = True
            return []
        actions = self.table.apply(decode(sequence_events, name, fields), at_s)
        for action in actions:
            if isinstance(action, sequence_events.StartRun):
                self.runs.append(f"{action.attempt_id}@{action.step}")
        return actions

    def outcome(self) -> Any:
        return {"runs": self.runs, "open": len(self.table)}


class _Configuration:
    def __init__(self, header: dict[str, Any]) -> None:
        self.configuration = conf.Configuration()

    def feed(self, at_s: float, name: str, fields: dict[str, Any]) -> list[Any]:
        offset = fields.pop("offset")
        record = decode(conf, name, fields)
        entry = self.configuration.fold(offset, at_s, record)
        return [] if entry is None else [entry]

    def outcome(self) -> Any:
        return {
            "version": self.configuration.version,
            "verdicts": [entry.verdict.value for entry in self.configuration.audit],
        }


class _Claims:
    def __init__(self, header: dict[str, Any]) -> None:
        self.ledger = claims.ClaimLedger(header["validity_s"])

    def feed(self, at_s: float, name: str, fields: dict[str, Any]) -> list[Any]:
        offset = fields.pop("offset")
        self.ledger.fold(offset, at_s, decode(claims, name, fields))
        return []

    def outcome(self) -> Any:
        return {
            key.key: [claim.write.request_id, claim.state.value]
            for key, claim in self.ledger._claims.items()
        }


_MACHINES: dict[str, Any] = {
    "lifecycle": _Lifecycle,
    "call": _Call,
    "sequences": _Sequences,
    "configuration": _Configuration,
    "claims": _Claims,
}
