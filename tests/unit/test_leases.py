"""Leases count from when a call was sent, and end for the holder first.

If a lease counted from the answer, or ended for its holder as late as for the granter,
two holders could act at the same time.
"""

from __future__ import annotations

from railfold._internal.decisions.freshness import FreshnessLease
from railfold._internal.decisions.leadership import Leadership, LeaseGrant


def test_freshness_counts_from_when_the_call_was_sent() -> None:
    lease = FreshnessLease(5.0)
    assert not lease.valid(0.0)
    lease.renew(sent_s=10.0)  # The answer may have arrived as late as 14.0.
    assert lease.valid(14.9)
    assert not lease.valid(15.0)


def test_late_answer_to_an_older_call_does_not_shorten_the_lease() -> None:
    lease = FreshnessLease(5.0)
    lease.renew(sent_s=10.0)
    lease.renew(sent_s=4.0)
    assert lease.age_s(12.0) == 2.0


def test_holder_stops_before_its_lease_ends() -> None:
    leadership = Leadership(duration_s=2.0)
    leadership.record_renewal(LeaseGrant(is_holder=True, fencing_token=7), sent_s=100.0)
    assert leadership.current_token(101.5) == 7
    assert leadership.current_token(101.7) is None


def test_holder_has_no_token_after_a_long_suspension() -> None:
    leadership = Leadership(duration_s=2.0)
    leadership.record_renewal(LeaseGrant(is_holder=True, fencing_token=7), sent_s=100.0)
    assert leadership.current_token(130.0) is None


def test_holder_with_a_refused_token_waits_for_a_higher_one() -> None:
    leadership = Leadership(duration_s=2.0)
    leadership.record_renewal(LeaseGrant(is_holder=True, fencing_token=7), sent_s=100.0)
    leadership.record_refused_token(7)
    leadership.record_renewal(LeaseGrant(is_holder=True, fencing_token=7), sent_s=100.5)
    assert leadership.current_token(100.6) is None
    leadership.record_renewal(LeaseGrant(is_holder=True, fencing_token=8), sent_s=101.0)
    assert leadership.current_token(101.1) == 8


def test_only_role_changes_are_reported() -> None:
    leadership = Leadership(duration_s=2.0)
    assert leadership.record_renewal(LeaseGrant(is_holder=False, fencing_token=1), 0.0)
    assert not leadership.record_renewal(
        LeaseGrant(is_holder=False, fencing_token=2), 1.0
    )
    assert leadership.record_renewal(LeaseGrant(is_holder=True, fencing_token=3), 2.0)
