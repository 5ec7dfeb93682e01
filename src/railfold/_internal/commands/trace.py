"""``railfold trace``: shows the log lines about one request."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from railfold._internal.errors import RequestNotLoggedError
from railfold._internal.observability.events import Event, LogLine
from railfold._internal.operations.request_trace import read_lines, trace_request

__all__ = ["trace"]


@click.command()
@click.argument("request_id")
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)
@click.option("--json", "as_json", is_flag=True, help="Print the lines as JSON.")
def trace(request_id: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Show the lines about REQUEST_ID in LOGS, and lines that may explain them.

    Lines are in order of time. Lines about the context of the request are indented.
    """
    texts = (text for log in logs for text in log.read_text("utf-8").splitlines())
    traced_request = trace_request(read_lines(texts), request_id)
    if not traced_request.request_lines:
        raise RequestNotLoggedError(
            f"the logs have no line about request {request_id}",
            hint="under load, only lines of failed requests are always logged",
        )
    if as_json:
        click.echo(msgspec.json.encode(traced_request.lines))
        return
    start_s = traced_request.request_lines[0].time_s
    for line in traced_request.lines:
        click.echo(
            _format_line(
                line, start_s, indented=line not in traced_request.request_lines
            )
        )


def _format_line(line: LogLine, start_s: float, *, indented: bool) -> str:
    offset_ms = round((line.time_s - start_s) * 1000)
    indent = "    " if indented else ""
    return f"{offset_ms:>8} ms  {line.host}  {indent}{_format_event(line.event)}"


def _format_event(event: Event) -> str:
    fields = msgspec.to_builtins(event)
    name = fields.pop("type")
    shown_fields = {
        k: v for k, v in fields.items() if v not in ("", None) and k != "request_id"
    }
    return f"{name} " + " ".join(
        f"{key}={value!r}" for key, value in shown_fields.items()
    )
