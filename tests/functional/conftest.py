"""Fixtures of functional tests: small deployments of real processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from standins.cluster import THREE_STAGES, Cluster


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    """One entry and three agents, each with a third of the layers."""
    with Cluster(THREE_STAGES) as running:
        yield running
