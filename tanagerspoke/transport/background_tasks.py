"""Tasks that run beside their owner until they end or the owner closes."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps references to running tasks, which asyncio does not.

    The coroutines handle their errors themselves.
    """

    def __init__(self) -> None:
        """Creates an instance without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancels the tasks that still run."""
        for task in list(self._tasks):
            task.cancel()
