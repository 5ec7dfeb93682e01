"""What is known of one content."""

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

# How long a content is held back at first, and at most. A trial costs a server's work
# for the seconds of its restart: one in ten minutes is 1 in 200 of its time.
_FIRST_HOLD_S = 600.0
_MAX_HOLD_S = 24 * 3600.0

# Entries tell each other how long ago a run began, and agree on it to this: the time
# that a message takes between two hosts of neighbouring regions.
CLOCK_SKEW_S = 0.02

# Servers that end closer together than this end of one cause: of a rack's or a domain's
# servers all connections are reset within some milliseconds. What ends one server some
# time after it has begun to run there, and was sent again, takes longer.
SIMULTANEOUS_S = 0.03

# A content that ran well within this time is one that clients send often, or that
# engines ran before their software changed.
_RECENT_SUCCESS_S = 60.0

# Bound of memory: crashes of each content.
_MAX_CRASHES = 16

_NEVER_S = float("-inf")


@dataclass(slots=True)
class ContentRecord:
    """What is known of one content.

    :param holds: how often it was held back in a row.
    :param held_s: when it was held back last; nothing if it isn't.
    :param probation_s: since when its requests run one at a time; nothing if they
        don't.
    :param trials: how many requests were let through on trial since then.
    :param first_trial_s: when the first of them was.
    :param trial_began_s: when the last one was.
    :param trial_until_s: until when others wait for what comes of that one.
    :param proofs: servers that ended under its trials before it was held back.
    :param several_at_once: whether a server ended under several runs of it.
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
        """When it may be tried again."""
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
        """The software and models that ended under it."""
        return frozenset(crash.version for crash in self.crashes.values())

    def add_crash(self, crash: Crash) -> None:
        """Join a crash: of several runs at one server, the one that was cut off first.

        The others were sent there when it had ended.
        """
        known_crash = self.crashes.get(crash.server_id)
        if (
            known_crash is not None
            and abs(crash.began_s - known_crash.began_s) > CLOCK_SKEW_S
        ):
            self.had_concurrent_runs = True
        # The rest only makes the choice the same everywhere.
        earliest = (
            crash
            if known_crash is None or crash.sort_key < known_crash.sort_key
            else known_crash
        )
        # One that had brought events tells of the content what the others don't.
        silent = crash.silent and (known_crash is None or known_crash.silent)
        self.crashes[crash.server_id] = replace(earliest, silent=silent)

    def drop_oldest_crashes(self) -> None:
        """Keep the newest crashes only."""
        for crash in self.sorted_crashes[:-_MAX_CRASHES]:
            del self.crashes[crash.server_id]

    @property
    def is_restricted(self) -> bool:
        """Whether it is on probation or held back."""
        return self.held_since_s is not None or self.probation_since_s is not None

    @property
    def is_proven(self) -> bool:
        """Whether it is held back since servers ended under its trials."""
        return self.held_since_s is not None and bool(self.proof_server_ids)

    @property
    def ran_concurrently(self) -> bool:
        """Whether runs of it went on at the same time, as many clients' do.

        One client that sends again what failed has one at a time.
        """
        crashes = self.sorted_crashes
        return self.had_concurrent_runs or any(
            later.began_s < earlier.ended_s - CLOCK_SKEW_S
            for earlier, later in pairwise(crashes)
        )

    @property
    def trial_crash_server_ids(self) -> frozenset[str]:
        """The servers that ended under its trials since it is on probation."""
        if self.probation_since_s is None or self.trial_count == 0:
            return frozenset()
        since_s = self.first_trial_s - CLOCK_SKEW_S
        return frozenset(
            crash.server_id
            for crash in self.crashes.values()
            if crash.began_s >= since_s
        )

    def start_probation(self, now_s: float) -> None:
        """Let its requests run one at a time from now on."""
        self.probation_since_s = now_s
        self.trial_count = 0

    def start_trial(self, now_s: float, wait_s: float) -> None:
        """Let one request through, and others wait for so long."""
        if self.trial_count == 0:
            self.first_trial_s = now_s
        self.trial_count += 1
        self.trial_started_s = now_s
        self.trial_deadline_s = now_s + wait_s

    def withdraw_trial(self, now_s: float) -> None:
        """Count the last trial as none: its request wasn't run."""
        self.trial_count = max(0, self.trial_count - 1)
        self.trial_started_s = _NEVER_S
        self.trial_deadline_s = min(self.trial_deadline_s, now_s)

    def counted_crashes(
        self, explained_server_ids: Set[str], last_success_s: float
    ) -> list[Crash]:
        """Return the crashes that count; the package's documentation says which.

        :param explained: servers that another content ended.
        :param last_success_s: when it ran well last.
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
        """Return a change to this state."""
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
