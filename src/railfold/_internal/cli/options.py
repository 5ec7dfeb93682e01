"""Options and functions that several commands share."""

from __future__ import annotations

import asyncio
import getpass
import json
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click

from railfold._internal.errors import ConfigurationRefusedError
from railfold._internal.observability.process_log import set_up_process_log
from railfold._internal.operations.publishing import ConfigurationLog
from railfold._internal.store.http import new_http_client
from railfold._internal.store.log import LogClient

__all__ = [
    "as_json",
    "entry_option",
    "log_option",
    "open_configuration_log",
    "operator_option",
    "print_json",
    "read_body",
    "run",
    "timeout_option",
]

T = TypeVar("T")
Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]

_LOG_TIMEOUT_S = 5.0

log_option: Decorator = click.option(
    "--log-url",
    envvar="RAILFOLD_LOG_URL",
    required=True,
    help="URL of the platform's log service.",
)
entry_option: Decorator = click.option(
    "--url",
    "url",
    envvar="RAILFOLD_URL",
    required=True,
    help="Operator port of a process, like http://10.0.0.1:8081.",
)
operator_option: Decorator = click.option(
    "--operator",
    default=getpass.getuser,
    show_default="your user name",
    help="Who makes the change; recorded in the audit trail.",
)
timeout_option: Decorator = click.option(
    "--timeout-s", type=float, default=30.0, show_default=True, help="How long to wait."
)
as_json: Decorator = click.option(
    "--json", "json_output", is_flag=True, help="Print JSON for use in scripts."
)


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Configure logging, run the coroutine of a command and return its result."""
    set_up_process_log()
    return asyncio.run(coroutine)


def open_configuration_log(log_url: str) -> ConfigurationLog:
    """Return the configuration stream of the log at ``log_url``."""
    log = LogClient(log_url, new_http_client(), new_http_client(), _LOG_TIMEOUT_S)
    return ConfigurationLog(log, "configuration")


def read_body(path: Path) -> dict[str, Any]:
    """Return the body of a configuration object from a TOML or JSON file.

    :raises ConfigurationRefusedError: the file can't be read or parsed, or contains no
        table.
    """
    try:
        text = path.read_text(encoding="utf-8")
        body = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise ConfigurationRefusedError(str(path), [str(error)]) from error
    if not isinstance(body, dict):
        raise ConfigurationRefusedError(str(path), ["it must contain a table"])
    return body


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))
