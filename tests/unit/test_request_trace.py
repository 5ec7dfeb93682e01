"""Tests of the trace of one request from logs of several processes.

A trace contains the lines about the request, and changes of state on the same host and
shortly before that may explain it. Lines about other servers or hosts, old lines and
output of other programs would mislead its reader.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from click.testing import CliRunner

from railfold._internal.cli.main import cli
from railfold._internal.errors import RequestNotLoggedError
from railfold._internal.observability.events import (
    AttemptEnded,
    DependencyLost,
    EngineChanged,
    LogLine,
)
from railfold._internal.operations.request_trace import read_lines, trace_request

ATTEMPT_ENDED = AttemptEnded("r-1", 1, "i-1", "lost i-1", 12, 90.0)
LINES = [
    LogLine(7.0, "entry-1", EngineChanged("i-1", "serving", "registered")),
    LogLine(9.5, "entry-1", EngineChanged("i-1", "suspect", "no answer")),
    LogLine(9.6, "entry-1", EngineChanged("i-2", "suspect", "no answer")),
    LogLine(9.7, "entry-2", DependencyLost("store", "silent")),
    LogLine(10.0, "entry-1", ATTEMPT_ENDED),
    LogLine(1.0, "entry-1", DependencyLost("store", "silent")),
]


def test_trace_has_context_of_the_request_servers_and_host() -> None:
    traced_request = trace_request(LINES, "r-1")
    assert [line.event for line in traced_request.request_lines] == [ATTEMPT_ENDED]
    assert [line.time_s for line in traced_request.context_lines] == [7.0, 9.5]


def test_output_of_other_programs_is_ignored() -> None:
    text = msgspec.json.encode(LINES[4]).decode()
    lines = read_lines(["I0908 starting", f"  10.1 entry-1 {text}", '{"time_s": bad'])
    assert lines == [LINES[4]]


def test_command_shows_lines_in_order_of_time(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_bytes(b"\n".join(msgspec.json.encode(line) for line in LINES))
    result = CliRunner().invoke(cli, ["trace", "r-1", str(log)])
    assert result.exit_code == 0
    shown_lines = result.output.splitlines()
    assert [line.split()[0] for line in shown_lines] == ["-3000", "-500", "0"]
    assert "attempt_ended" in shown_lines[-1]


def test_request_without_lines_is_an_error(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_text("")
    result = CliRunner().invoke(cli, ["trace", "r-2", str(log)])
    assert isinstance(result.exception, RequestNotLoggedError)
