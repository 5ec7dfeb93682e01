"""Wrong or incomplete reasons why failure domains can't serve."""

from __future__ import annotations

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.coverage import (
    DomainShortage,
    Unavailable,
    Uncovered,
    describe_layers,
    describe_shortages,
    domain_shortage,
)

LAYERS = 30


def shortage(*engines: tuple[int, int, float | None, bool]) -> DomainShortage:
    """Return the shortage of a domain.

    :param engines: first layer, last layer, seconds until available, whether usable.
    """
    return domain_shortage(
        "hall-a",
        [
            (LayerRange(first, last), available_in_s)
            for first, last, available_in_s, _ in engines
        ],
        [LayerRange(first, last) for first, last, _, usable in engines if usable],
        LAYERS,
    )


def test_description_names_every_failure_domain() -> None:
    """Guards against errors that name only the last failure domain."""
    shortages = [
        DomainShortage("hall-a", Uncovered((26, 27, 28, 29))),
        DomainShortage("hall-b", Unavailable((0, 1, 2), 0.4)),
        DomainShortage("hall-c", Unavailable((5,), None)),
    ]
    assert describe_shortages(shortages) == (
        "hall-a: layers 26-29 not covered; hall-b: layers 0-2 full for 0.4 s; "
        "hall-c: layers 5 full"
    )


def test_full_engine_is_not_reported_as_uncovered() -> None:
    result = shortage((0, 9, None, True), (10, 29, 0.4, False))
    assert result.cause == Unavailable(tuple(range(10, 30)), 0.4)


def test_uncovered_layers_are_reported_even_if_others_are_full() -> None:
    result = shortage((0, 9, 0.4, False), (10, 25, None, True))
    assert result.cause == Uncovered((26, 27, 28, 29))


def test_wait_lasts_until_each_layer_has_an_available_engine() -> None:
    result = shortage((0, 9, 0.4, False), (0, 9, 0.2, False), (10, 29, 0.9, False))
    assert result.cause == Unavailable(tuple(range(30)), 0.9)


def test_no_wait_is_given_if_one_layers_wait_is_unknown() -> None:
    result = shortage((0, 9, 0.4, False), (10, 29, None, False))
    assert result.cause == Unavailable(tuple(range(30)), None)


@pytest.mark.parametrize(
    ("layers", "text"), [((3,), "3"), ((0, 1, 2, 7, 9, 10), "0-2, 7, 9-10")]
)
def test_layers_are_described_as_ranges(layers: tuple[int, ...], text: str) -> None:
    assert describe_layers(layers) == text
