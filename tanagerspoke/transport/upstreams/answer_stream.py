"""Body of a long answer, passed on to the caller while it arrives."""

import asyncio
import collections
from collections.abc import Callable

from tanagerspoke import exceptions

# Most bytes held for a caller that reads slowly, beyond one socket read.
_PAUSE_BYTES = 131_072


class AnswerStream:
    """Connects one upstream connection with one caller.

    The upstream's side calls `feed`, `finish` and `fail`; the caller's side
    awaits `read`. A full buffer pauses the upstream's connection.

    Attributes:
        on_abandoned: called when the caller leaves before the end.
    """

    def __init__(self, *, transport: asyncio.ReadTransport) -> None:
        self.on_abandoned: Callable[[], None] = lambda: None
        self._transport = transport
        self._parts: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._paused = False
        self._finished = False
        self._error: str | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def buffered(self) -> int:
        """Bytes that the caller has not read."""
        return self._size

    def feed(self, data: bytes) -> None:
        """Takes a part of the body."""
        if not data:
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size >= _PAUSE_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def finish(self) -> None:
        """Notes that the body is whole."""
        self._finished = True
        self._resume()
        self._wake()

    def fail(self, error: str) -> None:
        """Notes that the rest of the body will never come."""
        self._error = error
        self._wake()

    def abandon(self) -> None:
        """Notes that the caller reads no more; does nothing at the end."""
        if not self._finished and self._error is None:
            self._error = "the caller left"
            self.on_abandoned()

    async def read(self) -> bytes:
        """Returns the next bytes, or b"" after the whole body.

        Raises:
            UpstreamError: the body broke off.
        """
        while True:
            if self._error is not None:
                raise exceptions.UpstreamError(self._error)
            if self._parts:
                return self._take()
            if self._finished:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _take(self) -> bytes:
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        self._resume()
        return data

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
