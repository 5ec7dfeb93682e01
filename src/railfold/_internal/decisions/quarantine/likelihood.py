"""Estimates how likely each suspected content crashes servers, by Bayes' rule.

The parts of prompts that requests share are suspects like contents.

An incident is the crash of one server, or of several at the same moment. Any set of
contents may be at fault. The weight of a set is the prior odds of its contents times
the likelihood of the observed incidents: an incident at which a content of the set was
running is certain, any other incident has an unrelated cause. The likelihood of a
content is the share of the total weight that belongs to sets with that content.

Two contents that always ran at the same incidents therefore are equally likely at
fault. A content that was running at one more incident is more likely at fault than the
other. A content that was running at all incidents of two others stays unlikely, since
those two explain the incidents as well.

If a content and a prompt part were always together, neither is likely enough by itself,
although one of them certainly is at fault. The likelihood that any of several suspects
is at fault is the share of the sets that contain at least one of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations
from math import prod

__all__ = [
    "FaultWeights",
    "RunAtIncident",
    "Suspect",
    "fault_likelihoods",
    "fault_weights",
]

# The share of the examined incidents that have an unrelated cause.
_UNRELATED_SHARE = 0.1

# Prior probabilities that a content is at fault: one that was running at several
# incidents, as when a client retries it after each failure; one that several clients
# send at the same time; one that succeeded before; and one with a single incident.
_PRIOR_REPEATED = 0.1
_PRIOR_CONCURRENT = 0.01
_PRIOR_SUCCEEDED = 0.001
_PRIOR_SINGLE = 0.003

# Likelihood ratios of a stream without events, and of a stream with events. A stream
# that is at fault crashes its server before its first event; most other streams have
# sent an event by then.
_SILENT_LIKELIHOOD_RATIO = 2.0
_EVENTS_LIKELIHOOD_RATIO = 0.05

# Likelihood ratio of a content that runs one at a time. Such a content is rarely on a
# server that crashes for an unrelated reason.
_ONE_AT_A_TIME_LIKELIHOOD_RATIO = 2.0

# Limits the computation: the number of weighed contents, and of contents that may be at
# fault at once.
_MAX_SUSPECTS = 8
_MAX_AT_FAULT = 4


@dataclass(frozen=True, slots=True)
class RunAtIncident:
    """The run of a content at an incident.

    :param silent: whether the stream had sent no event; ``None`` if it isn't known to
        be a stream.
    :param one_at_a_time: whether no other run of the content was in flight.
    """

    silent: bool | None
    one_at_a_time: bool

    @property
    def likelihood_ratio(self) -> float:
        """How much more likely such a run is if its content is at fault than if not."""
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
    """A content that was running when servers crashed.

    :param runs: the content's runs by the number of the incident.
    :param has_succeeded: whether a run of the content ever succeeded.
    :param ran_concurrently: whether several runs were in flight at the same time.
    :param is_proven: whether the content is known to be at fault.
    :param is_prompt_part: whether it is a prompt part, of which several runs are in
        flight as a rule, rather than a content.
    """

    digest: str
    runs: Mapping[int, RunAtIncident]
    has_succeeded: bool = False
    ran_concurrently: bool = False
    is_proven: bool = False
    is_prompt_part: bool = False

    @property
    def prior_odds(self) -> float:
        """The odds that the content is at fault, regardless of its incidents."""
        prior = _PRIOR_REPEATED
        if self.ran_concurrently and not self.is_prompt_part:
            prior = min(prior, _PRIOR_CONCURRENT)
        if self.has_succeeded:
            prior = min(prior, _PRIOR_SUCCEEDED)
        return prior / (1.0 - prior)


@dataclass(frozen=True, slots=True)
class FaultWeights:
    """The weights of the sets of suspects that may be at fault.

    :param by_set: the digests of each set with its weight.
    :param total: the sum of all weights.
    """

    by_set: tuple[tuple[frozenset[str], float], ...]
    total: float

    def likelihoods(self) -> dict[str, float]:
        """Return how likely each suspect is at fault, by digest."""
        weight_by_digest: dict[str, float] = {}
        for digests, weight in self.by_set:
            for digest in digests:
                weight_by_digest[digest] = weight_by_digest.get(digest, 0.0) + weight
        return {d: weight / self.total for d, weight in weight_by_digest.items()}

    def any_likelihood(self, digests: Iterable[str]) -> float:
        """Return how likely at least one of several suspects is at fault."""
        wanted = frozenset(digests)
        return (
            sum(w for at_fault, w in self.by_set if not wanted.isdisjoint(at_fault))
            / self.total
        )


def fault_likelihoods(suspects: Iterable[Suspect]) -> dict[str, float]:
    """Return how likely the contents with several incidents are at fault, by digest."""
    return fault_weights(suspects).likelihoods()


def fault_weights(suspects: Iterable[Suspect]) -> FaultWeights:
    """Return the weights of the sets of contents that may be at fault.

    Incidents of a content that is proven to be at fault don't count against others.
    Proven contents, and contents above the limit of weighed ones, are left out.
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
        key=lambda s: (-len(s.likelihood_ratios), s.is_cleared_part, s.digest),
    )[:_MAX_SUSPECTS]
    repeated_digests = {suspect.digest for suspect in repeated}
    incidents = {
        incident for suspect in repeated for incident in suspect.likelihood_ratios
    }
    unrelated_likelihoods = dict.fromkeys(incidents, _UNRELATED_SHARE)
    for suspect in unproven_suspects:
        # Each run counts once, by its content.
        if suspect.digest not in repeated_digests and not suspect.is_prompt_part:
            for incident in suspect.likelihood_ratios.keys() & incidents:
                unrelated_likelihoods[incident] += (
                    _PRIOR_SINGLE * suspect.likelihood_ratios[incident]
                )
    by_set = tuple(
        (
            frozenset(s.digest for s in at_fault),
            _weight(at_fault, unrelated_likelihoods),
        )
        for at_fault in _subsets(repeated)
    )
    return FaultWeights(by_set, sum(weight for _, weight in by_set))


class _WeightedSuspect:
    """A suspect's prior odds, and its likelihood ratios at unexplained incidents."""

    def __init__(self, suspect: Suspect, explained_incidents: set[int]) -> None:
        self.digest = suspect.digest
        self.is_prompt_part = suspect.is_prompt_part
        # Popular parts are at many incidents; they must not displace the cause.
        self.is_cleared_part = suspect.is_prompt_part and suspect.has_succeeded
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
    """Return how likely exactly these suspects are at fault, up to a common factor."""
    weight = prod(suspect.prior_odds for suspect in at_fault)
    for incident, unrelated_likelihood in unrelated_likelihoods.items():
        likelihood_ratios = [
            s.likelihood_ratios[incident]
            for s in at_fault
            if incident in s.likelihood_ratios
        ]
        weight *= prod(likelihood_ratios) if likelihood_ratios else unrelated_likelihood
    return weight
