"""The number and choice of examples in property tests.

By default each run draws the same examples, so that CI gives the same result for the
same sources. Developers can draw more and different examples by hand; failures that
they find are kept as explicit examples of the test:

    RAILFOLD_FRESH_EXAMPLES=200 scripts/test -o timeout=0 tests/unit/test_fleet_size.py
"""

from __future__ import annotations

import os

from hypothesis import settings

__all__ = ["examples", "load_example_profile"]

_FRESH_EXAMPLES_FACTOR = int(os.environ.get("RAILFOLD_FRESH_EXAMPLES", "0"))


def load_example_profile() -> None:
    """Draw the same examples in each run, unless fresh examples are requested."""
    settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
    settings.register_profile("fresh", deadline=None)
    settings.load_profile("fresh" if _FRESH_EXAMPLES_FACTOR else "fixed")


def examples(count: int) -> settings:
    """Return settings for ``count`` examples; with fresh ones, for a multiple of it."""
    return settings(max_examples=count * max(1, _FRESH_EXAMPLES_FACTOR))
