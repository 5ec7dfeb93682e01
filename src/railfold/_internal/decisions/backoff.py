"""Delays between retries."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

__all__ = ["Backoff"]


@dataclass(slots=True)
class Backoff:
    """Bounded exponential backoff with jitter.

    Each delay is between a tenth of its upper bound and the whole bound.

    :param first_s: upper bound of the first delay.
    :param max_s: upper bound of every delay.
    """

    first_s: float = 0.05
    max_s: float = 5.0
    rng: random.Random = field(default_factory=random.Random)

    def delay_s(self, failures: int) -> float:
        """Return the delay after ``failures`` failures in a row (1 or more)."""
        # The exponent is bounded so that it can't overflow in long outages.
        bound_s = min(self.max_s, self.first_s * 2.0 ** min(failures - 1, 30))
        return self.rng.uniform(0.1 * bound_s, bound_s)
