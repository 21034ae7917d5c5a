"""Connection without a socket, for `bench.caller_bytes`."""

import asyncio

from bench import caller_responses
from tanagerspoke.transport.callers import caller_connection


class Transport(asyncio.Transport):
    """Transport that a case controls; what the caller has read is kept.

    Attributes:
        received: bytes that the caller has read.
        is_reading: whether the protocol accepts bytes.
        is_lost: whether the protocol was told that the connection is lost.
        was_reset: whether the protocol reset the connection.
    """

    def __init__(self, *, is_slow: bool) -> None:
        super().__init__()
        self._is_slow = is_slow
        self._unsent = bytearray()
        self._is_closing = False
        self._is_paused = False
        self._protocol: caller_connection.CallerConnection | None = None
        self.received = bytearray()
        self.is_reading = True
        self.is_lost = False
        self.was_reset = False

    def connect(self, protocol: caller_connection.CallerConnection) -> None:
        """Connects a protocol, as the event loop does."""
        self._protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Returns the default: there is no socket."""
        del name
        return default

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Ignores the limits: one unsent byte pauses writing."""
        del high, low

    def get_write_buffer_size(self) -> int:
        """Implements `asyncio.Transport`."""
        return len(self._unsent)

    def is_closing(self) -> bool:
        """Implements `asyncio.Transport`."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Implements `asyncio.Transport`."""
        self.is_reading = False

    def resume_reading(self) -> None:
        """Implements `asyncio.Transport`."""
        self.is_reading = True

    def can_write_eof(self) -> bool:
        """Implements `asyncio.Transport`."""
        return True

    def write_eof(self) -> None:
        """Implements `asyncio.Transport`."""

    def write(self, data: bytes) -> None:
        """Implements `asyncio.Transport`."""
        caller_responses.require(
            not self.is_lost, "write after the end of the connection"
        )
        if not self._is_slow:
            self.received += data
            return
        self._unsent += data
        if self._unsent and not self._is_paused:
            self._is_paused = True
            self._protocol.pause_writing()

    def read(self, size: int) -> None:
        """Lets the caller read up to this number of unsent bytes."""
        if self.is_lost or not self._unsent:
            return
        self.received += self._unsent[:size]
        del self._unsent[:size]
        if not self._unsent:
            self._is_paused = False
            self._protocol.resume_writing()
            if self._is_closing:
                self._lose_soon()

    def close(self) -> None:
        """Implements `asyncio.Transport`."""
        if not self._is_closing:
            self._is_closing = True
            if not self._unsent:
                self._lose_soon()

    def abort(self) -> None:
        """Implements `asyncio.Transport`."""
        self.was_reset = True
        self._is_closing = True
        self._unsent.clear()
        self._lose_soon()

    def lose(self) -> None:
        """Ends the connection, as if the caller had reset it."""
        if not self.is_lost:
            self.is_lost = True
            self._is_closing = True
            self._unsent.clear()
            self._protocol.connection_lost(None)

    def _lose_soon(self) -> None:
        asyncio.get_running_loop().call_soon(self.lose)
