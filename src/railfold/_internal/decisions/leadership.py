"""Elect the one process that performs a duty, by a lease with a fencing token."""

from __future__ import annotations

from dataclasses import dataclass, replace

from railfold._internal.decisions.fleet_size import PartitionAssignment

__all__ = ["Candidacy", "Leadership", "LeaseGrant"]

# The holder treats the lease as expired this share of its duration early: the clocks of
# holder and granter may drift apart, and an order is in flight for a while after the
# holder has checked its lease.
_MARGIN_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The granter's answer to one renewal.

    :param is_holder: whether the caller holds the lease.
    :param fencing_token: increases with every change of the holder.
    :param assignment: the caller's share of the group's partitions, from which the
        number of processes that ask for the lease follows; None if it isn't known.
    :param epoch: epoch of the granter's log, which increases when that log is restored
        from an older copy.
    :param is_candidate: whether the caller is one of the few processes that are to ask
        for the leases of duties.
    """

    is_holder: bool
    fencing_token: int
    assignment: PartitionAssignment | None = None
    epoch: int = 0
    is_candidate: bool = False


# Each change of the processes may select other candidates. Former candidates keep
# asking for the lease for this time, so that not every change moves the lease.
_FORMER_CANDIDATE_S = 5.0


@dataclass(slots=True)
class Candidacy:
    """Decides whether one process asks for the lease; times are monotonic.

    :param membership_s: how long the process counts as a member after it last renewed
        its membership of the group of all processes.
    """

    membership_s: float
    _last_candidate_s: float = float("-inf")
    _renewed_s: float = float("-inf")

    def record_renewal(self, grant: LeaseGrant, sent_s: float) -> None:
        """Record an answer to a renewal of the membership, sent at ``sent_s``."""
        self._renewed_s = sent_s
        if grant.is_candidate:
            self._last_candidate_s = sent_s

    def requests_lease(self, now_s: float) -> bool:
        """Return whether to ask for the lease; a holder renews it in any case."""
        is_member = now_s - self._renewed_s < self.membership_s
        return is_member and now_s - self._last_candidate_s < _FORMER_CANDIDATE_S


@dataclass(slots=True)
class Leadership:
    """One process's view of the lease; times are on the monotonic clock.

    The lease counts from the moment when its renewal was sent, and its holder treats
    it as expired before the granter does. A holder whose token was refused as too low
    has a successor, and has no valid token until it is granted a higher one.

    :param duration_s: how long the granter considers the lease valid.
    """

    duration_s: float
    _grant: LeaseGrant | None = None
    _renewed_s: float = 0.0
    _refused_token: int = -1

    def record_renewal(self, grant: LeaseGrant, sent_s: float) -> bool:
        """Record an answer to a renewal; return whether this process's role changed."""
        previous = self._grant
        self._grant = grant
        self._renewed_s = sent_s
        return previous is None or previous.is_holder != grant.is_holder

    def revoke(self) -> None:
        """Drop the lease: the granter lost its record and may grant it to another."""
        if self._grant is not None:
            self._grant = replace(self._grant, is_holder=False)

    def record_refused_token(self, fencing_token: int) -> None:
        """Record that an order with this token was refused for a higher one."""
        self._refused_token = max(self._refused_token, fencing_token)

    def current_token(self, now_s: float) -> int | None:
        """Return the fencing token for orders, or None if the lease isn't held now."""
        grant = self._grant
        if (
            grant is None
            or not grant.is_holder
            or grant.fencing_token <= self._refused_token
        ):
            return None
        if now_s - self._renewed_s >= self.duration_s * (1.0 - _MARGIN_SHARE):
            return None
        return grant.fencing_token

    @property
    def newest_token(self) -> int:
        """The token in the granter's newest answer; 0 before the first answer."""
        return self._grant.fencing_token if self._grant else 0
