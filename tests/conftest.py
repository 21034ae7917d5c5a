"""Shared fixtures and the deterministic profile of the property tests."""

from collections.abc import AsyncIterator, Iterator
import logging
import pathlib

import hypothesis
import pytest
import pytest_asyncio

from tests import known_red
from tests import stack as stacks

pytest_plugins = ["pytester"]

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("ci")


def pytest_configure(config: pytest.Config) -> None:
    """Registers the plugin for the tests in KNOWN-RED.txt."""
    path = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
    config.pluginmanager.register(known_red.KnownRed(path=path))


@pytest.fixture
def restored_logging() -> Iterator[None]:
    """Undoes the logging of a command, which tests that follow would see."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


@pytest_asyncio.fixture
async def stack(tmp_path: pathlib.Path) -> AsyncIterator[stacks.Stack]:
    """A stack with a running platform stand-in; closed after the test."""
    running_stack = stacks.Stack(directory=tmp_path)
    try:
        await running_stack.start()
        yield running_stack
    finally:
        await running_stack.close()
