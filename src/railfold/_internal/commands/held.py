"""``railfold held`` and ``railfold lift``: show and release held-back requests."""

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
from railfold._internal.platform.adapter import MetadataStorePlatform
from railfold._internal.platform.settings import load_platform_settings, settings_path
from railfold._internal.store.records import NEWEST_OF_EACH_KEY

__all__ = ["held", "lift"]


class _HeldContent(msgspec.Struct, frozen=True):
    """A held-back content and its record; this is also the form of the JSON output."""

    content: str
    record: HoldRecord


settings_argument = click.argument(
    "settings", required=False, type=click.Path(path_type=Path)
)


@click.command()
@settings_argument
@as_json
def held(settings: Path | None, json_output: bool) -> None:
    """Show which requests are held back because they crashed backend servers.

    SETTINGS is the platform's settings file of any entry. It defaults to the file that
    the environment names.
    """
    held_contents = run(_read_held_contents(_load_platform(settings)))
    if json_output:
        print_json(msgspec.to_builtins(held_contents))
        return
    if not held_contents:
        click.echo("nothing is held back")
    for held_content in held_contents:
        click.echo(_format_held_content(held_content))


@click.command()
@click.argument("content")
@settings_argument
def lift(content: str, settings: Path | None) -> None:
    """Let requests with CONTENT, as shown by 'railfold held', run again everywhere."""
    run(_delete_hold_record(_load_platform(settings), content))
    click.echo(f"{content}: lifted")


def _load_platform(settings: Path | None) -> MetadataStorePlatform:
    platform_settings = load_platform_settings(settings or settings_path())
    return MetadataStorePlatform(
        platform_settings.store, platform_settings.store_partitions
    )


async def _read_held_contents(platform: MetadataStorePlatform) -> list[_HeldContent]:
    page = await platform.new_log().read(
        platform.quarantine_stream, NEWEST_OF_EACH_KEY, 0.0
    )
    held_contents = []
    for record in page.records:
        item = record.body
        if item.key == PEER_KEY_RECORD or not item.value:
            continue
        try:
            held_contents.append(_HeldContent(item.key, decode_hold(item.value)))
        except PeerMessageError as error:
            click.echo(f"{item.key}: {error}", err=True)
    return held_contents


async def _delete_hold_record(platform: MetadataStorePlatform, content: str) -> None:
    """Delete the record of a held-back content, which releases it at all entries.

    :raises RequestNotQuarantinedError: the content has no record.
    """
    if content not in {item.content for item in await _read_held_contents(platform)}:
        raise RequestNotQuarantinedError(
            f"content {content} isn't held back", hint="see 'railfold held'"
        )
    await platform.new_log().put(platform.quarantine_stream, content, b"")


def _format_held_content(held_content: _HeldContent) -> str:
    record = held_content.record
    age_s = max(0.0, clock.unix_time_s() - record.held_at_unix_ms / 1000.0)
    servers = ", ".join(crash.server_id for crash in record.crashes)
    kind = "  prompt part" if record.prompt_part else ""
    return (
        f"{held_content.content}{kind}  route {record.route}"
        f"  workspace {record.workspace or '-'}"
        f"  held back {age_s:.0f} s ago, {record.holds} in a row\n"
        f"    crashed servers: {servers}"
    )
