"""``railfold check``: checks a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from railfold._internal.settings.models import load_settings

__all__ = ["check"]


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def check(settings: Path) -> None:
    """Check the SETTINGS file and report all errors in it."""
    loaded_settings = load_settings(settings)
    click.echo(f"{settings}: valid settings of role {loaded_settings.role}")
