"""A caller's connection, based on aiohttp's request parser.

aiohttp's `web.Server` needs a task, a stream reader and timers for each
connection. This protocol avoids that cost: the event loop's callback for
received data starts the call, and the callback of the upstream connection
writes the response.
"""

import asyncio
import collections
from collections.abc import Callable
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

from tanagerspoke.coordination.caller_memory import account
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import error_responses
from tanagerspoke.transport.callers import framing_limit
from tanagerspoke.transport.callers import memory_guard
from tanagerspoke.transport.callers import pipeline
from tanagerspoke.transport.callers import request_body

log = logging.getLogger(__name__)

# Time for which the rest of a refused request is read before the connection
# closes, so that the caller can read the error response.
_LINGER_TIMEOUT_S = 2.0
_READ_BUFFER_BYTES = 65_536
_MAX_HEADER_COUNT = 128
# The limits of the configuration are checked here, since they may change while
# the connection is open, and those of the parser can't.
_PARSER_FIELD_BYTES = 1_048_576
# Number of parsed requests that wait for the running one at which parsing and
# reading pause. They resume at half of it.
_MAX_PIPELINED_REQUESTS = 16
_MEMORY_MESSAGE = "this node's memory for requests is in use"
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

    def run_call(
        self, conn: "CallerConnection", body: bytes | memoryview
    ) -> None:
        """Runs the call with its complete body."""

    def refuse_body(self, conn: "CallerConnection", *, too_large: bool) -> None:
        """Refuses a call whose body exceeds the limit or is malformed."""

    def refuse_for_memory(self, conn: "CallerConnection") -> None:
        """Refuses a call whose body may not be held."""

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
        holding: bytes of the request or response that are counted.
    """

    __slots__ = (
        "_announced_bytes",
        "_body",
        "_framing",
        "_guard",
        "_is_closing",
        "_drain_timeout_timer",
        "_handler",
        "_keep_alive",
        "_linger_timer",
        "_parsing_failed",
        "_has_call",
        "_last_payload",
        "_limits",
        "_pending_messages",
        "_pipeline",
        "_head_cost_bytes",
        "_unread_payload",
        "_reading_body",
        "_next_call_scheduled",
        "call",
        "headers_started_at",
        "holding",
        "idle_since",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        handler: Handler,
        limits: Callable[[], caller_calls.Limits],
        guard: memory_guard.MemoryGuard,
    ) -> None:
        parser = aiohttp_http.HttpRequestParser(
            self,
            loop,
            _READ_BUFFER_BYTES,
            max_line_size=_PARSER_FIELD_BYTES,
            max_field_size=_PARSER_FIELD_BYTES,
            max_headers=_MAX_HEADER_COUNT,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            # Pauses behind each request: the parser raises an error instead
            # of returning the requests before an invalid one.
            max_msg_queue_size=1,
        )
        super().__init__(loop, parser)
        self._handler = handler
        self._limits = limits
        self._guard = guard
        self._framing: framing_limit.FramingLimit | None = None
        self._last_payload: streams.StreamReader | None = None
        self.holding = account.Holding(owner=self)
        self._announced_bytes = 0
        self._head_cost_bytes = 0
        self._pipeline = pipeline.Pipeline(
            guard=guard, on_drop=self._drop_pipeline
        )
        self._pending_messages: collections.deque[
            tuple[aiohttp_http.RawRequestMessage, streams.StreamReader]
            | http_exceptions.HttpProcessingError
        ] = collections.deque()
        self._has_call = False
        self._unread_payload: streams.StreamReader | None = None
        self._body = request_body.RequestBody()
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

    @property
    def is_reading_body(self) -> bool:
        """Whether the request still waits for the rest of its body."""
        return self._unread_payload is not None and not self._is_closing

    @property
    def must_close(self) -> bool:
        """Whether no further request of the connection will be served."""
        return self._unread_payload is not None or (
            self._parsing_failed and not self._pending_messages
        )

    def reserve(self, *, header_bytes: int, body_bytes: int) -> bool:
        """Counts the current request; returns whether it may be received.

        Args:
            header_bytes: size of its headers.
            body_bytes: announced size of its body, 0 if there is none.
        """
        self._announced_bytes = body_bytes
        self._head_cost_bytes = memory_guard.HEAD_COST * header_bytes
        size_bytes = self._head_cost_bytes + body_bytes
        return size_bytes <= memory_guard.UNCOUNTED_BYTES or self._guard.grow(
            self.holding, size_bytes
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        super().connection_made(transport)
        if self._is_closing:
            transport.abort()
            return
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
        # The parser and the connection refer to each other: without this, what
        # they hold would stay in memory until a garbage collection.
        self._discard_input()

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
        if self._is_closing or self._parsing_failed:
            return
        self._parse(data)
        if self._is_closing:
            # The call was refused, since this read needed its memory.
            return
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
        if self._pending_messages and self._has_call:
            self._count_pipelined(len(data))

    def _parse(self, data: bytes) -> None:
        while self._parse_request(data):
            if len(self._pending_messages) >= _MAX_PIPELINED_REQUESTS:
                # `_resume_pipeline` continues with what is not parsed yet.
                self._pause_reading_for_buffer()
                return
            data = b""

    def _parse_request(self, data: bytes) -> bool:
        """Parses up to the end of a request; returns whether it was reached.

        The parser keeps what follows.
        """
        payload = self._last_payload
        was_in_body = payload is not None and not payload.is_eof()
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as exc:
            self._fail_parsing(exc)
            return False
        # The parser reads no further requests after one that asks for an
        # upgrade. No upgrade is granted; the connection closes after the
        # response.
        self._upgraded = self._upgraded or upgraded
        if messages:
            self._pending_messages.extend(messages)
            self._framing = None
            payload = self._last_payload = messages[-1][1]
            if not self._has_call and self.holding.size_bytes:
                self._guard.release(self.holding)
            return payload.is_eof() and not upgraded
        if data and not self._buffer_paused and not self._reading_paused:
            self._count_framing(len(data))
        return (
            was_in_body
            and payload.is_eof()
            and not upgraded
            and not self._parsing_failed
            and self._parser is not None
        )

    def _fail_parsing(self, exc: http_exceptions.HttpProcessingError) -> None:
        self._pending_messages.append(exc)
        self._parsing_failed = True

    def _count_framing(self, size_bytes: int) -> None:
        framing = self._framing
        if framing is None:
            framing = framing_limit.FramingLimit(payload=self._last_payload)
            self._framing = framing
        framing.add(size_bytes)
        if framing.is_exceeded(self._limits().max_header_bytes):
            self._fail_parsing(http_exceptions.LineTooLong(b"", 0))
        elif framing.is_in_body:
            return
        elif self._has_call:
            self._count_pipelined(size_bytes)
        elif not self._guard.grow(
            self.holding, memory_guard.HEAD_COST * framing.size_bytes
        ):
            self.close_for_memory()

    def _count_pipelined(self, size_bytes: int) -> None:
        """Counts what was received behind the running request."""
        self._pipeline.add(size_bytes, len(self._pending_messages))

    def _drop_pipeline(self) -> None:
        """Drops the requests behind the running one, which did not run.

        The connection closes after the running one's response.
        """
        self._pipeline.clear()
        self._parsing_failed = True
        self._pending_messages.clear()
        # It holds what it has not parsed yet.
        self._parser = None
        if not self._has_call:
            self.close()

    def close_for_memory(self) -> None:
        """Gives up what is held; implements `memory_guard.Owner`."""
        self._guard.release(self.holding)
        if self.is_reading_body:
            self.drop_body()
            self._handler.refuse_for_memory(self)
        elif self.call is not None:
            # Its response has been sent in part.
            self.reset()
        else:
            self.refuse_headers(
                errors.ErrorCode.MEMORY_EXHAUSTED, _MEMORY_MESSAGE
            )

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
            self._discard_input()
        if self._paused:
            if not self._may_buffer(self.transport.get_write_buffer_size()):
                self.reset()
                return
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

    def abort(self) -> None:
        """Closes the connection at once, also before it is established."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.abort()

    async def drain(self) -> None:
        """Waits until all that was written has left the process."""
        if self._paused:
            if not self._may_buffer(memory_guard.STREAM_BYTES):
                raise ConnectionResetError("no memory for a slow caller")
            await self._drain_helper()

    def _may_buffer(self, size_bytes: int) -> bool:
        """Counts a response that the caller is slow to read."""
        # An upstream has answered, so the connection may be closed.
        self.holding.is_dispatched = False
        self._guard.restart_stall(self.holding)
        return self._guard.grow(self.holding, size_bytes)

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
        if isinstance(message_or_error, http_exceptions.HttpProcessingError):
            self._refuse_malformed(message_or_error)
            return
        # The message is not kept, since its headers may hold an API key.
        message, payload = message_or_error
        self._has_call = True
        if (
            self._buffer_paused
            and len(self._pending_messages) <= _MAX_PIPELINED_REQUESTS // 2
        ):
            self._resume_pipeline()
        if self._pipeline.size_bytes and not self._pending_messages:
            self._pipeline.clear()
        if payload is not streams.EMPTY_PAYLOAD:
            self._unread_payload = payload
        if not self._handler.open_call(self, message):
            return
        if self._unread_payload is None:
            self.holding.is_dispatched = True
            self._handler.run_call(self, b"")
        else:
            self._read_body()

    def _resume_pipeline(self) -> None:
        self._buffer_paused = False
        # Continues with what the parser has not parsed yet, which may pause
        # the connection again.
        self.data_received(b"")
        if not self._buffer_paused:
            self._resume_reading_for_buffer()

    def _read_body(self) -> None:
        payload = self._unread_payload
        if payload.exception() is not None:
            self._handler.refuse_body(self, too_large=False)
            return
        self._reading_body = True
        try:
            while data := payload.read_nowait():
                self._body.append(data, self._announced_bytes)
        except Exception:
            # Reading the payload resumes the parser, which can fail on the
            # data that follows.
            self._reading_body = False
            self._handler.refuse_body(self, too_large=False)
            return
        self._reading_body = False
        size_bytes = self._body.size_bytes
        if size_bytes > self._limits().max_body_bytes:
            self.drop_body()
            self._handler.refuse_body(self, too_large=True)
        elif not self._guard.grow(
            self.holding, self._head_cost_bytes + size_bytes
        ):
            self.close_for_memory()
        elif payload.is_eof():
            self._unread_payload = None
            self.holding.is_dispatched = True
            self._handler.run_call(self, self._body.take())
        elif self._parsing_failed:
            # The parser has stopped, so the rest of the body never arrives.
            self._handler.refuse_body(self, too_large=False)
        else:
            self._guard.record_progress(self.holding, size_bytes)

    def drop_body(self) -> None:
        """Frees what was read of a body that is refused."""
        self._body.clear()
        self._guard.release(self.holding)

    def _discard_input(self) -> None:
        """Frees what was received and will not be used any more."""
        self.drop_body()
        self._pending_messages.clear()
        self._pipeline.clear()
        self._framing = None
        self._last_payload = None
        if self._unread_payload is not None:
            # Only its absence counts from now on.
            self._unread_payload = streams.EMPTY_PAYLOAD
        self._parser = None

    def _end_call(self) -> None:
        self._handler.end_call(self)
        self._has_call = False
        self.idle_since = time.monotonic()
        if self.holding.size_bytes:
            self._guard.release(self.holding)
        self.holding.is_dispatched = False
        if self.must_close:
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
        self._discard_input()
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
