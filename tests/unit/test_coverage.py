"""What is said of failure domains that can't serve."""

from __future__ import annotations

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.coverage import (
    DomainShortage,
    Unavailable,
    Uncovered,
    describe_layers,
    describe_shortages,
    shortage_of,
)

LAYERS = 30


def shortage(*held: tuple[int, int, float | None, bool]) -> DomainShortage:
    """Return what a domain lacks of engines: first, last, time left, usable."""
    return shortage_of(
        "hall-a",
        [(LayerRange(first, last), left_s) for first, last, left_s, _ in held],
        [LayerRange(first, last) for first, last, _, usable in held if usable],
        LAYERS,
    )


def test_each_failure_domain_is_told_of_not_just_the_last_one() -> None:
    lacks = [
        DomainShortage("hall-a", Uncovered((26, 27, 28, 29))),
        DomainShortage("hall-b", Unavailable((0, 1, 2), 0.4)),
        DomainShortage("hall-c", Unavailable((5,), None)),
    ]
    assert describe_shortages(lacks) == (
        "hall-a: layers 26-29 not covered; hall-b: layers 0-2 full for 0.4 s; "
        "hall-c: layers 5 full"
    )


def test_a_full_engine_is_not_told_of_as_a_gap() -> None:
    found = shortage((0, 9, None, True), (10, 29, 0.4, False))
    assert found.lacks == Unavailable(tuple(range(10, 30)), 0.4)


def test_a_gap_is_told_of_though_other_layers_are_full() -> None:
    found = shortage((0, 9, 0.4, False), (10, 25, None, True))
    assert found.lacks == Uncovered((26, 27, 28, 29))


def test_room_is_there_once_each_layer_has_an_engine_that_takes_requests() -> None:
    found = shortage((0, 9, 0.4, False), (0, 9, 0.2, False), (10, 29, 0.9, False))
    assert found.lacks == Unavailable(tuple(range(30)), 0.9)


def test_no_time_is_told_of_where_one_engine_doesnt_say() -> None:
    found = shortage((0, 9, 0.4, False), (10, 29, None, False))
    assert found.lacks == Unavailable(tuple(range(30)), None)


@pytest.mark.parametrize(
    ("layers", "text"), [((3,), "3"), ((0, 1, 2, 7, 9, 10), "0-2, 7, 9-10")]
)
def test_layers_are_told_of_as_ranges(layers: tuple[int, ...], text: str) -> None:
    assert describe_layers(layers) == text
