"""The settings file that the platform lays beside each process.

The path stands in the environment; the format is the platform's. Fields that
this process doesn't use are passed over.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from railfold._internal.core import Address, parse_address
from railfold._internal.errors import SettingsError
from railfold._internal.forwarding.settings import (
    DEFAULT_MEMORY_BYTES,
    ForwardingSettings,
)

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "load_platform_settings"]

SETTINGS_VARIABLE = "RAILFOLD_NODE_FILE"

# As many as make a key of 128 bits in base64.
_LEAST_KEY_CHARACTERS = 22

_MB = 1024 * 1024

_Port = Annotated[int, Meta(ge=1, le=65535)]

T = TypeVar("T")


class _Listen(msgspec.Struct, frozen=True):
    """Addresses that the platform sends something to.

    ``front`` is where clients come, ``ready`` where the balancer asks.
    """

    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    """Bounds of the rules that are in force.

    ``drain_ms``: how long after a backend server has registered that it leaves new work
    may still reach it.
    ``revoke_ms``: how long after its removal a credential may still be used.
    ``budget_ratio`` and ``budget_slack``: what all entries may send beyond the
    first send of each request, as a share and a number, in any window of
    ``budget_window_s``.
    """

    grace_s: float = 8.0
    drain_ms: float = 2000.0
    revoke_ms: float = 5000.0
    budget_ratio: float = 0.1
    budget_slack: float = 10.0
    budget_window_s: float = 10.0


class _Limits(msgspec.Struct, frozen=True):
    """What the host has for this process."""

    memory_mb: Annotated[float, Meta(gt=0)] = DEFAULT_MEMORY_BYTES / _MB


class _Store(msgspec.Struct, frozen=True):
    """The metadata store; ``parts`` is how many partitions a topic has."""

    address: str
    parts: int = 1


class _Document(msgspec.Struct, frozen=True):
    """The whole file, as far as it is used.

    ``port_range`` is the first and the last of the ports that are left free for what
    daemons say to each other. ``peer_key`` and ``chain_choice`` aren't the platform's:
    operators may add them.
    """

    node: str
    ip: str
    zone: str
    listen: dict[str, Any]
    platform: dict[str, Any]
    region: str = ""
    bootstrap: bool = False
    port_range: Annotated[list[_Port], Meta(min_length=2, max_length=2)] | None = None
    peer_key: Annotated[str, Meta(min_length=_LEAST_KEY_CHARACTERS)] | None = None
    chain_choice: Literal["cheapest", "predicted"] = "cheapest"
    bounds: dict[str, Any] = msgspec.field(default_factory=dict)
    limits: dict[str, Any] = msgspec.field(default_factory=dict)


class PlatformSettings(msgspec.Struct, frozen=True):
    """What the file says, decoded."""

    forwarding: ForwardingSettings
    store: Address
    store_partitions: int


def settings_path() -> Path:
    """Return the settings file's path.

    :raises SettingsError: the environment names none.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError("", [f"the variable {SETTINGS_VARIABLE} isn't set"])
    return Path(path)


def load_platform_settings(
    path: Path, metrics_port: int | None = None
) -> PlatformSettings:
    """Return the settings in a file.

    :param metrics_port: where metrics are served on the process's own address;
        the deploy file tells it, since the platform reads it there too.
    :raises SettingsError: with every fault found.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(str(path), [f"can't be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), [f"isn't valid TOML: {error}"]) from error
    return _Decoder(path, metrics_port).decode(data)


class _Decoder:
    """Decodes one file and gathers its faults."""

    def __init__(self, path: Path, metrics_port: int | None) -> None:
        self._path = path
        self._metrics_port = metrics_port
        self._faults: list[str] = []

    def decode(self, data: dict[str, Any]) -> PlatformSettings:
        document = self._convert("", data, _Document)
        listen = self._convert("listen.", data.get("listen", {}), _Listen)
        bounds = self._convert("bounds.", data.get("bounds", {}), _Bounds)
        limits = self._convert("limits.", data.get("limits", {}), _Limits)
        store = self._convert("platform.", data.get("platform", {}), _Store)
        clients = self._address("listen.front", listen.front if listen else None)
        ready = self._address("listen.ready", listen.ready if listen else None)
        address = self._address("platform.address", store.address if store else None)
        if not (document and bounds and limits and store):
            raise SettingsError(str(self._path), self._faults)
        if not (clients and ready and address):
            raise SettingsError(str(self._path), self._faults)
        forwarding = ForwardingSettings(
            name=document.node,
            failure_domain=document.zone,
            region=document.region,
            client_address=clients,
            readiness_address=ready,
            metrics_address=self._metrics(document.ip),
            credential_lease_s=bounds.revoke_ms / 1000.0,
            grace_s=bounds.grace_s,
            drain_notice_s=bounds.drain_ms / 1000.0,
            retry_share=bounds.budget_ratio,
            retry_slack=bounds.budget_slack,
            retry_window_s=bounds.budget_window_s,
            first_start=document.bootstrap,
            peer_address=self._peers(document),
            peer_key=document.peer_key.encode() if document.peer_key else None,
            memory_bytes=int(limits.memory_mb * _MB),
            predicts_chains=document.chain_choice == "predicted",
        )
        return PlatformSettings(forwarding, address, store.parts)

    def _metrics(self, ip: str) -> Address | None:
        if self._metrics_port is None:
            return None
        return self._address("ip", f"{ip}:{self._metrics_port}")

    def _peers(self, document: _Document) -> Address | None:
        """Return where other entries' messages are taken: at the range's last port."""
        if document.port_range is None:
            return None
        return self._address("ip", f"{document.ip}:{document.port_range[-1]}")

    def _convert(self, prefix: str, data: Any, form: type[T]) -> T | None:
        try:
            return msgspec.convert(data, form)
        except msgspec.ValidationError as error:
            self._faults.append(f"{prefix or 'file: '}{error}")
            return None

    def _address(self, name: str, text: str | None) -> Address | None:
        if text is None:
            return None
        try:
            return parse_address(text)
        except ValueError as error:
            self._faults.append(f"{name}: {error}")
            return None
