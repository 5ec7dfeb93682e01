"""Settings of a forwarding entry, as its platform's adapter provides them."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import Address

__all__ = ["DEFAULT_MEMORY_BYTES", "ForwardingSettings"]

# The memory for a process whose settings don't specify it.
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Settings of one process.

    :param name: name of the entry.
    :param client_address: the address that serves clients.
    :param readiness_address: the address for the load balancer's readiness probes.
    :param metrics_address: the address that serves metrics, if they are served.
    :param credential_lease_s: how long credentials may be used after the last proof
        that the store's configuration allows them.
    :param grace_s: time between the signal to stop and the kill.
    :param drain_notice_s: how long a backend server that has registered as leaving may
        still be sent new requests.
    :param retry_share: limit of the retries of all entries together, as a share of
        first attempts.
    :param retry_slack: number of retries beyond that share that all entries together
        may make in any ``retry_window_s``, for each service.
    :param first_start: whether the whole installation starts for the first time.
    :param peer_address: the address that receives other entries' messages, if this
        entry exchanges messages.
    :param peer_key: shared key that authenticates messages between entries; if it is
        None, the first entry creates one and writes it to the store.
    :param memory_bytes: the part of the host's memory for this process.
    :param predicts_chains: whether chains over engines of different speeds are chosen
        by the performance predicted for a request, rather than by their cost.
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
