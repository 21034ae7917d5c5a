"""A caller's connection, based on aiohttp's request parser.

aiohttp's `web.Server` needs a task, a stream reader and timers for each
connection. This protocol avoids that cost: the event loop's callback for
received data starts the call, and the callback of the upstream connection
writes the response.
"""

import asyncio
import collections
import logging
import secrets
import socket
import struct
import time
from typing import Protocol

from aiohttp import base_protocol
from aiohttp import http as aiohttp_http
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web

from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.transport.callers import error_responses

log = logging.getLogger(__name__)

# Time for which the rest of a refused request is read before the connection
# closes, so that the caller can read the error response.
_LINGER_TIMEOUT_S = 2.0
_READ_BUFFER_BYTES = 65_536
_MAX_HEADER_COUNT = 128
# Maximum number of parsed requests that wait for the running one. Reading
# pauses above it and resumes at half of it.
_MAX_PIPELINED_REQUESTS = 16
# `struct linger` (on, 0 s): closing the socket sends a TCP reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class Handler(Protocol):
    """Handles the calls of a connection."""

    def open_call(
        self, conn: "CallerConnection", message: aiohttp_http.RawRequestMessage
    ) -> bool:
        """Starts a call when its headers are complete; the body may follow.

        Returns whether the call may run. If not, the handler has written an
        error response.
        """

    def run_call(self, conn: "CallerConnection", body: bytes) -> None:
        """Runs the call with its complete body."""

    def refuse_body(self, conn: "CallerConnection", *, too_large: bool) -> None:
        """Refuses a call whose body exceeds the limit or is malformed."""

    def end_call(self, conn: "CallerConnection") -> None:
        """Ends the call after its response, or when its caller disconnects."""

    def connection_closed(self, conn: "CallerConnection") -> None:
        """Called once the connection is closed."""


