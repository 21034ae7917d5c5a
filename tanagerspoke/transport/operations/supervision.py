"""Restarts the tasks of a service after an unexpected error.

Without it, one malformed message that a decoder does not expect would end the
service's process, and after the restart of the process again.
"""

import asyncio
from collections.abc import Awaitable, Callable
import functools
import logging

import mode

log = logging.getLogger(__name__)

# Bounds the processor time and the log lines of a task that fails every time.
_RESTART_DELAY_S = 1.0


def restarted(
    task: Callable[[mode.Service], Awaitable[None]],
) -> Callable[[mode.Service], Awaitable[None]]:
    """Decorates a service task so that it starts again after an error.

    The error is logged. A task that returns is not started again.
    """

    @functools.wraps(task)
    async def run(service: mode.Service) -> None:
        while not service.should_stop:
            try:
                return await task(service)
            except Exception:
                log.exception(
                    "task_restarted", extra={"task": task.__qualname__}
                )
            await asyncio.sleep(_RESTART_DELAY_S)

    return run
