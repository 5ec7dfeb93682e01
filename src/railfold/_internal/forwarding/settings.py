"""Settings of a forwarding entry, as its platform's adapter gives them."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import Address

__all__ = ["DEFAULT_MEMORY_BYTES", "ForwardingSettings"]

# The memory that a process reckons with if its settings don't tell.
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Settings of one process.

    :param clients: where clients are served.
    :param readiness: where the balancer asks whether it may send clients.
    :param metrics: where metrics are served, if they are.
    :param credential_lease_s: how long credentials may be used after the store
        was last known to allow them.
    :param grace_s: time between the order to stop and the kill.
    :param drain_notice_s: how long after a backend server has registered that it
        leaves new work may still reach it.
    :param retry_share: retries as a share of first sends that all entries
        together may make.
    :param retry_slack: retries beyond that share that all entries together may
        make in any ``retry_window_s``, to each service.
    :param memory_bytes: of the host, for this process.
    :param predicts_chains: whether chains over engines of unlike speeds are chosen by
        what a request is predicted to get there, instead of by their cost.
    :param first_start: whether the whole installation starts for the first time.
    :param peers: where other entries' messages are taken, if they are.
    :param peer_key: makes the codes by which entries know each other's messages; if
        none is given, the first entry makes one and leaves it in the store.
    """

    name: str
    failure_domain: str
    region: str
    client_address: Address
    readiness_address: Address
    metrics_address: Address | None
    credential_lease_s: float
    grace_s: float
    drain_notice_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float
    first_start: bool
    peer_address: Address | None = None
    peer_key: bytes | None = None
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    predicts_chains: bool = False
