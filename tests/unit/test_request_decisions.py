"""Tests decisions about requests that share the parts of their prompts.

They guard against two failures: requests of which no two are alike that crash servers
by one common part, and sound requests that are refused for a part that they share.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.quarantine import (
    Crash,
    Quarantine,
    QuarantineDecision,
    QuarantineState,
    RequestContent,
    RequestDecisions,
    RequestDigests,
)
from railfold._internal.decisions.quarantine.evidence import MAX_CONTENTS

REVIEWED_S = 5.0


@pytest.fixture
def quarantine() -> Quarantine:
    return Quarantine()


@pytest.fixture
def decisions(quarantine: Quarantine) -> RequestDecisions:
    return RequestDecisions(quarantine)


def crash_server(
    quarantine: Quarantine, number: int, content: str, *parts: str
) -> None:
    """Crash a server one second after the last one, with one request."""
    at_s = 1.0 + number
    contents = [RequestContent(content, "llm", "draft", "quality")]
    contents += [
        RequestContent(part, "llm", "draft", "", is_prompt_part=True) for part in parts
    ]
    crash = Crash(f"i-{number}", at_s - 0.1, at_s)
    quarantine.record_crashes({c: [crash] for c in contents}, at_s)


def decide(
    decisions: RequestDecisions, content: str, *parts: str, at_s: float = REVIEWED_S
) -> QuarantineDecision:
    """Return the decision after a review, as an entry asks for it."""
    digests = RequestDigests(content, parts)
    decisions.review(digests, at_s)
    return decisions.decide(digests, at_s)


def test_common_part_of_different_requests_is_held_back(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    quarantine.record_success("first", 0.5)
    for number in range(4):
        crash_server(quarantine, number, f"content-{number}", "first", "bad")
        quarantine.record_success("first", 1.5 + number)
    assert decide(decisions, "another", "first", "bad") is QuarantineDecision.REFUSE
    assert decide(decisions, "another", "bad") is QuarantineDecision.REFUSE
    assert decide(decisions, "another", "first") is QuarantineDecision.ALLOW
    assert [change.content.digest for change in quarantine.held_back] == ["bad"]


def test_one_of_two_inseparable_parts_is_tried(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    for number in range(4):
        crash_server(quarantine, number, f"content-{number}", "bad", "beside")
    assert decide(decisions, "another", "bad", "beside") is QuarantineDecision.REFUSE
    assert decide(decisions, "another", "beside") is QuarantineDecision.ALLOW_TRIAL
    quarantine.record_success("beside", REVIEWED_S)
    assert decide(decisions, "another", "beside") is QuarantineDecision.ALLOW
    assert decide(decisions, "another", "bad") is QuarantineDecision.REFUSE


def test_repeated_content_is_held_back_although_its_part_may_be_at_fault(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    for number in range(3):
        crash_server(quarantine, number, "content", "part")
    assert decide(decisions, "content", "part") is QuarantineDecision.REFUSE
    assert [change.content.digest for change in quarantine.held_back] == ["content"]
    assert decide(decisions, "another", "part") is QuarantineDecision.ALLOW_TRIAL


def test_popular_part_at_two_crashes_costs_no_request_its_retry(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    quarantine.record_success("popular", 0.5)
    for number in range(2):
        crash_server(quarantine, number, f"content-{number}", "popular")
    digests = RequestDigests("another", ("popular",))
    assert decide(decisions, "another", "popular") is QuarantineDecision.ALLOW
    assert not decisions.is_near_restriction(digests)
    assert not decisions.may_crash_servers(digests)


def test_trial_covers_each_restricted_part(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    for number in range(4):
        crash_server(quarantine, number, f"content-{number}", "bad", "beside")
    digests = RequestDigests("another", ("new", "beside"))
    assert list(decisions.trial_digests(digests, REVIEWED_S)) == ["beside"]
    changes = quarantine.start_trial("beside", REVIEWED_S)
    assert [change.state for change in changes] == [QuarantineState.ON_TRIAL]
    assert decisions.decide(digests, REVIEWED_S) is QuarantineDecision.WAIT
    assert decisions.wait_s(digests, REVIEWED_S) > 0.0


def test_many_parts_evict_no_held_part(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    for number in range(4):
        crash_server(quarantine, number, f"content-{number}", "bad")
    assert decide(decisions, "another", "bad") is QuarantineDecision.REFUSE
    invented = [f"invented-{number}" for number in range(2 * MAX_CONTENTS)]
    crash_server(quarantine, 4, "content", *invented)
    assert len(quarantine) <= MAX_CONTENTS
    assert decide(decisions, "another", "bad", at_s=6.0) is QuarantineDecision.REFUSE


def hold_back_part(quarantine: Quarantine, decisions: RequestDecisions) -> None:
    for number in range(4):
        crash_server(quarantine, number, f"content-{number}", "part")
    assert decide(decisions, "another", "part") is QuarantineDecision.REFUSE


def test_success_at_another_entry_ends_the_hold_of_a_popular_part(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    """The success was before the last crashes, and is reported after the hold."""
    hold_back_part(quarantine, decisions)
    changes = quarantine.record_success("part", 1.5)
    assert [change.state for change in changes] == [QuarantineState.CLEARED]
    assert decide(decisions, "another", "part") is not QuarantineDecision.REFUSE


def test_entry_where_a_part_succeeded_does_not_take_over_its_hold(
    quarantine: Quarantine, decisions: RequestDecisions
) -> None:
    hold_back_part(quarantine, decisions)
    (hold,) = quarantine.held_back
    other = Quarantine()
    other.record_success("part", 1.5)
    other.restore_hold(hold.content, hold.crashes, hold.held_since_s, 1)
    assert other.held_back == []
    new_entry = Quarantine()
    new_entry.restore_hold(hold.content, hold.crashes, hold.held_since_s, 1)
    assert [change.content for change in new_entry.held_back] == [hold.content]
