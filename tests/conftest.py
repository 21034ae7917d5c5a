"""Fixtures and the derandomized profile of the property tests."""

from collections.abc import AsyncIterator
import pathlib

import hypothesis
import pytest_asyncio

from tests import stack as stacks

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("ci")


@pytest_asyncio.fixture
async def stack(tmp_path: pathlib.Path) -> AsyncIterator[stacks.Stack]:
    """A stack with the platform's stand-in; ends all its processes."""
    started = stacks.Stack(directory=tmp_path)
    try:
        await started.start()
        yield started
    finally:
        await started.close()
