"""``railfold agent``: runs an agent."""

from __future__ import annotations

from pathlib import Path

import click

from railfold._internal import clock
from railfold._internal.agent.process import run_agent
from railfold._internal.errors import SettingsError
from railfold._internal.settings.models import AgentSettings, load_settings

__all__ = ["agent"]


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def agent(settings: Path) -> None:
    """Run an agent with the SETTINGS file."""
    loaded_settings = load_settings(settings)
    if not isinstance(loaded_settings, AgentSettings):
        raise SettingsError(str(settings), ["role: must be 'agent' for this command"])
    clock.run(run_agent(loaded_settings))
