"""The reasons why failure domains can't serve a model, for error texts."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange

__all__ = [
    "DomainShortage",
    "Unavailable",
    "Uncovered",
    "describe_layers",
    "describe_shortages",
    "domain_shortage",
    "uncovered_layers",
]


@dataclass(frozen=True, slots=True)
class Uncovered:
    """No engine of the failure domain holds these layers."""

    layers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """All layers are held, but the engines of ``layers`` accept no requests now.

    :param available_in_s: time until each of the layers has an engine that accepts
        requests; ``None`` if it isn't known.
    """

    layers: tuple[int, ...]
    available_in_s: float | None


@dataclass(frozen=True, slots=True)
class DomainShortage:
    """The reason why one failure domain can't serve."""

    failure_domain: str
    cause: Uncovered | Unavailable


def uncovered_layers(ranges: Iterable[LayerRange], layer_count: int) -> tuple[int, ...]:
    """Return the layers that none of the ranges contains."""
    covered = bytearray(layer_count)
    for layers in ranges:
        end = min(layers.last + 1, layer_count)
        covered[layers.first : end] = b"\1" * max(0, end - layers.first)
    return tuple(layer for layer in range(layer_count) if not covered[layer])


def domain_shortage(
    failure_domain: str,
    held_ranges: Sequence[tuple[LayerRange, float | None]],
    usable_ranges: Iterable[LayerRange],
    layer_count: int,
) -> DomainShortage:
    """Return why there is no chain in a failure domain.

    :param held_ranges: the ranges that its engines hold, each with the time until the
        engine accepts requests, or ``None`` if that isn't known.
    :param usable_ranges: the ranges that a chain may use now.
    """
    missing_layers = uncovered_layers(
        (layers for layers, _ in held_ranges), layer_count
    )
    if missing_layers:
        return DomainShortage(failure_domain, Uncovered(missing_layers))
    unavailable_layers = uncovered_layers(usable_ranges, layer_count)
    waits_s = []
    for layer in unavailable_layers:
        engine_waits_s = [
            available_in_s
            for layers, available_in_s in held_ranges
            if available_in_s is not None and layers.first <= layer <= layers.last
        ]
        waits_s.append(min(engine_waits_s, default=None))
    known_waits_s = [
        available_in_s for available_in_s in waits_s if available_in_s is not None
    ]
    available_in_s = (
        max(known_waits_s)
        if known_waits_s and len(known_waits_s) == len(waits_s)
        else None
    )
    return DomainShortage(
        failure_domain, Unavailable(unavailable_layers, available_in_s)
    )


def describe_shortages(shortages: Iterable[DomainShortage]) -> str:
    """Return why each failure domain can't serve, for errors and logs."""
    return "; ".join(f"{s.failure_domain}: {_describe(s.cause)}" for s in shortages)


def _describe(cause: Uncovered | Unavailable) -> str:
    match cause:
        case Uncovered(layers=layers):
            return f"layers {describe_layers(layers)} not covered"
        case Unavailable(layers=(), available_in_s=_):
            return "the layer ranges of live servers don't form a chain"
        case Unavailable(layers=layers, available_in_s=None):
            return f"layers {describe_layers(layers)} full"
        case Unavailable(layers=layers, available_in_s=available_in_s):
            return f"layers {describe_layers(layers)} full for {available_in_s:.1f} s"


def describe_layers(layers: Sequence[int]) -> str:
    """Return sorted layers as a text of ranges, such as ``0-4, 26``."""
    parts: list[list[int]] = []
    for layer in layers:
        if parts and parts[-1][1] == layer - 1:
            parts[-1][1] = layer
        else:
            parts.append([layer, layer])
    return ", ".join(f"{a}-{b}" if b > a else f"{a}" for a, b in parts)
