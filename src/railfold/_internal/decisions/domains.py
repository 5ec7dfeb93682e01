"""Grouping of items by failure domain, and of engines for placement."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

__all__ = ["group_by_domain", "split_into_groups"]

T = TypeVar("T")

# Mean number of engines in a group at most. The duration of a plan grows faster than
# the number of engines, and has to stay well within the lease of the planning entry. A
# complete chain takes 8 to 14 engines.
_MAX_MEAN_GROUP_SIZE = 60


def group_by_domain(items: Iterable[T], domain_of: Callable[[T], str]) -> list[list[T]]:
    """Return the items of each failure domain, ordered by the names of the domains."""
    by_domain: dict[str, list[T]] = {}
    for item in items:
        by_domain.setdefault(domain_of(item), []).append(item)
    return [by_domain[domain] for domain in sorted(by_domain)]


def split_into_groups(items: Sequence[T], id_of: Callable[[T], str]) -> list[list[T]]:
    """Return items in groups of bounded mean size, without empty groups.

    The group of an item depends only on its id and the number of groups, which is a
    power of two. Added and removed items therefore rarely move others to another group.
    """
    count = 1
    while len(items) > count * _MAX_MEAN_GROUP_SIZE:
        count *= 2
    groups: list[list[T]] = [[] for _ in range(count)]
    for item in items:
        groups[zlib.crc32(id_of(item).encode()) % count].append(item)
    return [group for group in groups if group]
