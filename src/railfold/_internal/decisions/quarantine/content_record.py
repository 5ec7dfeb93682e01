"""The crashes of one request content, and its quarantine state."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field, replace
from itertools import pairwise

from railfold._internal.decisions.quarantine.models import (
    Crash,
    QuarantineChange,
    QuarantineState,
    RequestContent,
)

__all__ = ["CLOCK_SKEW_S", "SIMULTANEOUS_S", "ContentRecord"]

# The duration of the first hold, and the upper limit of later ones, which double each
# time. A trial that crashes its server costs the few seconds of a restart: one every
# ten minutes takes 1/200 of the server's time.
_FIRST_HOLD_S = 600.0
_MAX_HOLD_S = 24 * 3600.0

# How far apart entries' times of the same event may lie. Entries report events by age,
# so the error is the time that a message takes between hosts of neighbouring regions.
CLOCK_SKEW_S = 0.02

# Crashes closer together than this have one cause: when a rack or a failure domain
# fails, the connections to all its servers are reset within a few milliseconds. A
# request that crashes one server and is sent to the next one takes longer than this.
SIMULTANEOUS_S = 0.03

# A content that succeeded within this time before a crash is either sent often by many
# clients, or worked until the engines' software changed.
_RECENT_SUCCESS_S = 60.0

# Limits memory: the number of crashes kept for each content.
_MAX_CRASHES = 16

_NEVER_S = float("-inf")


@dataclass(slots=True)
class ContentRecord:
    """The crashes of one request content, and its quarantine state.

    :param crashes: the crashes by server ID.
    :param hold_count: how often the content was held back in a row.
    :param held_since_s: when the current hold began; ``None`` if it isn't held back.
    :param probation_since_s: when the current probation began; ``None`` if the content
        isn't on probation.
    :param trial_count: the number of trials since the probation began.
    :param first_trial_s: when the first trial of the probation started.
    :param trial_started_s: when the latest trial started.
    :param trial_deadline_s: until when other requests wait for the result of the latest
        trial.
    :param proof_server_ids: servers that crashed during trials of the content, which
        proves that it crashes servers.
    :param had_concurrent_runs: whether a server crashed during several runs of the
        content.
    :param last_updated_s: when a crash or a hold was last added.
    """

    content: RequestContent
    crashes: dict[str, Crash] = field(default_factory=dict)
    hold_count: int = 0
    held_since_s: float | None = None
    probation_since_s: float | None = None
    trial_count: int = 0
    first_trial_s: float = _NEVER_S
    trial_started_s: float = _NEVER_S
    trial_deadline_s: float = _NEVER_S
    proof_server_ids: set[str] = field(default_factory=set)
    had_concurrent_runs: bool = False
    last_updated_s: float = _NEVER_S

    @property
    def held_until_s(self) -> float:
        """When the content may be tried again; long ago if it isn't held back."""
        if self.held_since_s is None:
            return _NEVER_S
        return self.held_since_s + min(
            _MAX_HOLD_S, _FIRST_HOLD_S * 2.0 ** min(20, self.hold_count - 1)
        )

    @property
    def sorted_crashes(self) -> tuple[Crash, ...]:
        """The crashes, oldest first."""
        return tuple(
            sorted(self.crashes.values(), key=lambda c: (c.sort_key, c.server_id))
        )

    @property
    def crashed_versions(self) -> frozenset[str]:
        """The versions that crashed while running the content."""
        return frozenset(crash.version for crash in self.crashes.values())

    def add_crash(self, crash: Crash) -> None:
        """Add a crash, or merge it with a known crash of the same server.

        Of several runs at one server the one that was interrupted first is kept, since
        the others were sent there after the crash.
        """
        known_crash = self.crashes.get(crash.server_id)
        if (
            known_crash is not None
            and abs(crash.began_s - known_crash.began_s) > CLOCK_SKEW_S
        ):
            self.had_concurrent_runs = True
        # The other parts of the sort key make all entries choose the same run.
        earliest = (
            crash
            if known_crash is None or crash.sort_key < known_crash.sort_key
            else known_crash
        )
        # A run that had sent events is evidence in favour of the content, so it
        # overrides runs that hadn't.
        silent = crash.silent and (known_crash is None or known_crash.silent)
        self.crashes[crash.server_id] = replace(earliest, silent=silent)

    def drop_oldest_crashes(self) -> None:
        """Drop the oldest crashes above the limit of crashes per content."""
        for crash in self.sorted_crashes[:-_MAX_CRASHES]:
            del self.crashes[crash.server_id]

    @property
    def is_restricted(self) -> bool:
        """Whether the content is on probation or held back."""
        return self.held_since_s is not None or self.probation_since_s is not None

    @property
    def is_proven(self) -> bool:
        """Whether the content is held back because its trial crashed a server."""
        return self.held_since_s is not None and bool(self.proof_server_ids)

    @property
    def ran_concurrently(self) -> bool:
        """Whether several runs of the content were in flight at the same time.

        That is the case if several clients send it. A single client that retries a
        failed request has one run in flight at a time.
        """
        crashes = self.sorted_crashes
        return self.had_concurrent_runs or any(
            later.began_s < earlier.ended_s - CLOCK_SKEW_S
            for earlier, later in pairwise(crashes)
        )

    @property
    def trial_crash_server_ids(self) -> frozenset[str]:
        """The servers that crashed during trials of the current probation."""
        if self.probation_since_s is None or self.trial_count == 0:
            return frozenset()
        since_s = self.first_trial_s - CLOCK_SKEW_S
        return frozenset(
            crash.server_id
            for crash in self.crashes.values()
            if crash.began_s >= since_s
        )

    def start_probation(self, now_s: float) -> None:
        """Put the content on probation: its requests run one at a time from now on."""
        self.probation_since_s = now_s
        self.trial_count = 0

    def start_trial(self, now_s: float, wait_s: float) -> None:
        """Start a trial.

        :param wait_s: how long other requests of the content wait for its result.
        """
        if self.trial_count == 0:
            self.first_trial_s = now_s
        self.trial_count += 1
        self.trial_started_s = now_s
        self.trial_deadline_s = now_s + wait_s

    def withdraw_trial(self, now_s: float) -> None:
        """Undo the latest trial, whose request wasn't run."""
        self.trial_count = max(0, self.trial_count - 1)
        self.trial_started_s = _NEVER_S
        self.trial_deadline_s = min(self.trial_deadline_s, now_s)

    def counted_crashes(
        self, explained_server_ids: Set[str], last_success_s: float
    ) -> list[Crash]:
        """Return the crashes that count as evidence against the content.

        The documentation of the module ``quarantine`` lists the rules.

        :param explained_server_ids: servers that another content crashed.
        :param last_success_s: when a run of the content last succeeded.
        """
        counted: list[Crash] = []
        last_ended_s = _NEVER_S
        for crash in self.sorted_crashes:
            if crash.server_id in explained_server_ids:
                continue
            if crash.ended_s < last_ended_s + SIMULTANEOUS_S:
                continue
            succeeded_recently = crash.ended_s - last_success_s < _RECENT_SUCCESS_S
            if succeeded_recently and crash.began_s < last_ended_s - CLOCK_SKEW_S:
                continue
            counted.append(crash)
            last_ended_s = crash.ended_s
        return counted

    def change_to(self, state: QuarantineState, reason: str) -> QuarantineChange:
        """Return a change of the content to a state, with its crashes and its hold."""
        if self.held_since_s is None:
            return QuarantineChange(self.content, state, self.sorted_crashes, reason)
        return QuarantineChange(
            self.content,
            state,
            self.sorted_crashes,
            reason,
            was_held_back=True,
            held_since_s=self.held_since_s,
            hold_count=self.hold_count,
            held_until_s=self.held_until_s,
        )
