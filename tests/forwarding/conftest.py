"""Fixtures: a deployment with forwarding entries."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.lib.forwarding import Deployment, running


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Two failure domains, each with a whole chain and a plain service."""
    async for started in running(Deployment()):
        yield started


@pytest.fixture
async def empty_deployment() -> AsyncIterator[Deployment]:
    """The same, but no engine holds any layers."""
    async for started in running(Deployment(layers_placed=False)):
        yield started


@pytest.fixture
async def two_entries() -> AsyncIterator[Deployment]:
    """The first one with two entries."""
    async for started in running(Deployment(entry_count=2)):
        yield started
