"""How likely each content under suspicion is what ends servers (Bayes' rule).

Any set of contents may be at fault. Such a set is as likely as its contents are at
first, times how likely it makes what was seen: an end with one of them there is sure,
an end without any is an unrelated one. The likelihood of a content is the share of the
sets with it. So two contents that were always together share the blame, one that was
somewhere without the other gets it, and one that was under all ends of two others gains
little, since those two explain them as well.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations
from math import prod

__all__ = ["RunAtEnd", "Suspect", "likelihoods"]

# How often servers end for another reason, in parts of ends that are looked into.
_UNRELATED = 0.1

# How likely a content is at fault that was under several ends, before more is known:
# one that a client sends again when it fails; one that several clients send at the same
# time; one that ran well before; and one that was under a single end.
_REPEATED = 0.1
_SIDE_BY_SIDE = 0.01
_SUCCEEDED = 0.001
_SINGLE = 0.003

# A stream that is at fault ends its server before its first event, and others have
# mostly brought one: how much more likely a run without, or with, events makes a fault.
_SILENT_RATIO = 2.0
_EVENTS_RATIO = 0.05

# A content that runs one at a time is seldom at a server that ends for another reason:
# how much more likely its presence makes a fault.
_ONE_AT_A_TIME_RATIO = 2.0

# Bounds of the work: contents that are weighed, and how many may be at fault at once.
_MAX_SUSPECTS = 8
_MAX_AT_FAULT = 4


@dataclass(frozen=True, slots=True)
class RunAtEnd:
    """A content's run at a server that ended.

    :param silent: whether it had brought no event; ``None`` if it brings none.
    :param one_at_a_time: whether no other run of the content was under way.
    """

    silent: bool | None
    one_at_a_time: bool

    @property
    def ratio(self) -> float:
        """How much more likely such a run is if its content is at fault."""
        ratio = _ONE_AT_A_TIME_RATIO if self.one_at_a_time else 1.0
        match self.silent:
            case None:
                return ratio
            case True:
                return ratio * _SILENT_RATIO
            case False:
                return ratio * _EVENTS_RATIO


@dataclass(frozen=True, slots=True)
class Suspect:
    """A content under which servers ended.

    :param runs: its runs by the number of the end that they were under.
    :param has_succeeded: whether a run of it ever came to a good end.
    :param ran_side_by_side: whether several clients send it at the same time.
    :param proved: whether it is known to be at fault.
    """

    digest: str
    runs: Mapping[int, RunAtEnd]
    has_succeeded: bool = False
    ran_side_by_side: bool = False
    proved: bool = False

    @property
    def odds(self) -> float:
        """How likely it is at fault before its crashes are looked at, as odds."""
        prior = _REPEATED
        if self.ran_side_by_side:
            prior = min(prior, _SIDE_BY_SIDE)
        if self.has_succeeded:
            prior = min(prior, _SUCCEEDED)
        return prior / (1.0 - prior)


def likelihoods(suspects: Iterable[Suspect]) -> dict[str, float]:
    """Return how likely contents are at fault that were under several ends.

    Ends under contents that are proved count for no other.
    """
    known = list(suspects)
    explained = {end for s in known if s.proved for end in s.runs}
    open_suspects = [_Weighed(s, explained) for s in known if not s.proved]
    repeated = sorted(
        (s for s in open_suspects if len(s.ratios) > 1),
        key=lambda s: (-len(s.ratios), s.digest),
    )[:_MAX_SUSPECTS]
    chosen = {suspect.digest for suspect in repeated}
    ends = {end for suspect in repeated for end in suspect.ratios}
    unrelated = dict.fromkeys(ends, _UNRELATED)
    for suspect in open_suspects:
        if suspect.digest not in chosen:
            for end in suspect.ratios.keys() & ends:
                unrelated[end] += _SINGLE * suspect.ratios[end]
    total = 0.0
    with_content = dict.fromkeys(chosen, 0.0)
    for at_fault in _subsets(repeated):
        weight = _weight(at_fault, unrelated)
        total += weight
        for suspect in at_fault:
            with_content[suspect.digest] += weight
    return {digest: weight / total for digest, weight in with_content.items()}


class _Weighed:
    """A suspect, and what its runs at ends that nothing explains say of it."""

    def __init__(self, suspect: Suspect, explained: set[int]) -> None:
        self.digest = suspect.digest
        self.odds = suspect.odds
        self.ratios = {
            end: run.ratio for end, run in suspect.runs.items() if end not in explained
        }


def _subsets(suspects: list[_Weighed]) -> Iterator[tuple[_Weighed, ...]]:
    for size in range(min(_MAX_AT_FAULT, len(suspects)) + 1):
        yield from combinations(suspects, size)


def _weight(at_fault: tuple[_Weighed, ...], unrelated: Mapping[int, float]) -> float:
    """Return how likely it is that just these are at fault, up to a common factor."""
    weight = prod(suspect.odds for suspect in at_fault)
    for end, otherwise in unrelated.items():
        ratios = [s.ratios[end] for s in at_fault if end in s.ratios]
        weight *= prod(ratios) if ratios else otherwise
    return weight
