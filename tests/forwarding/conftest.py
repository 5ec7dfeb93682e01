"""Fixtures: a deployment with a forwarding entry."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.lib.forwarding import Deployment


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Two failure domains, each with a whole chain and a plain service."""
    running = Deployment()
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
async def empty_deployment() -> AsyncIterator[Deployment]:
    """The same, but no engine holds any layers."""
    running = Deployment(placed=False)
    await running.start()
    yield running
    await running.stop()
