"""Groups of engines whose layers are placed together.

Entries of a fleet with 600 engines in a failure domain planned for longer than the
lease lasts under which they plan, and nothing was placed.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.domains import in_groups


def ids(count: int) -> list[str]:
    return [f"i-{number:010x}" for number in range(count)]


@pytest.mark.parametrize("count", [1, 11, 38, 60])
def test_a_few_are_placed_together(count: int) -> None:
    assert in_groups(ids(count), str) == [ids(count)]


@pytest.mark.parametrize("count", [61, 130, 600, 1000, 3000])
def test_many_are_placed_in_groups_of_bounded_size(count: int) -> None:
    groups = in_groups(ids(count), str)
    assert sorted(item for group in groups for item in group) == ids(count)
    assert max(map(len, groups)) <= 100
    # Enough for a chain of all layers each.
    assert min(map(len, groups)) >= 20


def test_who_comes_and_goes_leaves_the_others_where_they_are() -> None:
    before = in_groups(ids(600), str)
    after = in_groups([*ids(600)[20:], "i-new"], str)
    for group, then in zip(before, after, strict=True):
        stayed = [item for item in group if item in ids(600)[20:]]
        assert [item for item in then if item != "i-new"] == stayed
