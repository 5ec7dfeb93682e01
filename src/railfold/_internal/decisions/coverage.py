"""Why no failure domain can serve a model, told of each of them."""

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
    "shortage_of",
    "uncovered",
]


@dataclass(frozen=True, slots=True)
class Uncovered:
    """No engine of the failure domain holds these layers."""

    layers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Engines hold all layers, but those of ``layers`` take no request now.

    :param left_s: time until one of each does, as far as it is known.
    """

    layers: tuple[int, ...]
    left_s: float | None


@dataclass(frozen=True, slots=True)
class DomainShortage:
    """What one failure domain lacks."""

    failure_domain: str
    lacks: Uncovered | Unavailable


def uncovered(ranges: Iterable[LayerRange], layer_count: int) -> tuple[int, ...]:
    """Return the layers that none of the ranges holds."""
    covered = bytearray(layer_count)
    for layers in ranges:
        end = min(layers.last + 1, layer_count)
        covered[layers.first : end] = b"\1" * max(0, end - layers.first)
    return tuple(layer for layer in range(layer_count) if not covered[layer])


def shortage_of(
    failure_domain: str,
    held: Sequence[tuple[LayerRange, float | None]],
    usable: Iterable[LayerRange],
    layer_count: int,
) -> DomainShortage:
    """Return what a failure domain without a chain lacks.

    :param held: ranges that its engines hold, each with the time until the engine
        takes requests, if it is known.
    :param usable: those that a chain may use now.
    """
    missing = uncovered((layers for layers, _ in held), layer_count)
    if missing:
        return DomainShortage(failure_domain, Uncovered(missing))
    blocked = uncovered(usable, layer_count)
    times_s = []
    for layer in blocked:
        ends_s = [
            left_s
            for layers, left_s in held
            if left_s is not None and layers.first <= layer <= layers.last
        ]
        times_s.append(min(ends_s, default=None))
    known_s = [left_s for left_s in times_s if left_s is not None]
    left_s = max(known_s) if known_s and len(known_s) == len(times_s) else None
    return DomainShortage(failure_domain, Unavailable(blocked, left_s))


def describe_shortages(shortages: Iterable[DomainShortage]) -> str:
    """Return what each failure domain lacks, for errors and logs."""
    return "; ".join(f"{s.failure_domain}: {_describe(s.lacks)}" for s in shortages)


def _describe(lacks: Uncovered | Unavailable) -> str:
    match lacks:
        case Uncovered(layers=layers):
            return f"layers {describe_layers(layers)} not covered"
        case Unavailable(layers=(), left_s=_):
            return "the live ranges don't join up"
        case Unavailable(layers=layers, left_s=None):
            return f"layers {describe_layers(layers)} full"
        case Unavailable(layers=layers, left_s=left_s):
            return f"layers {describe_layers(layers)} full for {left_s:.1f} s"


def describe_layers(layers: Sequence[int]) -> str:
    """Return layers as ranges: ``0-4, 26``."""
    parts: list[list[int]] = []
    for layer in layers:
        if parts and parts[-1][1] == layer - 1:
            parts[-1][1] = layer
        else:
            parts.append([layer, layer])
    return ", ".join(f"{a}-{b}" if b > a else f"{a}" for a, b in parts)
