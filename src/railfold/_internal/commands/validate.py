"""``railfold validate``: checks a change without publishing it."""

from __future__ import annotations

from pathlib import Path

import click

from railfold._internal.cli.options import (
    log_option,
    open_configuration_log,
    read_body,
    run,
)
from railfold._internal.decisions.configuration import ObjectId

__all__ = ["validate"]


@click.command()
@click.argument("kind")
@click.argument("name")
@click.argument("file", type=click.Path(path_type=Path))
@log_option
def validate(kind: str, name: str, file: Path, log_url: str) -> None:
    """Check FILE as the object NAME of KIND against the configuration in force."""
    body = read_body(file)

    async def check_body() -> None:
        configuration = await open_configuration_log(log_url).read_all()
        configuration.check(ObjectId(kind, name), body)

    run(check_body())
    click.echo(f"{kind}/{name}: valid")
