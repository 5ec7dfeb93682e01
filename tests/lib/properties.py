"""How many examples property tests draw.

By default all draw the same ones in each run, so that CI says the same of the same
sources. Fresh ones are drawn by hand, and more of them; what they find is kept as an
example of the test:

    RAILFOLD_FRESH_EXAMPLES=200 scripts/test -o timeout=0 tests/unit/test_fleet_size.py
"""

from __future__ import annotations

import os

from hypothesis import settings

__all__ = ["examples", "load_example_profile"]

_FRESH_EXAMPLES_FACTOR = int(os.environ.get("RAILFOLD_FRESH_EXAMPLES", "0"))


def load_example_profile() -> None:
    """Let all property tests draw the same examples, unless fresh are asked for."""
    settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
    settings.register_profile("fresh", deadline=None)
    settings.load_profile("fresh" if _FRESH_EXAMPLES_FACTOR else "fixed")


def examples(count: int) -> settings:
    """Return settings for so many examples; with fresh ones, a multiple of it."""
    return settings(max_examples=count * max(1, _FRESH_EXAMPLES_FACTOR))
