"""Fixtures that start a deployment with forwarding entries."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.lib.forwarding import Deployment, running


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Two failure domains, each with a complete chain and a plain service."""
    async for started in running(Deployment()):
        yield started


@pytest.fixture
async def empty_deployment() -> AsyncIterator[Deployment]:
    """The same as ``deployment``, but no engine has any layers."""
    async for started in running(Deployment(layers_placed=False)):
        yield started


@pytest.fixture
async def two_entries() -> AsyncIterator[Deployment]:
    """The same as ``deployment``, but with two entries."""
    async for started in running(Deployment(entry_count=2)):
        yield started
