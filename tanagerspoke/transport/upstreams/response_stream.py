"""Body of a response that is forwarded to the caller while it arrives."""

import asyncio
from collections.abc import Callable

from tanagerspoke import exceptions

# Reading from the upstream is paused once this many bytes are buffered for a
# slow caller; the last socket read may exceed it.
_PAUSE_THRESHOLD_BYTES = 131_072


class ResponseStream:
    """Buffer with backpressure between an upstream connection and a caller.

    The exchange calls `feed`, `finish` and `fail`; the caller's side awaits
    `read`. A full buffer pauses reading from the upstream's connection.

    Attributes:
        on_abandoned: called if the stream is abandoned before its end.
    """

    def __init__(self, *, transport: asyncio.ReadTransport) -> None:
        self.on_abandoned: Callable[[], None] = lambda: None
        self._transport = transport
        # One buffer rather than the received pieces: an upstream that sends
        # single bytes would fill the memory with objects.
        self._buffer = bytearray()
        self._paused = False
        self._finished = False
        self._error: str | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that the caller has not read yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Appends received bytes of the body."""
        if not data:
            return
        self._buffer += data
        if len(self._buffer) >= _PAUSE_THRESHOLD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def finish(self) -> None:
        """Marks the body as complete."""
        self._finished = True
        self._resume()
        self._wake()

    def fail(self, error: str) -> None:
        """Makes `read` raise, since the body cannot be completed."""
        self._error = error
        self._wake()

    def abandon(self) -> None:
        """Stops the stream because no more of it can be sent to the caller.

        Does nothing if the body is complete or has failed.
        """
        if not self._finished and self._error is None:
            self._error = "the stream was abandoned"
            self.on_abandoned()

    async def read(self) -> bytes:
        """Returns the next bytes, or b"" at the end of the body.

        Raises:
            UpstreamError: the body was truncated, or the stream abandoned.
        """
        while True:
            if self._error is not None:
                raise exceptions.UpstreamError(self._error)
            if self._buffer:
                return self._drain_buffer()
            if self._finished:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _drain_buffer(self) -> bytes:
        data = bytes(self._buffer)
        self._buffer.clear()
        self._resume()
        return data

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
