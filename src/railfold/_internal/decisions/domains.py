"""Grouping what stands in failure domains."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["group_by_domain"]

T = TypeVar("T")


def group_by_domain(items: Iterable[T], domain_of: Callable[[T], str]) -> list[list[T]]:
    """Return the items of each failure domain, in the order of their names."""
    found: dict[str, list[T]] = {}
    for item in items:
        found.setdefault(domain_of(item), []).append(item)
    return [found[domain] for domain in sorted(found)]
