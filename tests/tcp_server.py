"""TCP server of a test, which leaves nothing open at its end."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
from typing import Self

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class TcpServer:
    """Runs a handler for each connection to a loopback port.

    A writer that stays open raises an error when it is collected, possibly
    during another test. So the handlers that still run are cancelled at the
    end, and all connections are closed.
    """

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def port(self) -> int:
        """Loopback port on which the server accepts connections."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            # A cancelled task would be logged by asyncio's streams.
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                await self._handler(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()
