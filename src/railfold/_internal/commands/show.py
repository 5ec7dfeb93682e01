"""``railfold show``, ``diff`` and ``audit``: show the configuration and changes."""

from __future__ import annotations

import difflib
import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from railfold._internal.cli.options import (
    as_json,
    log_option,
    open_configuration_log,
    print_json,
    read_body,
    run,
)
from railfold._internal.decisions.configuration import Configuration, ObjectId

__all__ = ["audit", "diff", "show"]


def _read_configuration(log_url: str) -> Configuration:
    async def read_configuration() -> Configuration:
        return await open_configuration_log(log_url).read_all()

    return run(read_configuration())


@click.command()
@click.argument("kind", required=False)
@click.argument("name", required=False)
@log_option
def show(kind: str | None, name: str | None, log_url: str) -> None:
    """Show the configuration, or the objects of KIND, or the object NAME."""
    state = _read_configuration(log_url).to_state()
    state["objects"] = [
        item
        for item in state["objects"]
        if kind in (None, item["kind"]) and name in (None, item["name"])
    ]
    print_json(state)


@click.command()
@click.argument("kind")
@click.argument("name")
@click.argument("file", type=click.Path(path_type=Path))
@log_option
def diff(kind: str, name: str, file: Path, log_url: str) -> None:
    """Show how FILE differs from the object NAME of KIND in force.

    The exit code is 1 if there are differences.
    """
    body = read_body(file)
    stored = _read_configuration(log_url).objects.get(ObjectId(kind, name))
    version = stored.version if stored else 0
    lines = list(
        difflib.unified_diff(
            _format_body(stored.body if stored else None),
            _format_body(body),
            f"{kind}/{name} version {version}",
            str(file),
            lineterm="",
        )
    )
    for line in lines:
        click.echo(line)
    if lines:
        raise SystemExit(1)


def _format_body(body: dict[str, Any] | None) -> list[str]:
    if body is None:
        return []
    return json.dumps(body, indent=2, sort_keys=True).splitlines()


@click.command()
@click.option(
    "--last", type=int, default=50, show_default=True, help="How many changes to show."
)
@log_option
@as_json
def audit(last: int, log_url: str, json_output: bool) -> None:
    """Show the latest changes with their time, operator, object and outcome."""
    audit_entries = list(_read_configuration(log_url).audit)[-last:]
    if json_output:
        print_json([msgspec.to_builtins(entry) for entry in audit_entries])
        return
    for entry in audit_entries:
        when = datetime.fromtimestamp(entry.appended_s, UTC)
        click.echo(
            f"{when:%Y-%m-%dT%H:%M:%SZ} offset {entry.offset} {entry.operator}"
            f" {entry.target} {entry.from_version} -> {entry.to_version}"
            f" {entry.verdict.value} {'; '.join(entry.reasons)}".rstrip()
        )
