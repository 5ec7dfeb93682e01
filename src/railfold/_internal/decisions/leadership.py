"""Which of several processes does a duty, by a lease with a fencing token."""

from __future__ import annotations

from dataclasses import dataclass, replace

from railfold._internal.decisions.fleet_size import Deal

__all__ = ["Candidacy", "Leadership", "LeaseGrant"]

# Clocks of holder and granter may run apart, and an order is under way for a
# while after the last look at the lease.
_MARGIN_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The granter's answer to one renewal.

    :param is_holder: whether the lease is the caller's.
    :param fencing_token: rises with every change of holder.
    :param assignment: what tells how many processes ask for the lease, if it is known.
    :param epoch: of the granter's log, which rises when that goes back.
    :param is_candidate: whether the caller is one of the few that stand by for duties.
    """

    is_holder: bool
    fencing_token: int
    assignment: Deal | None = None
    epoch: int = 0
    is_candidate: bool = False


# A new deal among all processes names other candidates. Former ones stay for this time,
# so that the lease isn't dealt anew by each change.
_FORMER_CANDIDATE_S = 5.0


@dataclass(slots=True)
class Candidacy:
    """Whether one process asks for the lease; times are on the monotonic clock.

    :param membership_s: how long the process counts as a member after its last renewal
        among all processes.
    """

    membership_s: float
    _last_candidate_s: float = float("-inf")
    _renewed_s: float = float("-inf")

    def record_renewal(self, grant: LeaseGrant, sent_s: float) -> None:
        """Take an answer to a renewal among all processes."""
        self._renewed_s = sent_s
        if grant.is_candidate:
            self._last_candidate_s = sent_s

    def requests_lease(self, now_s: float) -> bool:
        """Return whether to ask for the lease; its holder goes on anyway."""
        is_member = now_s - self._renewed_s < self.membership_s
        return is_member and now_s - self._last_candidate_s < _FORMER_CANDIDATE_S


@dataclass(slots=True)
class Leadership:
    """One process's view of the lease; times are on the monotonic clock.

    The lease counts from when its renewal was sent, and ends for its holder
    before it ends for the granter. A holder whose token was refused as too low
    has a successor, and waits until it is granted a higher one.
    """

    duration_s: float
    _grant: LeaseGrant | None = None
    _renewed_s: float = 0.0
    _refused_token: int = -1

    def record_renewal(self, grant: LeaseGrant, sent_s: float) -> bool:
        """Take an answer to a renewal; return whether the role changed."""
        previous = self._grant
        self._grant = grant
        self._renewed_s = sent_s
        return previous is None or previous.is_holder != grant.is_holder

    def revoke(self) -> None:
        """The granter forgot what it granted, and may grant the lease to another."""
        if self._grant is not None:
            self._grant = replace(self._grant, is_holder=False)

    def record_refused_token(self, fencing_token: int) -> None:
        """An order with this token was refused: another has a higher one."""
        self._refused_token = max(self._refused_token, fencing_token)

    def current_token(self, now_s: float) -> int | None:
        """Return the token to give orders with, if the lease holds now."""
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
        """The newest token that was heard of."""
        return self._grant.fencing_token if self._grant else 0
