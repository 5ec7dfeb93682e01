"""Grouping what stands in failure domains."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

__all__ = ["group_by_domain", "split_into_groups"]

T = TypeVar("T")

# Layers of so many engines are placed together at most, on average: the time of a plan
# grows faster than their number, and must stay well within the lease under which it is
# made. A whole chain takes 8 to 14 engines.
_MAX_MEAN_GROUP_SIZE = 60


def group_by_domain(items: Iterable[T], domain_of: Callable[[T], str]) -> list[list[T]]:
    """Return the items of each failure domain, in the order of their names."""
    by_domain: dict[str, list[T]] = {}
    for item in items:
        by_domain.setdefault(domain_of(item), []).append(item)
    return [by_domain[domain] for domain in sorted(by_domain)]


def split_into_groups(items: Sequence[T], id_of: Callable[[T], str]) -> list[list[T]]:
    """Return items in groups of bounded size, all in one if they are few.

    An item's group follows from its id and from the number of groups, which doubles, so
    that items that come and go leave the others where they are.
    """
    count = 1
    while len(items) > count * _MAX_MEAN_GROUP_SIZE:
        count *= 2
    groups: list[list[T]] = [[] for _ in range(count)]
    for item in items:
        groups[zlib.crc32(id_of(item).encode()) % count].append(item)
    return [group for group in groups if group]
