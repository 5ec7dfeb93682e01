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

__all__ = ["RunAtIncident", "Suspect", "fault_likelihoods"]

# How often servers end for another reason, in parts of ends that are looked into.
_UNRELATED_SHARE = 0.1

# How likely a content is at fault that was under several ends, before more is known:
# one that a client sends again when it fails; one that several clients send at the same
# time; one that ran well before; and one that was under a single end.
_PRIOR_REPEATED = 0.1
_PRIOR_CONCURRENT = 0.01
_PRIOR_SUCCEEDED = 0.001
_PRIOR_SINGLE = 0.003

# A stream that is at fault ends its server before its first event, and others have
# mostly brought one: how much more likely a run without, or with, events makes a fault.
_SILENT_LIKELIHOOD_RATIO = 2.0
_EVENTS_LIKELIHOOD_RATIO = 0.05

# A content that runs one at a time is seldom at a server that ends for another reason:
# how much more likely its presence makes a fault.
_ONE_AT_A_TIME_LIKELIHOOD_RATIO = 2.0

# Bounds of the work: contents that are weighed, and how many may be at fault at once.
_MAX_SUSPECTS = 8
_MAX_AT_FAULT = 4


@dataclass(frozen=True, slots=True)
class RunAtIncident:
    """A content's run at a server that ended.

    :param silent: whether it had brought no event; ``None`` if it brings none.
    :param one_at_a_time: whether no other run of the content was under way.
    """

    silent: bool | None
    one_at_a_time: bool

    @property
    def likelihood_ratio(self) -> float:
        """How much more likely such a run is if its content is at fault."""
        likelihood_ratio = (
            _ONE_AT_A_TIME_LIKELIHOOD_RATIO if self.one_at_a_time else 1.0
        )
        match self.silent:
            case None:
                return likelihood_ratio
            case True:
                return likelihood_ratio * _SILENT_LIKELIHOOD_RATIO
            case False:
                return likelihood_ratio * _EVENTS_LIKELIHOOD_RATIO


@dataclass(frozen=True, slots=True)
class Suspect:
    """A content under which servers ended.

    :param runs: its runs by the number of the end that they were under.
    :param has_succeeded: whether a run of it ever came to a good end.
    :param ran_side_by_side: whether several clients send it at the same time.
    :param proved: whether it is known to be at fault.
    """

    digest: str
    runs: Mapping[int, RunAtIncident]
    has_succeeded: bool = False
    ran_concurrently: bool = False
    is_proven: bool = False

    @property
    def prior_odds(self) -> float:
        """How likely it is at fault before its crashes are looked at, as odds."""
        prior = _PRIOR_REPEATED
        if self.ran_concurrently:
            prior = min(prior, _PRIOR_CONCURRENT)
        if self.has_succeeded:
            prior = min(prior, _PRIOR_SUCCEEDED)
        return prior / (1.0 - prior)


def fault_likelihoods(suspects: Iterable[Suspect]) -> dict[str, float]:
    """Return how likely contents are at fault that were under several ends.

    Ends under contents that are proved count for no other.
    """
    all_suspects = list(suspects)
    explained_incidents = {
        incident for s in all_suspects if s.is_proven for incident in s.runs
    }
    unproven_suspects = [
        _WeightedSuspect(s, explained_incidents)
        for s in all_suspects
        if not s.is_proven
    ]
    repeated = sorted(
        (s for s in unproven_suspects if len(s.likelihood_ratios) > 1),
        key=lambda s: (-len(s.likelihood_ratios), s.digest),
    )[:_MAX_SUSPECTS]
    repeated_digests = {suspect.digest for suspect in repeated}
    incidents = {
        incident for suspect in repeated for incident in suspect.likelihood_ratios
    }
    unrelated_likelihoods = dict.fromkeys(incidents, _UNRELATED_SHARE)
    for suspect in unproven_suspects:
        if suspect.digest not in repeated_digests:
            for incident in suspect.likelihood_ratios.keys() & incidents:
                unrelated_likelihoods[incident] += (
                    _PRIOR_SINGLE * suspect.likelihood_ratios[incident]
                )
    total = 0.0
    weight_by_digest = dict.fromkeys(repeated_digests, 0.0)
    for at_fault in _subsets(repeated):
        weight = _weight(at_fault, unrelated_likelihoods)
        total += weight
        for suspect in at_fault:
            weight_by_digest[suspect.digest] += weight
    return {digest: weight / total for digest, weight in weight_by_digest.items()}


class _WeightedSuspect:
    """A suspect, and what its runs at ends that nothing explains say of it."""

    def __init__(self, suspect: Suspect, explained_incidents: set[int]) -> None:
        self.digest = suspect.digest
        self.prior_odds = suspect.prior_odds
        self.likelihood_ratios = {
            incident: run.likelihood_ratio
            for incident, run in suspect.runs.items()
            if incident not in explained_incidents
        }


def _subsets(
    suspects: list[_WeightedSuspect],
) -> Iterator[tuple[_WeightedSuspect, ...]]:
    for size in range(min(_MAX_AT_FAULT, len(suspects)) + 1):
        yield from combinations(suspects, size)


def _weight(
    at_fault: tuple[_WeightedSuspect, ...], unrelated_likelihoods: Mapping[int, float]
) -> float:
    """Return how likely it is that just these are at fault, up to a common factor."""
    weight = prod(suspect.prior_odds for suspect in at_fault)
    for incident, unrelated_likelihood in unrelated_likelihoods.items():
        likelihood_ratios = [
            s.likelihood_ratios[incident]
            for s in at_fault
            if incident in s.likelihood_ratios
        ]
        weight *= prod(likelihood_ratios) if likelihood_ratios else unrelated_likelihood
    return weight
