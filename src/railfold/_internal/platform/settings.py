"""The settings file that the platform provides for each process.

An environment variable contains its path, and the platform defines its format. Fields
that this process doesn't use are ignored.
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

# Length of a key of 128 bits in base64.
_MIN_KEY_CHARACTERS = 22

_MB = 1024 * 1024

_Port = Annotated[int, Meta(ge=1, le=65535)]

T = TypeVar("T")


class _Listen(msgspec.Struct, frozen=True):
    """Addresses on which the process listens.

    ``front`` serves clients, ``ready`` the load balancer's readiness probes.
    """

    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True):
    """Limits that the platform sets for entries.

    ``grace_s``: time between the signal to stop and the kill.
    ``drain_ms``: how long a backend server that has registered as leaving may still be
    sent new requests.
    ``revoke_ms``: how long a credential may still be used after its removal.
    ``budget_ratio`` and ``budget_slack``: limit of the retries of all entries together
    in any ``budget_window_s``, as a share of first attempts and a number beyond it.
    """

    grace_s: float = 8.0
    drain_ms: float = 2000.0
    revoke_ms: float = 5000.0
    budget_ratio: float = 0.1
    budget_slack: float = 10.0
    budget_window_s: float = 10.0


class _Limits(msgspec.Struct, frozen=True):
    """Resources of the host that this process may use."""

    memory_mb: Annotated[float, Meta(gt=0)] = DEFAULT_MEMORY_BYTES / _MB


class _Store(msgspec.Struct, frozen=True):
    """The metadata store; ``parts`` is the number of partitions of each topic."""

    address: str
    parts: int = 1


class _SettingsFile(msgspec.Struct, frozen=True):
    """The fields of the file that this process uses.

    ``port_range`` contains the first and the last port that are reserved for messages
    between processes. ``peer_key`` and ``chain_choice`` aren't defined by the platform;
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
    peer_key: Annotated[str, Meta(min_length=_MIN_KEY_CHARACTERS)] | None = None
    chain_choice: Literal["cheapest", "predicted"] = "cheapest"
    bounds: dict[str, Any] = msgspec.field(default_factory=dict)
    limits: dict[str, Any] = msgspec.field(default_factory=dict)


class PlatformSettings(msgspec.Struct, frozen=True):
    """The decoded settings file."""

    forwarding: ForwardingSettings
    store: Address
    store_partitions: int


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    :raises SettingsError: the environment variable isn't set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError("", [f"the variable {SETTINGS_VARIABLE} isn't set"])
    return Path(path)


def load_platform_settings(
    path: Path, metrics_port: int | None = None
) -> PlatformSettings:
    """Load a settings file.

    :param metrics_port: port that serves metrics on the process's own address. It isn't
        in the settings file but in the deploy file, which the platform reads too.
    :raises SettingsError: the file can't be read or is invalid; lists all faults.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(str(path), [f"can't be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(str(path), [f"isn't valid TOML: {error}"]) from error
    return _SettingsDecoder(path, metrics_port).decode(data)


class _SettingsDecoder:
    """Decodes one file and collects its faults."""

    def __init__(self, path: Path, metrics_port: int | None) -> None:
        self._path = path
        self._metrics_port = metrics_port
        self._faults: list[str] = []

    def decode(self, data: dict[str, Any]) -> PlatformSettings:
        document = self._convert("", data, _SettingsFile)
        listen = self._convert("listen.", data.get("listen", {}), _Listen)
        bounds = self._convert("bounds.", data.get("bounds", {}), _Bounds)
        limits = self._convert("limits.", data.get("limits", {}), _Limits)
        store = self._convert("platform.", data.get("platform", {}), _Store)
        client_address = self._parse_address(
            "listen.front", listen.front if listen else None
        )
        readiness_address = self._parse_address(
            "listen.ready", listen.ready if listen else None
        )
        store_address = self._parse_address(
            "platform.address", store.address if store else None
        )
        if not (document and bounds and limits and store):
            raise SettingsError(str(self._path), self._faults)
        if not (client_address and readiness_address and store_address):
            raise SettingsError(str(self._path), self._faults)
        forwarding = ForwardingSettings(
            name=document.node,
            failure_domain=document.zone,
            region=document.region,
            client_address=client_address,
            readiness_address=readiness_address,
            metrics_address=self._metrics_address(document.ip),
            credential_lease_s=bounds.revoke_ms / 1000.0,
            grace_s=bounds.grace_s,
            drain_notice_s=bounds.drain_ms / 1000.0,
            retry_share=bounds.budget_ratio,
            retry_slack=bounds.budget_slack,
            retry_window_s=bounds.budget_window_s,
            first_start=document.bootstrap,
            peer_address=self._peer_address(document),
            peer_key=document.peer_key.encode() if document.peer_key else None,
            memory_bytes=int(limits.memory_mb * _MB),
            predicts_chains=document.chain_choice == "predicted",
        )
        return PlatformSettings(forwarding, store_address, store.parts)

    def _metrics_address(self, ip: str) -> Address | None:
        if self._metrics_port is None:
            return None
        return self._parse_address("ip", f"{ip}:{self._metrics_port}")

    def _peer_address(self, document: _SettingsFile) -> Address | None:
        """Return the address for other entries' messages: the range's last port."""
        if document.port_range is None:
            return None
        return self._parse_address("ip", f"{document.ip}:{document.port_range[-1]}")

    def _convert(self, prefix: str, data: Any, struct: type[T]) -> T | None:
        try:
            return msgspec.convert(data, struct)
        except msgspec.ValidationError as error:
            self._faults.append(f"{prefix or 'file: '}{error}")
            return None

    def _parse_address(self, name: str, text: str | None) -> Address | None:
        if text is None:
            return None
        try:
            return parse_address(text)
        except ValueError as error:
            self._faults.append(f"{name}: {error}")
            return None
