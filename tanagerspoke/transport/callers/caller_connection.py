"""One connection of a caller, on aiohttp's request parser.

aiohttp's `web.Server` runs a task, a stream reader and timers for each
connection; here the parser's callback starts the call and the upstream's
callback writes the answer.
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
from tanagerspoke.transport.callers import caller_protocol

log = logging.getLogger(__name__)

# Longest read of a refused request's body before the connection closes, so
# that the caller can read the refusal.
_LINGER_S = 2.0
_READ_BYTES = 65_536
_MAX_HEADERS = 128
# Requests read ahead of the one that runs; reading pauses above this and
# resumes at half of it.
_MAX_PIPELINED = 16
_RESET = struct.pack("ii", 1, 0)


class Handler(Protocol):
    """The server's side of a connection's calls."""

    def open_call(
        self, conn: "CallerConnection", message: aiohttp_http.RawRequestMessage
    ) -> bool:
        """Takes the headers of a request; its body may still arrive.

        Returns whether the call may run; where not, its error is written.
        """

    def run_call(self, conn: "CallerConnection", body: bytes) -> None:
        """Takes the whole body."""

    def refuse_body(self, conn: "CallerConnection", *, too_large: bool) -> None:
        """Notes that the body exceeds the limit, or is malformed."""

    def end_call(self, conn: "CallerConnection") -> None:
        """Notes the end of the call, or that the caller left."""

    def forget(self, conn: "CallerConnection") -> None:
        """Notes that the connection is closed."""


class CallerConnection(base_protocol.BaseProtocol):
    """Runs the requests of one connection one after another.

    Attributes:
        call: the server's state of the running call, None between calls.
        idle_since: monotonic seconds of the end of the last call.
        head_since: monotonic seconds of the first byte of a request whose
            headers are not whole yet, None where there is none.
    """

    __slots__ = (
        "_body_size",
        "_closing",
        "_drain_timer",
        "_handler",
        "_keep_alive",
        "_linger_timer",
        "_malformed",
        "_max_body_bytes",
        "_message",
        "_messages",
        "_parts",
        "_payload",
        "_reading_body",
        "_scheduled",
        "call",
        "head_since",
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
            _READ_BYTES,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            max_headers=_MAX_HEADERS,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
        )
        super().__init__(loop, parser)
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._messages: collections.deque[
            tuple[aiohttp_http.RawRequestMessage, streams.StreamReader]
            | http_exceptions.HttpProcessingError
        ] = collections.deque()
        self._message: aiohttp_http.RawRequestMessage | None = None
        self._payload: streams.StreamReader | None = None
        self._parts: list[bytes] = []
        self._body_size = 0
        self._reading_body = False
        self._malformed = False
        self._keep_alive = True
        self._closing = False
        self._scheduled = False
        self._drain_timer: asyncio.TimerHandle | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self.call: object = None
        self.idle_since = time.monotonic()
        self.head_since: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether an answer can be written."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def has_unread_body(self) -> bool:
        """Whether the body is not whole; the connection then closes."""
        return self._payload is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Called by the event loop."""
        super().connection_lost(exc)
        self._closing = True
        self._messages.clear()
        for timer in (self._drain_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        if self.call is not None:
            self._handler.end_call(self)
        self._handler.forget(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
        if self._closing:
            return
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as exc:
            self._messages.append(exc)
            self._malformed = True
        else:
            self._messages.extend(messages)
            # The parser reads no further requests after an upgrade, which is
            # never granted.
            self._upgraded = self._upgraded or upgraded
        if self._reading_body:
            # The payload's reader resumes the parser, which calls back here.
            # Only the outer call may end the body, or the call ran twice.
            return
        if self._payload is not None:
            self._read_body()
        elif self._message is None and not self._scheduled:
            self._note_head()
            self._next()
        if len(self._messages) > _MAX_PIPELINED and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def resume_writing(self) -> None:
        """Called by the event loop."""
        super().resume_writing()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None
            self._end()

    def continue_body(self) -> None:
        """Tells a caller that waits for it to send the body."""
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def finish(self, *, keep_alive: bool) -> None:
        """Ends the call after its answer was written.

        An answer that the caller has not read holds back the next request.
        """
        self._keep_alive = keep_alive
        if self._payload is not None:
            self._closing = True
        if self._paused:
            self._drain_timer = self._loop.call_later(
                headers.MAX_DEADLINE_MS / 1000, self.reset
            )
        else:
            self._end()

    def reset(self) -> None:
        """Resets the connection, so that a broken answer never looks whole.

        Without the reset, an answer whose end is the end of the connection
        (HTTP/1.0) could not be told from a whole one.
        """
        self._closing = True
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()

    def close(self) -> None:
        """Closes the connection after what was written to it."""
        self._closing = True
        if self.transport is not None:
            self.transport.close()

    async def drain(self) -> None:
        """Waits until the caller has read most of what was written."""
        if self._paused:
            await self._drain_helper()

    def refuse_head(self, code: errors.ErrorCode, message: str) -> None:
        """Answers a request whose headers cannot be read; closes then."""
        self.head_since = None
        if self.is_open:
            self.transport.write(
                caller_protocol.error_bytes(
                    code=code,
                    message=message,
                    request_id=secrets.token_hex(12),
                )
            )
            # Not closed at once: see `_linger`. The caller sees the end of
            # the answer by `Content-Length`.
            self._shut_down()

    def _note_head(self) -> None:
        if self._messages:
            self.head_since = None
        elif self.head_since is None:
            self.head_since = time.monotonic()

    def _next(self) -> None:
        self._scheduled = False
        if not self._messages or self._closing:
            return
        item = self._messages.popleft()
        if self._buffer_paused and len(self._messages) <= _MAX_PIPELINED // 2:
            self._resume_reading_for_buffer()
        if isinstance(item, http_exceptions.HttpProcessingError):
            self._refuse_malformed(item)
            return
        self._message, payload = item
        if payload is not streams.EMPTY_PAYLOAD:
            self._payload = payload
        if not self._handler.open_call(self, self._message):
            return
        if self._payload is None:
            self._handler.run_call(self, b"")
        else:
            self._read_body()

    def _read_body(self) -> None:
        payload = self._payload
        if payload.exception() is not None:
            self._handler.refuse_body(self, too_large=False)
            return
        self._reading_body = True
        try:
            while data := payload.read_nowait():
                self._body_size += len(data)
                self._parts.append(data)
        except Exception:
            # The parser can meet an error in what it reads on.
            self._reading_body = False
            self._handler.refuse_body(self, too_large=False)
            return
        self._reading_body = False
        if self._body_size > self._max_body_bytes:
            self._handler.refuse_body(self, too_large=True)
        elif payload.is_eof():
            self._payload = None
            body = b"".join(self._parts)
            self._parts.clear()
            self._body_size = 0
            self._handler.run_call(self, body)
        elif self._malformed:
            # The parser stopped, so the rest of the body never comes.
            self._handler.refuse_body(self, too_large=False)

    def _end(self) -> None:
        self._handler.end_call(self)
        self._message = None
        self.idle_since = time.monotonic()
        if self._payload is not None:
            self._linger()
        elif not self._keep_alive or self._upgraded:
            self.close()
        elif self._messages:
            # By way of the loop: a row of requests would nest their calls.
            self._scheduled = True
            self._loop.call_soon(self._next)

    def _linger(self) -> None:
        """Reads on for a while, so that the caller can read the refusal.

        A close with unread bytes would reset the connection and could
        destroy the answer on its way.
        """
        self._closing = True
        self._parts.clear()
        self._reading_paused = False
        self._resume_transport_reading()
        self._linger_timer = self._loop.call_later(_LINGER_S, self.close)

    def _refuse_malformed(
        self, exc: http_exceptions.HttpProcessingError
    ) -> None:
        code = errors.ErrorCode.MALFORMED_REQUEST
        if isinstance(exc, http_exceptions.LineTooLong):
            code = errors.ErrorCode.HEADER_TOO_LARGE
        self.refuse_head(
            code, f"the request is not valid HTTP: {type(exc).__name__}"
        )

    def _shut_down(self) -> None:
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._linger()
