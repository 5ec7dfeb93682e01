"""``railfold forward``: run a forwarding entry on the users' platform."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from railfold._internal.forwarding.process import run_forwarding_entry
from railfold._internal.forwarding.reload import SettingsSource
from railfold._internal.platform.adapter import UsersPlatform
from railfold._internal.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)

__all__ = ["forward"]


@click.command()
@click.option(
    "--check", is_flag=True, help="Only check the settings; report every fault."
)
@click.option(
    "--metrics-port", type=click.IntRange(1, 65535), help="Serve metrics there."
)
@click.argument("settings", required=False, type=click.Path(path_type=Path))
def forward(settings: Path | None, check: bool, metrics_port: int | None) -> None:
    """Run an entry that sends requests to engines directly.

    SETTINGS is the platform's settings file; by default the one that the
    environment names.
    """
    path = settings or settings_path()
    loaded = load_platform_settings(path, metrics_port)
    if check:
        click.echo(f"{path}: no faults")
        return
    source = SettingsSource(
        path, lambda path: load_platform_settings(path, metrics_port).forwarding
    )
    asyncio.run(_run(loaded, source))


async def _run(loaded: PlatformSettings, source: SettingsSource) -> None:
    adapter = UsersPlatform(loaded.store, loaded.store_partitions)
    await run_forwarding_entry(loaded.forwarding, adapter, source)
