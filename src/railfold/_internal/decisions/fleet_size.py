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

__all__ = ["Deal", "FleetSize"]

# While a deal is new, partitions move from one member to another and some are with
# nobody. Members renew every 0.75 s, and have all done so once after this time.
_SETTLED_S = 1.0

# The store's shares are uneven: of 240 partitions five members hold 40 or 50 each. One
# that is further from an even one is of another number of members. Parts by a list that
# is wrong by less add up to no more than 1.25 of what is divided, which is 0.8 of a
# limit.
_UNEVEN_SHARE = 0.2

# The share of its part that an entry has which has just come. Together they have no
# more than this of the whole, beside the parts of those that were there or, if all have
# just been started again, beside what those spent before. Entries divide 0.8 of a
# limit, so that a quarter of that is what is left.
_NEWCOMER_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Deal:
    """What one member was dealt.

    :param generation: rises with every change of members.
    :param own: partitions that this member holds.
    :param total: partitions that there are.
    """

    generation: int
    own: int
    total: int

    @property
    def members(self) -> int:
        """How many members there are; at least so many if this one holds nothing."""
        return max(1, round(self.total / max(1, self.own)))

    def fits(self, members: int) -> bool:
        """Return whether so many members may have been dealt such shares."""
        even = self.total / members
        return abs(self.own - even) <= 1.0 + _UNEVEN_SHARE * even


@dataclass(frozen=True, slots=True)
class _Reckoned:
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
        self, window_s: float, lapse_s: float, founded_by_s: float = float("-inf")
    ) -> None:
        self._window_s = window_s
        self._lapse_s = lapse_s
        self._founded_by_s = founded_by_s
        self._known_from_s: float | None = None
        self._listed: int | None = None
        self._deal: Deal | None = None
        self._dealt_s = 0.0
        self._renewed_s = 0.0
        self._reckoned: deque[_Reckoned] = deque()
        self._first_members: int | None = None

    def dealt(self, deal: Deal, sent_s: float) -> None:
        """Take what a renewal that was sent at ``sent_s`` was answered with."""
        self._note_coming(sent_s)
        if self._deal is None or deal.generation != self._deal.generation:
            self._dealt_s = sent_s
        self._deal = deal
        self._renewed_s = sent_s
        if sent_s - self._dealt_s >= _SETTLED_S:
            self._note(self._listed_if_it_fits(deal) or deal.members, sent_s)
        elif deal.own:
            # All that a process that has just started can go by.
            self._first_members = deal.members

    def _note_coming(self, sent_s: float) -> None:
        """Look whether the store counts this entry anew.

        Others may have taken its part meanwhile. They give it up once they hear of it;
        one that doesn't hear has it for a lapse and a window, and what it spends last
        counts for another window.
        """
        if self._known_from_s is None:
            is_founder = sent_s < self._founded_by_s
        elif sent_s - self._renewed_s < self._lapse_s:
            return
        else:
            is_founder = False
            self._deal = None  # What it is dealt now has to settle, too.
        wait_s = 0.0 if is_founder else self._lapse_s + 2 * self._window_s
        self._known_from_s = sent_s + wait_s

    def listed(self, entries: int) -> None:
        """Take how many entries there are by their own list, with those that are away.

        Whoever has just come can go by it before its deal has settled.
        """
        self._listed = entries

    def _listed_if_it_fits(self, deal: Deal) -> int:
        listed = self._listed
        return listed if listed is not None and deal.fits(listed) else 0

    def _note(self, members: int, now_s: float) -> None:
        if self._reckoned and self._reckoned[-1].members == members:
            return
        self._reckoned.append(_Reckoned(now_s, members))

    @property
    def members(self) -> int | None:
        """How many entries there are, if anything is known of it.

        The list tells exactly, but also holds some that are away.
        """
        if not self._reckoned:
            return self._first_members
        listed = self._listed_if_it_fits(self._deal) if self._deal else 0
        return listed or self._reckoned[-1].members

    def part(self, now_s: float) -> float:
        """Return which part of the whole this entry may spend in a window now.

        The most entries of two windows count. One that the store doesn't hear any more
        goes on for a window after it has lapsed there; when the others take its part,
        another window later, all that it spent lies outside.
        """
        unheard_s = now_s - self._renewed_s
        if self._known_from_s is None or unheard_s >= self._lapse_s + self._window_s:
            return 0.0
        share = 1.0 if now_s >= self._known_from_s else _NEWCOMER_SHARE
        return share / self._most_members(now_s)

    def _most_members(self, now_s: float) -> float:
        """Return how many entries there were at most of late; no number is too many."""
        listed = self._listed or 0
        if not self._reckoned:
            return max(listed, self._first_members or 0) if listed else float("inf")
        since_s = now_s - 2 * self._window_s
        while len(self._reckoned) > 1 and self._reckoned[1].at_s <= since_s:
            self._reckoned.popleft()
        return max(reckoned.members for reckoned in self._reckoned)
