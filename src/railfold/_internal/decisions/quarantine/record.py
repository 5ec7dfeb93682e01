"""What is known of one content."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field, replace
from itertools import pairwise

from railfold._internal.decisions.quarantine.contents import (
    Content,
    Crash,
    QuarantineChange,
    QuarantineState,
)

__all__ = ["SAME_MOMENT_S", "SKEW_S", "ContentRecord"]

# How long a content is held back at first, and at most. A trial costs a server's work
# for the seconds of its restart: one in ten minutes is 1 in 200 of its time.
_HOLD_S = 600.0
_HOLD_MOST_S = 24 * 3600.0

# Entries tell each other how long ago a run began, and agree on it to this: the time
# that a message takes between two hosts of neighbouring regions.
SKEW_S = 0.02

# Servers that end closer together than this end of one cause: of a rack's or a domain's
# servers all connections are reset within some milliseconds. What ends one server some
# time after it has begun to run there, and was sent again, takes longer.
SAME_MOMENT_S = 0.03

# A content that ran well within this time is one that clients send often, or that
# engines ran before their software changed.
_RECENT_SUCCESS_S = 60.0

# Bound of memory: crashes of each content.
_CRASHES_KEPT = 16

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

    content: Content
    crashes: dict[str, Crash] = field(default_factory=dict)
    holds: int = 0
    held_s: float | None = None
    probation_s: float | None = None
    trials: int = 0
    first_trial_s: float = _NEVER_S
    trial_began_s: float = _NEVER_S
    trial_until_s: float = _NEVER_S
    proofs: set[str] = field(default_factory=set)
    several_at_once: bool = False
    last_s: float = _NEVER_S

    @property
    def held_until_s(self) -> float:
        """When it may be tried again."""
        if self.held_s is None:
            return _NEVER_S
        return self.held_s + min(_HOLD_MOST_S, _HOLD_S * 2.0 ** min(20, self.holds - 1))

    @property
    def newest_crashes(self) -> tuple[Crash, ...]:
        """The crashes, oldest first."""
        return tuple(
            sorted(self.crashes.values(), key=lambda c: (c.order, c.server_id))
        )

    @property
    def versions(self) -> frozenset[str]:
        """The software and models that ended under it."""
        return frozenset(crash.version for crash in self.crashes.values())

    def take(self, crash: Crash) -> None:
        """Join a crash: of several runs at one server, the one that was cut off first.

        The others were sent there when it had ended.
        """
        known = self.crashes.get(crash.server_id)
        if known is not None and abs(crash.began_s - known.began_s) > SKEW_S:
            self.several_at_once = True
        # The rest only makes the choice the same everywhere.
        first = crash if known is None or crash.order < known.order else known
        # One that had brought events tells of the content what the others don't.
        silent = crash.silent and (known is None or known.silent)
        self.crashes[crash.server_id] = replace(first, silent=silent)

    def trim(self) -> None:
        """Keep the newest crashes only."""
        for crash in self.newest_crashes[:-_CRASHES_KEPT]:
            del self.crashes[crash.server_id]

    @property
    def is_restricted(self) -> bool:
        """Whether it is on probation or held back."""
        return self.held_s is not None or self.probation_s is not None

    @property
    def proved(self) -> bool:
        """Whether it is held back since servers ended under its trials."""
        return self.held_s is not None and bool(self.proofs)

    @property
    def ran_side_by_side(self) -> bool:
        """Whether runs of it went on at the same time, as many clients' do.

        One client that sends again what failed has one at a time.
        """
        crashes = self.newest_crashes
        return self.several_at_once or any(
            later.began_s < earlier.ended_s - SKEW_S
            for earlier, later in pairwise(crashes)
        )

    @property
    def crashes_on_trial(self) -> frozenset[str]:
        """The servers that ended under its trials since it is on probation."""
        if self.probation_s is None or self.trials == 0:
            return frozenset()
        since_s = self.first_trial_s - SKEW_S
        return frozenset(
            crash.server_id
            for crash in self.crashes.values()
            if crash.began_s >= since_s
        )

    def start_probation(self, now_s: float) -> None:
        """Let its requests run one at a time from now on."""
        self.probation_s = now_s
        self.trials = 0

    def start_trial(self, now_s: float, wait_s: float) -> None:
        """Let one request through, and others wait for so long."""
        if self.trials == 0:
            self.first_trial_s = now_s
        self.trials += 1
        self.trial_began_s = now_s
        self.trial_until_s = now_s + wait_s

    def withdraw_trial(self, now_s: float) -> None:
        """Count the last trial as none: its request wasn't run."""
        self.trials = max(0, self.trials - 1)
        self.trial_began_s = _NEVER_S
        self.trial_until_s = min(self.trial_until_s, now_s)

    def counted(self, explained: Set[str], last_success_s: float) -> list[Crash]:
        """Return the crashes that count; the package's documentation says which.

        :param explained: servers that another content ended.
        :param last_success_s: when it ran well last.
        """
        counted: list[Crash] = []
        last_ended_s = _NEVER_S
        for crash in self.newest_crashes:
            if crash.server_id in explained:
                continue
            if crash.ended_s < last_ended_s + SAME_MOMENT_S:
                continue
            succeeded_recently = crash.ended_s - last_success_s < _RECENT_SUCCESS_S
            if succeeded_recently and crash.began_s < last_ended_s - SKEW_S:
                continue
            counted.append(crash)
            last_ended_s = crash.ended_s
        return counted

    def changed(self, state: QuarantineState, reason: str) -> QuarantineChange:
        """Return a change to this state."""
        if self.held_s is None:
            return QuarantineChange(self.content, state, self.newest_crashes, reason)
        return QuarantineChange(
            self.content,
            state,
            self.newest_crashes,
            reason,
            was_held=True,
            held_s=self.held_s,
            holds=self.holds,
            until_s=self.held_until_s,
        )
