"""The platform's settings file is validated, and reloaded when it changes.

Guards against an entry that runs with wrong limits or addresses: a field that is
ignored or misread, an invalid file that is accepted, or a change that isn't noticed.
"""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
from click.testing import CliRunner

from railfold._internal.cli.main import cli
from railfold._internal.core import Address
from railfold._internal.errors import SettingsError
from railfold._internal.forwarding import reload
from railfold._internal.forwarding.reload import SettingsWatcher
from railfold._internal.forwarding.settings import ForwardingSettings
from railfold._internal.forwarding.settings_source import SettingsSource
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.platform.settings import load_platform_settings

TEXT = """
node = "front-1"
ip = "10.1.0.40"
zone = "hall-a"
region = "west"
bootstrap = true
unknown_field = 1
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
grace_s = 8
revoke_ms = 5000
budget_ratio = 0.2
budget_slack = 202
[platform]
address = "10.200.1.7:8223"
parts = 12
"""


@pytest.fixture
def path(tmp_path: Path) -> Path:
    """A valid settings file."""
    file = tmp_path / "boot.toml"
    file.write_text(TEXT)
    return file


def test_memory_limit_and_chain_choice_are_read(path: Path) -> None:
    path.write_text(
        'chain_choice = "predicted"\n' + TEXT + "[limits]\nmemory_mb = 152\n"
    )
    settings = load_platform_settings(path).forwarding
    assert settings.predicts_chains
    assert settings.memory_bytes == 152 * 1024 * 1024


@pytest.mark.parametrize(
    ("field", "text"),
    [("chain_choice", 'chain_choice = "best"\n'), ("memory_mb", "")],
)
def test_invalid_chain_choice_or_memory_limit_is_refused(
    path: Path, field: str, text: str
) -> None:
    limits = "[limits]\nmemory_mb = 0\n" if field == "memory_mb" else ""
    path.write_text(text + TEXT + limits)
    with pytest.raises(SettingsError, match=field):
        load_platform_settings(path)


def test_platform_fields_are_translated(path: Path) -> None:
    loaded = load_platform_settings(path, metrics_port=7340)
    assert loaded.store == Address("10.200.1.7", 8223)
    assert loaded.store_partitions == 12
    settings = loaded.forwarding
    assert settings.client_address == Address("10.1.0.40", 8227)
    assert settings.metrics_address == Address("10.1.0.40", 7340)
    assert settings.failure_domain == "hall-a"
    assert settings.credential_lease_s == 5.0
    assert (settings.retry_share, settings.retry_slack) == (0.2, 202)
    assert settings.first_start


def test_all_faults_are_reported_together(path: Path) -> None:
    text = TEXT.replace('"10.1.0.40:8227"', '"nowhere"').replace("parts = 12", "")
    text = text.replace("grace_s = 8", 'grace_s = "long"')
    path.write_text(text.replace('address = "10.200.1.7:8223"', ""))
    with pytest.raises(SettingsError) as raised:
        load_platform_settings(path)
    fault_text = "\n".join(raised.value.faults)
    assert "listen.front" in fault_text
    assert "bounds." in fault_text
    assert "platform." in fault_text


@pytest.mark.parametrize("text", ["not toml", "node = 1"])
def test_file_in_another_format_is_refused(path: Path, text: str) -> None:
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_platform_settings(path)


def test_check_option_accepts_a_valid_file(path: Path) -> None:
    result = CliRunner().invoke(cli, ["forward", "--check", str(path)])
    assert result.exit_code == 0
    assert "no faults" in result.output


def write_settings(path: Path, text: str) -> None:
    path.write_text(text)


def load_forwarding_settings(path: Path) -> ForwardingSettings:
    return load_platform_settings(path).forwarding


@pytest.mark.parametrize("by_signal", [True, False])
async def test_changed_settings_are_reloaded_and_invalid_ones_ignored(
    path: Path, by_signal: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reload, "_CHECK_INTERVAL_S", 0.02 if not by_signal else 60.0)
    applied: list[ForwardingSettings] = []
    read_fd, write_fd = os.pipe()
    log = DecisionLog("front-1", write_fd)
    watcher = SettingsWatcher(
        SettingsSource(path, load_forwarding_settings), applied.append, log
    )
    ready = asyncio.Event()
    task = asyncio.create_task(watcher.run(ready))
    await ready.wait()
    write_settings(path, TEXT.replace("revoke_ms = 5000", "revoke_ms = 12000"))
    if by_signal:
        os.kill(os.getpid(), signal.SIGHUP)
    async with asyncio.timeout(5.0):
        while not applied:  # noqa: ASYNC110 - the watcher sets no event.
            await asyncio.sleep(0.01)
    assert applied[-1].credential_lease_s == 12.0
    write_settings(path, "faulty")
    os.kill(os.getpid(), signal.SIGHUP)
    await asyncio.sleep(0.2)
    assert applied[-1].credential_lease_s == 12.0
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    log.flush()
    assert b"refused" in os.read(read_fd, 65536)
    os.close(read_fd)
    os.close(write_fd)


async def test_sighup_after_the_last_reload_does_not_end_the_process(
    path: Path,
) -> None:
    _, write_fd = os.pipe()
    source = SettingsSource(path, load_forwarding_settings)
    watcher = SettingsWatcher(source, print, DecisionLog("front-1", write_fd))
    ready = asyncio.Event()
    task = asyncio.create_task(watcher.run(ready))
    await ready.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert signal.getsignal(signal.SIGHUP) is not signal.SIG_DFL