class CallerConnection(base_protocol.BaseProtocol):
    """Runs the requests of a connection one after another.

    Attributes:
        call: the handler's state of the running call, None between calls.
        idle_since: monotonic seconds of the end of the last call.
        headers_started_at: monotonic seconds of the first byte of a request
            whose headers are not complete yet, None if there is none.
    """

    __slots__ = (
        "_body_size",
        "_is_closing",
        "_drain_timeout_timer",
        "_handler",
        "_keep_alive",
        "_linger_timer",
        "_parsing_failed",
        "_max_body_bytes",
        "_has_call",
        "_pending_messages",
        "_body_parts",
        "_unread_payload",
        "_reading_body",
        "_next_call_scheduled",
        "call",
        "headers_started_at",
        "idle_since",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        handler: Handler,
        max_header_bytes: int,
        max_body_bytes: int,
    ) -> None:
        parser = aiohttp_http.HttpRequestParser(
            self,
            loop,
            _READ_BUFFER_BYTES,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            max_headers=_MAX_HEADER_COUNT,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
        )
        super().__init__(loop, parser)
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._pending_messages: collections.deque[
            tuple[aiohttp_http.RawRequestMessage, streams.StreamReader]
            | http_exceptions.HttpProcessingError
        ] = collections.deque()
        self._has_call = False
        self._unread_payload: streams.StreamReader | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._reading_body = False
        self._parsing_failed = False
        self._keep_alive = True
        self._is_closing = False
        self._next_call_scheduled = False
        self._drain_timeout_timer: asyncio.TimerHandle | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self.call: object = None
        self.idle_since = time.monotonic()
        self.headers_started_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether a response can be written."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def has_unread_body(self) -> bool:
        """Whether a part of the request's body has not been read.

        The connection then closes after the response.
        """
        return self._unread_payload is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        super().connection_made(transport)
        # Writing pauses while any byte is unsent; see `finish`.
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Called by the event loop."""
        super().connection_lost(exc)
        self._is_closing = True
        self._pending_messages.clear()
        for timer in (self._drain_timeout_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        if self.call is not None:
            self._handler.end_call(self)
        self._handler.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
        if self._is_closing:
            return
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as exc:
            self._pending_messages.append(exc)
            self._parsing_failed = True
        else:
            self._pending_messages.extend(messages)
            # The parser reads no further requests after one that asks for an
            # upgrade. No upgrade is granted; the connection closes after the
            # response.
            self._upgraded = self._upgraded or upgraded
        if self._reading_body:
            # Reading the payload resumes the parser, which calls this method
            # again. Only the outer invocation may finish the body; otherwise
            # the call would run twice.
            return
        if self._unread_payload is not None:
            self._read_body()
        elif not self._has_call and not self._next_call_scheduled:
            self._update_headers_start()
            self._start_next_call()
        if (
            len(self._pending_messages) > _MAX_PIPELINED_REQUESTS
            and not self._buffer_paused
        ):
            self._pause_reading_for_buffer()

    def resume_writing(self) -> None:
        """Called by the event loop."""
        super().resume_writing()
        if self._drain_timeout_timer is not None:
            self._drain_timeout_timer.cancel()
            self._drain_timeout_timer = None
            self._end_call()

    def send_continue(self) -> None:
        """Tells a caller that sent `Expect: 100-continue` to send the body."""
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def finish(self, *, keep_alive: bool) -> None:
        """Ends the call after its response was written.

        It ends, and the next request starts, only once the last byte of the
        response has been handed to the operating system, so that a stop of the
        process waits for it. The connection is reset if that takes longer than
        the maximum deadline of a call.
        """
        self._keep_alive = keep_alive
        if self._unread_payload is not None:
            self._is_closing = True
        if self._paused:
            self._drain_timeout_timer = self._loop.call_later(
                headers.MAX_DEADLINE_MS / 1000, self.reset
            )
        else:
            self._end_call()

    def reset(self) -> None:
        """Resets the connection, to mark its response as incomplete.

        An HTTP/1.0 response without a length ends with the connection. Without
        a reset, a truncated one would look like a complete one.
        """
        self._is_closing = True
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.transport.abort()

    def close(self) -> None:
        """Closes the connection once the written data has been sent."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.close()

    async def drain(self) -> None:
        """Waits until all that was written has left the process."""
        if self._paused:
            await self._drain_helper()

    def refuse_headers(self, code: errors.ErrorCode, message: str) -> None:
        """Sends an error for invalid or late headers, then closes."""
        self.headers_started_at = None
        if self.is_open:
            self.transport.write(
                error_responses.encode_error_response(
                    code=code,
                    message=message,
                    request_id=secrets.token_hex(12),
                )
            )
            # Does not close at once: see `_linger`. `Content-Length` marks the
            # end of the response for the caller.
            self._half_close()

    def _update_headers_start(self) -> None:
        if self._pending_messages:
            self.headers_started_at = None
        elif self.headers_started_at is None:
            self.headers_started_at = time.monotonic()

    def _start_next_call(self) -> None:
        self._next_call_scheduled = False
        if not self._pending_messages or self._is_closing:
            return
        message_or_error = self._pending_messages.popleft()
        if (
            self._buffer_paused
            and len(self._pending_messages) <= _MAX_PIPELINED_REQUESTS // 2
        ):
            self._resume_reading_for_buffer()
        if isinstance(message_or_error, http_exceptions.HttpProcessingError):
            self._refuse_malformed(message_or_error)
            return
        # The message is not kept, since its headers may hold an API key.
        message, payload = message_or_error
        self._has_call = True
        if payload is not streams.EMPTY_PAYLOAD:
            self._unread_payload = payload
        if not self._handler.open_call(self, message):
            return
        if self._unread_payload is None:
            self._handler.run_call(self, b"")
        else:
            self._read_body()

    def _read_body(self) -> None:
        payload = self._unread_payload
        if payload.exception() is not None:
            self._handler.refuse_body(self, too_large=False)
            return
        self._reading_body = True
        try:
            while data := payload.read_nowait():
                self._body_size += len(data)
                self._body_parts.append(data)
        except Exception:
            # Reading the payload resumes the parser, which can fail on the
            # data that follows.
            self._reading_body = False
            self._handler.refuse_body(self, too_large=False)
            return
        self._reading_body = False
        if self._body_size > self._max_body_bytes:
            self._handler.refuse_body(self, too_large=True)
        elif payload.is_eof():
            self._unread_payload = None
            body = b"".join(self._body_parts)
            self._body_parts.clear()
            self._body_size = 0
            self._handler.run_call(self, body)
        elif self._parsing_failed:
            # The parser has stopped, so the rest of the body never arrives.
            self._handler.refuse_body(self, too_large=False)

    def _end_call(self) -> None:
        self._handler.end_call(self)
        self._has_call = False
        self.idle_since = time.monotonic()
        if self._unread_payload is not None:
            self._linger()
        elif not self._keep_alive or self._upgraded:
            self.close()
        elif self._pending_messages:
            # Scheduled on the loop: with direct calls, a series of pipelined
            # requests would nest ever deeper on the stack.
            self._next_call_scheduled = True
            self._loop.call_soon(self._start_next_call)

    def _linger(self) -> None:
        """Keeps reading for a short time, then closes the connection.

        Closing with unread bytes would reset the connection, and the reset
        could destroy the error response before the caller has read it.
        """
        self._is_closing = True
        self._body_parts.clear()
        self._reading_paused = False
        self._resume_transport_reading()
        self._linger_timer = self._loop.call_later(
            _LINGER_TIMEOUT_S, self.close
        )

    def _refuse_malformed(
        self, exc: http_exceptions.HttpProcessingError
    ) -> None:
        code = errors.ErrorCode.MALFORMED_REQUEST
        if isinstance(exc, http_exceptions.LineTooLong):
            code = errors.ErrorCode.HEADER_TOO_LARGE
        self.refuse_headers(
            code, f"the request is not valid HTTP: {type(exc).__name__}"
        )

    def _half_close(self) -> None:
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._linger()
