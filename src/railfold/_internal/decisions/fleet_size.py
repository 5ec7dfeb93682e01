"""How many entries share a limit, as each of them reckons it by itself.

The store deals partitions out evenly among the entries, so that an entry's share of
them tells how many there are. What an entry may spend of a common limit in any window
is its part. Parts add up to the whole in every window though entries come and go:

- a part that shrinks does so at once, one that grows does so only when all that entries
  which have left may have spent lies outside the window;
- an entry that the store no longer hears gives its part up before others take it;
- one that comes, or comes back after the store had stopped to count it, has a share of
  its part only, until nobody can spend a part any more that was reckoned without it. It
  doesn't know how many there were before, nor what its predecessor has spent.

Equal parts of a fixed number would be too large for some fleets: with 25 for all that
don't know theirs, 383 entries could spend three times the whole.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["FleetSize", "PartitionAssignment"]

# While a deal is new, partitions move from one member to another and some are with
# nobody. Members renew every 0.75 s, and have all done so once after this time.
_SETTLE_TIME_S = 1.0

# The store's shares are uneven: of 240 partitions five members hold 40 or 50 each. One
# that is further from an even one is of another number of members. Parts by a list that
# is wrong by less add up to no more than 1.25 of what is divided, which is 0.8 of a
# limit.
_MAX_UNEVENNESS = 0.2

# The share of its part that an entry has which has just come. Together they have no
# more than this of the whole, beside the parts of those that were there or, if all have
# just been started again, beside what those spent before. Entries divide 0.8 of a
# limit, so that a quarter of that is what is left.
_NEW_MEMBER_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class PartitionAssignment:
    """What one member was dealt.

    :param generation: rises with every change of members.
    :param own: partitions that this member holds.
    :param total: partitions that there are.
    """

    generation: int
    own_partitions: int
    total_partitions: int

    @property
    def members(self) -> int:
        """How many members there are; at least so many if this one holds nothing."""
        return max(1, round(self.total_partitions / max(1, self.own_partitions)))

    def is_consistent_with(self, members: int) -> bool:
        """Return whether so many members may have been dealt such shares."""
        even_share = self.total_partitions / members
        return (
            abs(self.own_partitions - even_share) <= 1.0 + _MAX_UNEVENNESS * even_share
        )


@dataclass(frozen=True, slots=True)
class _SizeEstimate:
    at_s: float
    members: int


class FleetSize:
    """The number of entries, and this one's part of what all may do.

    Times are on the monotonic clock.

    :param window_s: any window of this length must hold no more than the whole.
    :param lapse_s: how long after its last renewal the store counts a member.
    :param founded_by_s: who comes before this time is one of those that the
        installation begins with: nobody was there before.
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
        """Take what a renewal that was sent at ``sent_s`` was answered with."""
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
            # All that a process that has just started can go by.
            self._initial_estimate = assignment.members

    def _check_membership(self, sent_s: float) -> None:
        """Look whether the store counts this entry anew.

        Others may have taken its part meanwhile. They give it up once they hear of it;
        one that doesn't hear has it for a lapse and a window, and what it spends last
        counts for another window.
        """
        if self._full_share_from_s is None:
            is_initial_member = sent_s < self._initial_members_until_s
        elif sent_s - self._last_renewal_s < self._member_lease_s:
            return
        else:
            is_initial_member = False
            self._assignment = None  # What it is dealt now has to settle, too.
        wait_s = 0.0 if is_initial_member else self._member_lease_s + 2 * self._window_s
        self._full_share_from_s = sent_s + wait_s

    def set_listed_entries(self, entries: int) -> None:
        """Take how many entries there are by their own list, with those that are away.

        Whoever has just come can go by it before its deal has settled.
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
        """How many entries there are, if anything is known of it.

        The list tells exactly, but also holds some that are away.
        """
        if not self._estimates:
            return self._initial_estimate
        listed_entries = (
            self._consistent_listed_entries(self._assignment) if self._assignment else 0
        )
        return listed_entries or self._estimates[-1].members

    def share(self, now_s: float) -> float:
        """Return which part of the whole this entry may spend in a window now.

        The most entries of two windows count. One that the store doesn't hear any more
        goes on for a window after it has lapsed there; when the others take its part,
        another window later, all that it spent lies outside.
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
        """Return how many entries there were at most of late; no number is too many."""
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
