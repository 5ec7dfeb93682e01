"""``railfold held`` and ``railfold lift``: requests that are held back."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from railfold._internal import clock
from railfold._internal.cli.options import as_json, print_json, run
from railfold._internal.errors import PeerMessageError, RequestNotQuarantinedError
from railfold._internal.forwarding.store.shared_records import (
    PEER_KEY_RECORD,
    HoldRecord,
    decode_hold,
)
from railfold._internal.platform.adapter import UsersPlatform
from railfold._internal.platform.settings import load_platform_settings, settings_path
from railfold._internal.store.records import NEWEST_OF_EACH_KEY

__all__ = ["held", "lift"]


class _Held(msgspec.Struct, frozen=True):
    """One content that is held back, as it is shown."""

    content: str
    record: HoldRecord


settings_argument = click.argument(
    "settings", required=False, type=click.Path(path_type=Path)
)


@click.command()
@settings_argument
@as_json
def held(settings: Path | None, json_output: bool) -> None:
    """Show which requests are held back since backend servers ended under them.

    SETTINGS is the platform's settings file of any entry; by default the one that the
    environment names.
    """
    found = run(_read(_platform(settings)))
    if json_output:
        print_json(msgspec.to_builtins(found))
        return
    if not found:
        click.echo("nothing is held back")
    for item in found:
        click.echo(_text(item))


@click.command()
@click.argument("content")
@settings_argument
def lift(content: str, settings: Path | None) -> None:
    """Let requests of CONTENT, as 'railfold held' shows it, run again everywhere."""
    run(_lift(_platform(settings), content))
    click.echo(f"{content}: lifted")


def _platform(settings: Path | None) -> UsersPlatform:
    loaded = load_platform_settings(settings or settings_path())
    return UsersPlatform(loaded.store, loaded.store_partitions)


async def _read(platform: UsersPlatform) -> list[_Held]:
    page = await platform.new_log().read(
        platform.quarantine_stream, NEWEST_OF_EACH_KEY, 0.0
    )
    found = []
    for record in page.records:
        item = record.body
        if item.key == PEER_KEY_RECORD or not item.value:
            continue
        try:
            found.append(_Held(item.key, decode_hold(item.value)))
        except PeerMessageError as error:
            click.echo(f"{item.key}: {error}", err=True)
    return found


async def _lift(platform: UsersPlatform, content: str) -> None:
    """Take a content's record away; entries read that at once.

    :raises RequestNotQuarantinedError: there is none.
    """
    if content not in {item.content for item in await _read(platform)}:
        raise RequestNotQuarantinedError(
            f"content {content} isn't held back", hint="see 'railfold held'"
        )
    await platform.new_log().put(platform.quarantine_stream, content, b"")


def _text(item: _Held) -> str:
    record = item.record
    age_s = max(0.0, clock.unix_time_s() - record.held_at_unix_ms / 1000.0)
    servers = ", ".join(crash.server_id for crash in record.crashes)
    return (
        f"{item.content}  route {record.route}  workspace {record.workspace or '-'}"
        f"  held back {age_s:.0f} s ago, {record.holds} in a row\n"
        f"    ended under it: {servers}"
    )
