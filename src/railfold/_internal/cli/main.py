"""Entry point of the ``railfold`` program."""

from __future__ import annotations

import sys

import click
from absl import flags, logging

from railfold import __version__
from railfold._internal.commands.agent import agent
from railfold._internal.commands.check import check
from railfold._internal.commands.entry import entry
from railfold._internal.commands.publish import delete, publish, settle
from railfold._internal.commands.show import audit, diff, show
from railfold._internal.commands.status import drain, explain, routes, status, wait
from railfold._internal.commands.validate import validate
from railfold._internal.errors import RailfoldError

__all__ = ["cli", "main"]


@click.group()
@click.version_option(__version__, prog_name="railfold")
def cli() -> None:
    """Route model pipelines over mixed accelerators."""


for command in (
    agent,
    audit,
    check,
    delete,
    diff,
    drain,
    entry,
    explain,
    publish,
    routes,
    settle,
    show,
    status,
    validate,
    wait,
):
    cli.add_command(command)


def main() -> None:
    """Run the program; turn errors into texts and exit codes."""
    # Options are click's; without this absl would warn of its own unparsed flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
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
    """Return the exit code of an error; part of the interface."""
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
}
