"""Settings of a process, read from its TOML file.

Settings contain the addresses, location, timeouts and limits of one process. What
applies to all processes (workspaces, pipelines, services) is the configuration, which
operators publish to the platform's log.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from railfold._internal.core import Address, parse_address
from railfold._internal.errors import SettingsError

__all__ = [
    "AgentSettings",
    "EngineBackendSettings",
    "EntrySettings",
    "ServiceBackendSettings",
    "load_settings",
]


def _address(value: object) -> object:
    return parse_address(value) if isinstance(value, str) else value


AddressField = Annotated[Address, BeforeValidator(_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Url = Annotated[str, Field(pattern=r"^https?://[^/\s]+(/[^\s]*)?$")]
Seconds = Annotated[float, Field(gt=0, le=86400)]
Milliseconds = Annotated[float, Field(ge=0, le=60_000)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, arbitrary_types_allowed=True)


class StatsdSettings(_Section):
    """The StatsD server that receives the metrics."""

    address: AddressField
    interval_s: Seconds = 10.0


class LinkSettings(_Section):
    """Limits of links between railfold processes."""

    max_frame_bytes: int = Field(default=16 * 1024 * 1024, ge=65536)
    max_queued_bytes: int = Field(default=64 * 1024 * 1024, ge=65536)
    handshake_timeout_s: Seconds = 2.0


class EntryListenSettings(_Section):
    """Addresses that an entry listens on."""

    callers: AddressField
    operators: AddressField


class PlatformSettings(_Section):
    """The platform's services, and how the entry uses their streams."""

    log_url: Url
    hosts_url: Url
    configuration_stream: Name = "configuration"
    claims_stream: Name = "claims"
    hosts_interval_s: Seconds = 2.0
    read_wait_s: Seconds = 10.0
    request_timeout_s: Seconds = 5.0
    claim_linger_s: Annotated[float, Field(ge=0, le=1)] = 0.04
    claim_validity_s: Seconds = 3600.0
    checkpoint_every_records: int = Field(default=200, ge=1)
    checkpoint_max_delay_s: Seconds = 30.0


class CallerLimits(_Section):
    """Limits on callers' requests."""

    max_body_bytes: int = Field(default=1024 * 1024, ge=1024)
    max_header_bytes: int = Field(default=16 * 1024, ge=1024)
    body_timeout_s: Seconds = 10.0
    default_deadline_s: Seconds = 60.0
    max_deadline_s: Seconds = 3600.0
    max_tokens: int = Field(default=8192, ge=1)


class RoutingSettings(_Section):
    """Timeouts and limits of routing and recovery."""

    max_attempts: int = Field(default=6, ge=1, le=100)
    retry_share: float = Field(default=0.2, ge=0, le=10)
    retry_burst: float = Field(default=200.0, ge=1)
    retry_window_s: float = Field(default=10.0, gt=0, le=600)
    probe_timeout_s: Seconds = 0.2
    overdue_floor_s: Seconds = 0.1
    overdue_factor: float = Field(default=4.0, ge=2)
    first_token_overdue_s: Seconds = 2.0
    max_waiting: int = Field(default=2000, ge=1)
    max_waiting_per_workspace: int = Field(default=500, ge=1)
    heartbeat_budget_bytes_per_s: float = Field(default=5600.0, gt=0)
    same_domain_ms: Milliseconds = 0.05
    same_region_ms: Milliseconds = 0.25
    other_region_ms: Milliseconds = 25.0


class DrainSettings(_Section):
    """Timing of a planned stop.

    ``notice_s`` is the time for the load balancer to notice that the process isn't
    ready, before the process stops accepting connections. ``timeout_s`` limits the
    whole drain.
    """

    notice_s: Annotated[float, Field(ge=0, le=600)] = 5.0
    timeout_s: Seconds = 300.0


class EntrySettings(_Section):
    """Settings of ``railfold entry``."""

    role: Literal["entry"]
    name: Name
    region: Name
    failure_domain: Name
    listen: EntryListenSettings
    platform: PlatformSettings
    callers: CallerLimits = CallerLimits()
    routing: RoutingSettings = RoutingSettings()
    links: LinkSettings = LinkSettings()
    drain: DrainSettings = DrainSettings()
    statsd: StatsdSettings | None = None


class AgentListenSettings(_Section):
    """Addresses that an agent listens on."""

    links: AddressField
    operators: AddressField


class EngineBackendSettings(_Section):
    """A model engine on the agent's host."""

    kind: Literal["engine"]
    url: Url
    step_timeout_s: Seconds = 10.0
    status_interval_s: Seconds = 1.0
    max_sequences: int = Field(default=64, ge=1)
    max_batch: int = Field(default=64, ge=1)
    orders: OrderSettings = Field(default_factory=lambda: OrderSettings())


class OrderSettings(_Section):
    """Orders of the agent to its engine.

    ``loads_per_s`` is the rate of loads that the weight store allows for all hosts
    together.
    """

    lease_s: Seconds = 5.0
    loads_per_s: float = Field(default=2.0, gt=0)
    retry_s: Seconds = 5.0


class ServiceBackendSettings(_Section):
    """A plain service on the agent's host."""

    kind: Literal["service"]
    service: Name
    url: Url
    health_path: str = "/healthz"
    status_interval_s: Seconds = 1.0
    max_calls: int = Field(default=64, ge=1)


BackendSettings = Annotated[
    EngineBackendSettings | ServiceBackendSettings, Field(discriminator="kind")
]


class AgentSettings(_Section):
    """Settings of ``railfold agent``."""

    role: Literal["agent"]
    host: Name
    region: Name
    failure_domain: Name
    listen: AgentListenSettings
    backend: BackendSettings
    links: LinkSettings = LinkSettings()
    drain: DrainSettings = DrainSettings()
    statsd: StatsdSettings | None = None


_ROLES: dict[str, type[EntrySettings] | type[AgentSettings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
}


def load_settings(path: Path) -> EntrySettings | AgentSettings:
    """Load and validate a settings file.

    :raises SettingsError: the file can't be read or is invalid; lists all faults.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(str(path), [f"can't be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(str(path), [f"isn't valid TOML: {error}"]) from error
    model = _ROLES.get(str(data.get("role")))
    if model is None:
        raise SettingsError(str(path), ["role: must be 'entry' or 'agent'"])
    try:
        return model.model_validate(data)
    except ValidationError as error:
        faults = [
            f"{'.'.join(str(p) for p in fault['loc'])}: {fault['msg']}"
            for fault in error.errors()
        ]
        raise SettingsError(str(path), faults) from error
