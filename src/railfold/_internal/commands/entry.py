"""``railfold entry``: runs an entry."""

from __future__ import annotations

from pathlib import Path

import click

from railfold._internal import clock
from railfold._internal.entry.process import run_entry
from railfold._internal.errors import SettingsError
from railfold._internal.settings.models import EntrySettings, load_settings

__all__ = ["entry"]


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def entry(settings: Path) -> None:
    """Run an entry with the SETTINGS file."""
    loaded_settings = load_settings(settings)
    if not isinstance(loaded_settings, EntrySettings):
        raise SettingsError(str(settings), ["role: must be 'entry' for this command"])
    clock.run(run_entry(loaded_settings))
