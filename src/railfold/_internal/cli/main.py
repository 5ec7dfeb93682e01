"""Entry point of the ``railfold`` program."""

from __future__ import annotations

import importlib
import sys

import click

from railfold import __version__
from railfold._internal.errors import RailfoldError

__all__ = ["cli", "main"]


# Modules of the commands. A module is imported only when its command is called, so that
# daemons start fast.
_COMMAND_MODULES = {
    "agent": "agent",
    "audit": "show",
    "check": "check",
    "delete": "publish",
    "diff": "show",
    "drain": "status",
    "entry": "entry",
    "explain": "status",
    "forward": "forward",
    "held": "held",
    "lift": "held",
    "publish": "publish",
    "routes": "status",
    "settle": "publish",
    "show": "show",
    "status": "status",
    "trace": "trace",
    "validate": "validate",
    "wait": "status",
}


class _LazyGroup(click.Group):
    """A group that imports the module of a command when the command is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(_COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; None if there is no such command."""
        module_name = _COMMAND_MODULES.get(cmd_name)
        if module_name is None:
            return None
        module = importlib.import_module(f"railfold._internal.commands.{module_name}")
        command: click.Command = getattr(module, cmd_name)
        return command


@click.group(cls=_LazyGroup)
@click.version_option(__version__, prog_name="railfold")
def cli() -> None:
    """Route model pipelines over mixed accelerators."""


def main() -> None:
    """Run the program; print errors and exit with their codes."""
    try:
        cli(standalone_mode=False)
    except click.exceptions.Abort:
        sys.exit(130)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except RailfoldError as error:
        click.echo(f"railfold: {error}", err=True)
        sys.exit(exit_code(error))


def exit_code(error: RailfoldError) -> int:
    """Return the exit code of an error; scripts rely on these codes."""
    return EXIT_CODES.get(error.code, 1)


EXIT_CODES = {
    "settings_invalid": 3,
    "configuration_refused": 4,
    "configuration_conflict": 5,
    "write_unsettled": 6,
    "log_unavailable": 7,
    "records_expired": 7,
    "process_unreachable": 8,
    "version_not_in_force": 9,
    "request_not_logged": 10,
    "request_not_held": 12,
    "listen_failed": 11,
}
