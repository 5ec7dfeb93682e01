"""The number of entries that share a limit, as each of them estimates it by itself.

The store assigns its partitions evenly to the entries, so that the number of partitions
of one entry shows how many entries there are. Each entry may use an equal share of a
common limit in any time window. The shares together must never exceed the limit, though
entries come and go:

- A share that shrinks does so at once. A share that grows does so only when everything
  that departed entries may have used lies outside the window.
- An entry that can't reach the store gives up its share before others take it over.
- An entry that joins, or that joins again after its membership had expired, has a
  reduced share until no entry uses a share that was computed without it. It doesn't
  know how many entries there were before, nor what its previous incarnation has used.

Equal shares of a fixed number would be too large for some fleets: if each entry that
doesn't know its share took one twenty-fifth, 383 entries could use three times the
limit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["FleetSize", "PartitionAssignment"]

# After a change of members, partitions move between members and some have no owner.
# Members renew every 0.75 s, so that after this time all have renewed once.
_SETTLE_TIME_S = 1.0

# The store's assignment is uneven: of 240 partitions, five members hold 40 or 50 each.
# A larger deviation from an even share shows that the number of members is different.
# With a smaller one, shares computed from a wrong list sum to at most 1.25 of what is
# divided, which is 0.8 of a limit.
_MAX_UNEVENNESS = 0.2

# The part of its share that an entry which has just joined may use. Together, new
# members use at most this part of the total, in addition to the shares of earlier
# members or, after a restart of all entries, to what those used before. Since entries
# divide 0.8 of a limit, a quarter of that is what remains.
_NEW_MEMBER_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class PartitionAssignment:
    """The partitions that the store assigned to one member.

    :param generation: increases with every change of members.
    :param own_partitions: number of partitions of this member.
    :param total_partitions: number of partitions of all members.
    """

    generation: int
    own_partitions: int
    total_partitions: int

    @property
    def members(self) -> int:
        """Estimated number of members; a lower bound if this one has no partitions."""
        return max(1, round(self.total_partitions / max(1, self.own_partitions)))

    def is_consistent_with(self, members: int) -> bool:
        """Return whether ``members`` members may have been given such a share."""
        even_share = self.total_partitions / members
        return (
            abs(self.own_partitions - even_share) <= 1.0 + _MAX_UNEVENNESS * even_share
        )


@dataclass(frozen=True, slots=True)
class _SizeEstimate:
    at_s: float
    members: int


class FleetSize:
    """The number of entries, and this entry's share of a common limit.

    Times are on the monotonic clock.

    :param window_s: in any window of this length all entries together must stay within
        the limit.
    :param member_lease_s: how long after its last renewal the store counts a member.
    :param initial_members_until_s: an entry that joins before this time is one of the
        first of a new installation: no entry was there before.
    """

    def __init__(
        self,
        window_s: float,
        member_lease_s: float,
        initial_members_until_s: float = float("-inf"),
    ) -> None:
        self._window_s = window_s
        self._member_lease_s = member_lease_s
        self._initial_members_until_s = initial_members_until_s
        self._full_share_from_s: float | None = None
        self._listed_entries: int | None = None
        self._assignment: PartitionAssignment | None = None
        self._assignment_changed_s = 0.0
        self._last_renewal_s = 0.0
        self._estimates: deque[_SizeEstimate] = deque()
        self._initial_estimate: int | None = None

    def assignment_received(
        self, assignment: PartitionAssignment, sent_s: float
    ) -> None:
        """Process the assignment from the response to a renewal sent at ``sent_s``."""
        self._check_membership(sent_s)
        if (
            self._assignment is None
            or assignment.generation != self._assignment.generation
        ):
            self._assignment_changed_s = sent_s
        self._assignment = assignment
        self._last_renewal_s = sent_s
        if sent_s - self._assignment_changed_s >= _SETTLE_TIME_S:
            self._record_estimate(
                self._consistent_listed_entries(assignment) or assignment.members,
                sent_s,
            )
        elif assignment.own_partitions:
            # Until its assignment is stable, a new process has no better estimate.
            self._initial_estimate = assignment.members

    def _check_membership(self, sent_s: float) -> None:
        """Detect that the store counts this entry as a new member.

        Other entries may have taken over its share meanwhile. They give it back once
        they hear of this entry. One that can't reach the store keeps its share for a
        member lease and a window, and its last use counts for another window.
        """
        if self._full_share_from_s is None:
            is_initial_member = sent_s < self._initial_members_until_s
        elif sent_s - self._last_renewal_s < self._member_lease_s:
            return
        else:
            is_initial_member = False
            self._assignment = None  # The new assignment must become stable first, too.
        wait_s = 0.0 if is_initial_member else self._member_lease_s + 2 * self._window_s
        self._full_share_from_s = sent_s + wait_s

    def set_listed_entries(self, entries: int) -> None:
        """Set the number of entries in the list that entries keep in the store.

        The list includes entries that are absent. A new member can use it before its
        assignment is stable.
        """
        self._listed_entries = entries

    def _consistent_listed_entries(self, assignment: PartitionAssignment) -> int:
        listed_entries = self._listed_entries
        return (
            listed_entries
            if listed_entries is not None
            and assignment.is_consistent_with(listed_entries)
            else 0
        )

    def _record_estimate(self, members: int, now_s: float) -> None:
        if self._estimates and self._estimates[-1].members == members:
            return
        self._estimates.append(_SizeEstimate(now_s, members))

    @property
    def members(self) -> int | None:
        """Number of entries, ``None`` if it isn't known.

        The list of entries is exact, but may include absent ones: it is used if it is
        consistent with the assignment.
        """
        if not self._estimates:
            return self._initial_estimate
        listed_entries = (
            self._consistent_listed_entries(self._assignment) if self._assignment else 0
        )
        return listed_entries or self._estimates[-1].members

    def share(self, now_s: float) -> float:
        """Return the share of the limit, 0 to 1, that this entry may use in a window.

        It is based on the largest number of entries within two windows. An entry that
        can't reach the store keeps its share for one window after its membership has
        expired there. Others take its share over another window later, when everything
        that it used lies outside their window.
        """
        since_renewal_s = now_s - self._last_renewal_s
        if (
            self._full_share_from_s is None
            or since_renewal_s >= self._member_lease_s + self._window_s
        ):
            return 0.0
        share = 1.0 if now_s >= self._full_share_from_s else _NEW_MEMBER_SHARE
        return share / self._max_recent_members(now_s)

    def _max_recent_members(self, now_s: float) -> float:
        """Return the largest recent number of entries; infinite if none is known."""
        listed_entries = self._listed_entries or 0
        if not self._estimates:
            return (
                max(listed_entries, self._initial_estimate or 0)
                if listed_entries
                else float("inf")
            )
        since_s = now_s - 2 * self._window_s
        while len(self._estimates) > 1 and self._estimates[1].at_s <= since_s:
            self._estimates.popleft()
        return max(estimate.members for estimate in self._estimates)
