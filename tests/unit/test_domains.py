"""Groups of engines that are too large to plan, or that change with each engine.

With 600 engines of a failure domain in one group, a plan takes longer than the lease of
the planning entry, and no layers are placed.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.domains import split_into_groups


def make_ids(count: int) -> list[str]:
    return [f"i-{number:010x}" for number in range(count)]


@pytest.mark.parametrize("count", [1, 11, 38, 60])
def test_few_engines_form_one_group(count: int) -> None:
    assert split_into_groups(make_ids(count), str) == [make_ids(count)]


@pytest.mark.parametrize("count", [61, 130, 600, 1000, 3000])
def test_many_engines_form_groups_of_bounded_size(count: int) -> None:
    groups = split_into_groups(make_ids(count), str)
    assert sorted(item for group in groups for item in group) == make_ids(count)
    assert max(map(len, groups)) <= 100
    # Each group has enough engines for a complete chain.
    assert min(map(len, groups)) >= 20


def test_added_and_removed_engines_leave_the_others_in_their_groups() -> None:
    """Guards against plans that become invalid because engines change their group."""
    before = split_into_groups(make_ids(600), str)
    after = split_into_groups([*make_ids(600)[20:], "i-new"], str)
    for group, later in zip(before, after, strict=True):
        stayed = [item for item in group if item in make_ids(600)[20:]]
        assert [item for item in later if item != "i-new"] == stayed
