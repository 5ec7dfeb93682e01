"""``railfold forward``: runs a forwarding entry on the users' platform.

The modules of the entry are imported only after its sockets listen; see
:mod:`railfold._internal.forwarding.listeners`.
"""

from __future__ import annotations

import signal
from pathlib import Path

import click

from railfold._internal.forwarding.listeners import Listeners, open_listeners
from railfold._internal.forwarding.settings_source import SettingsSource
from railfold._internal.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)

__all__ = ["forward"]


@click.command()
@click.option(
    "--check", is_flag=True, help="Only check the settings and report all errors."
)
@click.option(
    "--metrics-port", type=click.IntRange(1, 65535), help="Port to serve metrics on."
)
@click.argument("settings", required=False, type=click.Path(path_type=Path))
def forward(settings: Path | None, check: bool, metrics_port: int | None) -> None:
    """Run an entry that sends requests to engines directly.

    SETTINGS is the platform's settings file. It defaults to the file that the
    environment names.
    """
    path = settings or settings_path()
    if check:
        load_platform_settings(path, metrics_port)
        click.echo(f"{path}: no faults")
        return
    # Until the entry installs its handler, a SIGHUP, which asks for a reload of the
    # settings, would end the process. It may be ignored until then, since the settings
    # are read after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _serve(path, metrics_port)


def _serve(path: Path, metrics_port: int | None) -> None:
    source = SettingsSource(
        path, lambda path: load_platform_settings(path, metrics_port).forwarding
    )
    platform_settings = load_platform_settings(path, metrics_port)
    listeners = open_listeners(platform_settings.forwarding)

    # Imported after the sockets listen, since imports take most of the startup time.
    from railfold._internal import clock

    clock.run(_run(source, platform_settings, listeners))


async def _run(
    source: SettingsSource, platform_settings: PlatformSettings, listeners: Listeners
) -> None:
    from railfold._internal.forwarding.process import run_forwarding_entry
    from railfold._internal.platform.adapter import MetadataStorePlatform

    adapter = MetadataStorePlatform(
        platform_settings.store, platform_settings.store_partitions
    )
    await run_forwarding_entry(platform_settings.forwarding, adapter, source, listeners)
