"""``railfold publish``, ``delete`` and ``settle``: change the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import msgspec

from railfold._internal.cli.options import (
    as_json,
    log_option,
    open_configuration_log,
    operator_option,
    print_json,
    read_body,
    run,
    timeout_option,
)
from railfold._internal.decisions.configuration import AuditEntry, ObjectId
from railfold._internal.operations.publishing import Change, raise_for_verdict

__all__ = ["delete", "publish", "settle"]

base_version_option = click.option(
    "--base-version",
    type=int,
    help="Version of the object that the change is based on; defaults to the"
    " current version.",
)


def _publish(log_url: str, change: Change, timeout_s: float, json_output: bool) -> None:
    async def publish_change() -> AuditEntry:
        return await open_configuration_log(log_url).publish(change, timeout_s)

    _print_outcome(run(publish_change()), json_output)


def _print_outcome(entry: AuditEntry, json_output: bool) -> None:
    if json_output:
        print_json(msgspec.to_builtins(entry))
    raise_for_verdict(entry)
    if not json_output:
        click.echo(f"{entry.target}: accepted as version {entry.to_version}")


@click.command()
@click.argument("kind")
@click.argument("name")
@click.argument("file", type=click.Path(path_type=Path))
@base_version_option
@operator_option
@log_option
@timeout_option
@as_json
def publish(
    kind: str,
    name: str,
    file: Path,
    base_version: int | None,
    operator: str,
    log_url: str,
    timeout_s: float,
    json_output: bool,
) -> None:
    """Publish FILE (TOML or JSON) as the object NAME of KIND."""
    body: dict[str, Any] = read_body(file)
    change = Change(ObjectId(kind, name), operator, body, base_version)
    _publish(log_url, change, timeout_s, json_output)


@click.command()
@click.argument("kind")
@click.argument("name")
@base_version_option
@operator_option
@log_option
@timeout_option
@as_json
def delete(
    kind: str,
    name: str,
    base_version: int | None,
    operator: str,
    log_url: str,
    timeout_s: float,
    json_output: bool,
) -> None:
    """Delete the object NAME of KIND."""
    change = Change(ObjectId(kind, name), operator, None, base_version)
    _publish(log_url, change, timeout_s, json_output)


@click.command()
@click.argument("write_id")
@log_option
@timeout_option
@as_json
def settle(write_id: str, log_url: str, timeout_s: float, json_output: bool) -> None:
    """Show the outcome of the change with WRITE_ID."""

    async def find_outcome() -> AuditEntry:
        return await open_configuration_log(log_url).settle(write_id, timeout_s)

    _print_outcome(run(find_outcome()), json_output)
