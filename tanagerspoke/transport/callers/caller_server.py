"""HTTP server for callers."""

import asyncio
from collections.abc import Callable
import dataclasses
import http
import itertools
import logging
import secrets
import time

from aiohttp import http as aiohttp_http

from tanagerspoke import exceptions
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.settings import options
from tanagerspoke.transport.callers import caller_calls
from tanagerspoke.transport.callers import caller_connection
from tanagerspoke.transport.callers import caller_headers
from tanagerspoke.transport.callers import error_responses
from tanagerspoke.transport.callers import memory_guard
from tanagerspoke.transport.operations import log_limit
from tanagerspoke.transport.upstreams import dispatcher
from tanagerspoke.transport.upstreams import upstream_dialect

log = logging.getLogger(__name__)

# Time after the call's deadline that a caller has to read the rest of a
# streamed response.
_RESPONSE_READ_GRACE_S = 5.0
# Interval of the timeout checks as a share of the shortest timeout. Connections
# are closed up to one interval late.
_TIMEOUT_CHECK_SHARE = 0.02
# Limits the processor time of the checks, which visit every connection.
_MIN_TIMEOUT_CHECK_INTERVAL_S = 0.05
_FAILURE_LOG_LINES_PER_S = 10.0
_FAILURE_LOG_BURST_LINES = 100
# Connections that wait for being accepted; all of them may be accepted at once.
_BACKLOG = 128
# Holdings without progress are closed for others after 2 s.
_MEMORY_RETRY_AFTER_S = 1.0
_VERSIONS = (aiohttp_http.HttpVersion11, aiohttp_http.HttpVersion10)
_CLOSING_CODES = frozenset({errors.ErrorCode.HEADER_TOO_LARGE.value})
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


class _Call:
    """State of the call that a connection runs.

    Attributes:
        on_disconnect: function that `serve` returned, called if the caller
            disconnects before the response.
        stream_task: task that writes a streamed response, None for others.

    The message itself is not kept, since its headers may hold an API key.
    """

    __slots__ = (
        "conn",
        "keep_alive",
        "method",
        "on_disconnect",
        "record",
        "request",
        "should_close",
        "stream_task",
        "version",
    )

    def __init__(
        self,
        *,
        conn: caller_connection.CallerConnection,
        message: aiohttp_http.RawRequestMessage,
        record: caller_calls.CallRecord,
    ) -> None:
        self.conn = conn
        self.method = message.method
        self.version = message.version
        self.should_close = message.should_close
        self.record = record
        self.keep_alive = False
        self.request: caller_calls.CallerRequest | None = None
        self.on_disconnect: Callable[[], object] | None = None
        self.stream_task: asyncio.Task[None] | None = None


class CallerServer:
    """Reads requests, passes them to `serve` and writes the responses.

    Args:
        limits: returns the current limits.
        serve: starts a request. It calls the passed callback once, with the
            response or the error, and returns a function to call if the
            caller disconnects earlier.
        on_started: called with the record of each call when its headers are
            complete.
        on_ended: called with the record of each call when its response was
            written or its caller disconnected.
        is_stopping: while it returns true, each response closes its
            connection.
        on_headers: called with each request when its headers are complete,
            before its body is read; may raise `CallRefusedError`.
        reads_keys: returns whether calls need a key, which is then not
            forwarded.
        guard: counts the memory that callers hold.
        max_connections: limit on open connections, None if there is none.
            Beyond it, the connection that has been without a call for longest
            is closed, or the new one if all have calls.
    """

    def __init__(
        self,
        *,
        listen: options.Endpoint,
        limits: Callable[[], caller_calls.Limits],
        dialect: caller_calls.CallerDialect,
        serve: Callable[
            [caller_calls.CallerRequest, caller_calls.OnDone],
            Callable[[], object],
        ],
        on_started: Callable[[caller_calls.CallRecord], None] = lambda record: (
            None
        ),
        on_ended: Callable[[caller_calls.CallRecord], None] = lambda record: (
            None
        ),
        is_stopping: Callable[[], bool] = lambda: False,
        on_headers: Callable[[caller_calls.CallerRequest], None] = (
            lambda request: None
        ),
        reads_keys: Callable[[], bool] = lambda: False,
        guard: memory_guard.MemoryGuard | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._listen = listen
        self._limits = limits
        self._dialect = dialect
        self._serve = serve
        self._on_started = on_started
        self._on_ended = on_ended
        self._is_stopping = is_stopping
        self._on_headers = on_headers
        self._reads_keys = reads_keys
        self._guard = guard or memory_guard.MemoryGuard()
        self._max_connections = max_connections
        self._call_ids = itertools.count(1)
        self._request_id_prefix = secrets.token_hex(8)
        self._conns: set[caller_connection.CallerConnection] = set()
        self._listener: asyncio.Server | None = None
        self._timeout_check_timer: asyncio.TimerHandle | None = None
        self._failed_call_log_limit = _new_log_limit("call_failed")
        self._broken_response_log_limit = _new_log_limit("answer_broke_off")

    async def start(self) -> None:
        """Opens the port for callers, which processes of a host can share."""
        loop = asyncio.get_running_loop()

        def new_connection() -> caller_connection.CallerConnection:
            conn = caller_connection.CallerConnection(
                loop=loop,
                handler=self,
                limits=self._limits,
                guard=self._guard,
            )
            self._conns.add(conn)
            if (
                self._max_connections is not None
                and len(self._conns) > self._max_connections
            ):
                self._close_idlest(conn)
            return conn

        self._listener = await loop.create_server(
            new_connection,
            self._listen.address,
            self._listen.port,
            reuse_port=True,
            backlog=_BACKLOG,
        )
        self._schedule_timeout_check()

    def _close_idlest(self, new: caller_connection.CallerConnection) -> None:
        """Closes the connection that has been without a call for longest."""
        idle = (
            conn
            for conn in self._conns
            if conn is not new and conn.call is None and conn.is_open
        )
        min(idle, key=lambda conn: conn.idle_since, default=new).abort()

    async def close_listeners(self) -> None:
        """Stops accepting connections; open ones are still served."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def flush(self, *, timeout_s: float) -> None:
        """Waits until the write buffers are empty or `timeout_s` has passed."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if not any(
                conn.transport is not None
                and conn.transport.get_write_buffer_size()
                for conn in self._conns
            ):
                return
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Closes the port and the callers' connections."""
        await self.close_listeners()
        if self._timeout_check_timer is not None:
            self._timeout_check_timer.cancel()
            self._timeout_check_timer = None
        for conn in list(self._conns):
            if conn.call is not None:
                # With a reset, a partly sent response does not look complete.
                conn.reset()
            else:
                conn.close()

    def connection_closed(
        self, conn: caller_connection.CallerConnection
    ) -> None:
        """Implements `caller_connection.Handler`."""
        self._conns.discard(conn)

    def open_call(
        self,
        conn: caller_connection.CallerConnection,
        message: aiohttp_http.RawRequestMessage,
    ) -> bool:
        """Implements `caller_connection.Handler`."""
        call_id = next(self._call_ids)
        record = caller_calls.CallRecord(
            call_id=call_id,
            request_id=f"{self._request_id_prefix}{call_id:x}",
            client_account=self._dialect.client_account(message),
            service="",
            started_at=time.monotonic(),
        )
        call = conn.call = _Call(conn=conn, message=message, record=record)
        self._on_started(record)
        try:
            call.request = self._parse_request(conn, message, record)
        except Exception as exc:
            self._send_error(conn, call, exc)
            return False
        if conn.has_unread_body and "Expect" in message.headers:
            conn.send_continue()
        return True

    def run_call(
        self, conn: caller_connection.CallerConnection, body: bytes | memoryview
    ) -> None:
        """Implements `caller_connection.Handler`."""
        call = conn.call
        request = call.request
        if body:
            request = dataclasses.replace(request, body=body)

        def on_done(
            caller_resp: caller_calls.CallerResponse | None,
            exc: Exception | None,
        ) -> None:
            self._send_result(conn, call, caller_resp, exc)

        try:
            on_disconnect = self._serve(request, on_done)
        except Exception as exc:
            self._send_error(conn, call, exc)
        else:
            call.on_disconnect = on_disconnect

    def refuse_body(
        self, conn: caller_connection.CallerConnection, *, too_large: bool
    ) -> None:
        """Implements `caller_connection.Handler`."""
        exc = _body_too_large_error(self._limits().max_body_bytes)
        if not too_large:
            exc = exceptions.CallRefusedError(
                code=errors.ErrorCode.MALFORMED_REQUEST,
                message="the body is not valid HTTP",
            )
        self._send_error(conn, conn.call, exc)

    def refuse_for_memory(
        self, conn: caller_connection.CallerConnection
    ) -> None:
        """Implements `caller_connection.Handler`."""
        self._send_error(conn, conn.call, _memory_error())

    def end_call(self, conn: caller_connection.CallerConnection) -> None:
        """Implements `caller_connection.Handler`."""
        call = conn.call
        conn.call = None
        record = call.record
        on_disconnect = call.on_disconnect
        # It refers to the request, whose callback refers to `call`: without
        # this, the body would stay in memory until a garbage collection.
        call.on_disconnect = None
        if call.stream_task is not None:
            call.stream_task.cancel()
        elif record.code is None:
            record.code = "caller_left"
            if on_disconnect is not None:
                on_disconnect()
        if record.code is None:
            record.code = "caller_left"
        self._on_ended(record)

    def _send_result(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        caller_resp: caller_calls.CallerResponse | None,
        exc: Exception | None,
    ) -> None:
        if conn.call is not call:
            if (
                caller_resp is not None
                and caller_resp.response.stream is not None
            ):
                caller_resp.response.stream.abandon()
            return
        try:
            self._write_result(conn, call, caller_resp, exc)
        except Exception as write_exc:
            # A part of the response may have been written.
            self._log_unexpected_error(call.record, write_exc)
            conn.reset()

    def _write_result(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        caller_resp: caller_calls.CallerResponse | None,
        exc: Exception | None,
    ) -> None:
        if exc is not None:
            self._send_error(conn, call, exc)
        elif caller_resp.response.stream is not None:
            call.stream_task = asyncio.get_running_loop().create_task(
                self._stream_response(conn, call, caller_resp)
            )
        else:
            try:
                data = self._encode_response(call, caller_resp)
            except Exception as encode_exc:
                self._send_error(conn, call, encode_exc)
            else:
                self._write_response(conn, call, data)

    def _send_error(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        exc: Exception,
    ) -> None:
        if conn.call is not call:
            return
        record = call.record
        retry_after_s = None
        message = str(exc)
        if isinstance(exc, exceptions.CallRefusedError):
            code = exc.code
            retry_after_s = exc.retry_after_s
            record.retry_after_s = retry_after_s
            record.decided_by = exc.decided_by
        elif isinstance(exc, dispatcher.CallFailedError):
            code = exc.code
        else:
            self._log_unexpected_error(record, exc)
            code = errors.ErrorCode.INTERNAL_ERROR
            if record.dispatched:
                code = errors.ErrorCode.OUTCOME_UNKNOWN
            message = "an unexpected error; see the log"
        self._write_response(
            conn, call, self._encode_error(call, code, message, retry_after_s)
        )

    def _log_unexpected_error(
        self, record: caller_calls.CallRecord, exc: Exception
    ) -> None:
        if self._failed_call_log_limit.try_acquire(record.client_account):
            log.error("call_failed", exc_info=exc, extra=_log_fields(record))

    def _write_response(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        data: bytes,
    ) -> None:
        if conn.is_open:
            conn.transport.write(data)
            conn.finish(keep_alive=call.keep_alive)

    def _parse_request(
        self,
        conn: caller_connection.CallerConnection,
        message: aiohttp_http.RawRequestMessage,
        record: caller_calls.CallRecord,
    ) -> caller_calls.CallerRequest:
        limits = self._limits()
        _check_version(message)
        _check_expectation(message)
        header_bytes = caller_headers.check_header_size(
            message, limits.max_header_bytes
        )
        request = self._dialect.parse_request(
            message, record, reads_key=self._reads_keys()
        )
        self._on_headers(request)
        content_length = message.headers.get("Content-Length", "")
        body_bytes = int(content_length) if content_length.isdecimal() else 0
        max_bytes = limits.max_body_bytes
        if body_bytes > max_bytes:
            raise _body_too_large_error(max_bytes)
        if not conn.reserve(header_bytes=header_bytes, body_bytes=body_bytes):
            raise _memory_error()
        return request

    def _may_keep_alive(self, call: _Call) -> bool:
        return (
            not call.should_close
            and call.version == aiohttp_http.HttpVersion11
            and not self._is_stopping()
        )

    def _encode_response(
        self, call: _Call, caller_resp: caller_calls.CallerResponse
    ) -> bytes:
        """Encodes a buffered response; sets the record's code and status."""
        resp = caller_resp.response
        record = call.record
        content_length: int | None = len(resp.body)
        if call.method == "HEAD" or resp.status == 304:
            content_length = resp.content_length
        elif resp.status == 204:
            content_length = None
        head = self._encode_head(call, caller_resp, content_length)
        record.code = "ok"
        record.status = resp.status
        return head + resp.body

    def _encode_error(
        self,
        call: _Call,
        code: errors.ErrorCode,
        message: str,
        retry_after_s: float | None,
    ) -> bytes:
        """Encodes an error response; sets the record's code and status."""
        record = call.record
        record.code = code.value
        record.status = errors.status_of(code)
        outcome = errors.outcome_of(code)
        if (
            outcome is errors.Outcome.NOT_RUN
            and record.earlier_request_may_have_run
        ):
            # This request did not run, but an earlier one with its key may
            # have. After "not run", the caller could repeat the write, which
            # would then run twice (a second booking, for example).
            outcome = errors.Outcome.UNKNOWN
        body = error_responses.error_body(
            code=code,
            outcome=outcome,
            message=message,
            request_id=record.request_id,
        )
        header_fields = self._dialect.error_headers(
            code=code,
            outcome=outcome,
            request_id=record.request_id,
            retry_after_s=retry_after_s,
        )
        lines = self._head_lines(call, record.status, header_fields, len(body))
        if call.method == "HEAD":
            body = b""
        return upstream_dialect.encode_head(lines) + body

    def _encode_head(
        self,
        call: _Call,
        caller_resp: caller_calls.CallerResponse,
        content_length: int | None,
    ) -> bytes:
        resp = caller_resp.response
        header_fields = (
            *resp.headers,
            *self._dialect.added_headers(call.record, caller_resp),
        )
        return upstream_dialect.encode_head(
            self._head_lines(call, resp.status, header_fields, content_length)
        )

    def _head_lines(
        self,
        call: _Call,
        status: int,
        header_fields: headers.Headers,
        content_length: int | None,
    ) -> list[str]:
        """Returns status line and headers; also sets `call.keep_alive`."""
        call.keep_alive = (
            self._may_keep_alive(call)
            and not call.conn.must_close
            and call.record.code not in _CLOSING_CODES
        )
        lines = [f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, '')}"]
        lines += [f"{name}: {value}" for name, value in header_fields]
        if content_length is not None:
            lines.append(f"Content-Length: {content_length}")
        if not call.keep_alive:
            lines.append("Connection: close")
        return lines

    async def _stream_response(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        caller_resp: caller_calls.CallerResponse,
    ) -> None:
        resp = caller_resp.response
        record = call.record
        record.status = resp.status
        is_complete = False
        try:
            deadline = record.deadline or time.monotonic()
            remaining_s = deadline - time.monotonic() + _RESPONSE_READ_GRACE_S
            async with asyncio.timeout(remaining_s):
                await self._write_streamed_response(conn, call, caller_resp)
            is_complete = True
            record.code = "ok"
        except TimeoutError:
            # The upstream's exchange ends at the deadline; only a caller that
            # reads slowly is still at it.
            record.code = "caller_too_slow"
            if self._broken_response_log_limit.try_acquire(
                record.client_account
            ):
                log.warning("caller_too_slow", extra=_log_fields(record))
        except exceptions.UpstreamError as exc:
            record.code = errors.ErrorCode.UPSTREAM_BROKEN.value
            if self._broken_response_log_limit.try_acquire(
                record.client_account
            ):
                log.warning(
                    "answer_broke_off",
                    extra=_log_fields(record) | {"error": str(exc)},
                )
        except ConnectionError:
            log.debug("caller_left", extra=_log_fields(record))
        except Exception as exc:
            record.code = errors.ErrorCode.OUTCOME_UNKNOWN.value
            self._log_unexpected_error(record, exc)
        finally:
            resp.stream.abandon()
            if not is_complete:
                conn.reset()
        call.stream_task = None
        if is_complete and conn.call is call:
            conn.finish(keep_alive=call.keep_alive)

    async def _write_streamed_response(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        caller_resp: caller_calls.CallerResponse,
    ) -> None:
        resp = caller_resp.response
        head = self._encode_head(call, caller_resp, resp.content_length)
        is_chunked = (
            resp.content_length is None
            and call.version >= aiohttp_http.HttpVersion11
        )
        if is_chunked:
            head = head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        _write_or_raise(conn, head)
        while data := await resp.stream.read():
            _write_or_raise(
                conn,
                b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data,
            )
            await conn.drain()
        if is_chunked:
            _write_or_raise(conn, b"0\r\n\r\n")
        await conn.drain()

    def _schedule_timeout_check(self) -> None:
        limits = self._limits()
        shortest_timeout_s = min(
            limits.idle_timeout_s,
            limits.header_timeout_s,
            limits.body_timeout_s,
        )
        self._timeout_check_timer = asyncio.get_running_loop().call_later(
            max(
                _MIN_TIMEOUT_CHECK_INTERVAL_S,
                _TIMEOUT_CHECK_SHARE * shortest_timeout_s,
            ),
            self._close_timed_out_connections,
        )

    def _close_timed_out_connections(self) -> None:
        limits = self._limits()
        now = time.monotonic()
        for conn in list(self._conns):
            if conn.call is not None:
                if (
                    conn.is_reading_body
                    and now - conn.call.record.started_at
                    > limits.body_timeout_s
                ):
                    self._refuse_late_body(conn, limits.body_timeout_s)
                continue
            headers_started_at = conn.headers_started_at
            if (
                headers_started_at is not None
                and now - headers_started_at > limits.header_timeout_s
            ):
                conn.refuse_headers(
                    errors.ErrorCode.HEADER_TIMEOUT,
                    f"no whole headers in {limits.header_timeout_s:g} s",
                )
            elif now - conn.idle_since > limits.idle_timeout_s:
                conn.close()
        self._schedule_timeout_check()

    def _refuse_late_body(
        self, conn: caller_connection.CallerConnection, timeout_s: float
    ) -> None:
        conn.drop_body()
        exc = exceptions.CallRefusedError(
            code=errors.ErrorCode.BODY_TIMEOUT,
            message=f"no whole body in {timeout_s:g} s",
        )
        self._send_error(conn, conn.call, exc)


def _memory_error() -> exceptions.CallRefusedError:
    return exceptions.CallRefusedError(
        code=errors.ErrorCode.MEMORY_EXHAUSTED,
        message="this node's memory for requests is in use",
        retry_after_s=_MEMORY_RETRY_AFTER_S,
    )


def _new_log_limit(event: str) -> log_limit.LogLimit:
    return log_limit.LogLimit(
        event=event,
        rate_per_s=_FAILURE_LOG_LINES_PER_S,
        burst=_FAILURE_LOG_BURST_LINES,
    )


def _check_version(message: aiohttp_http.RawRequestMessage) -> None:
    """Refuses versions besides HTTP/1.0 and HTTP/1.1, which the parser accepts.

    A proxy may understand the bytes behind such a request line differently.
    """
    if message.version not in _VERSIONS:
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.MALFORMED_REQUEST,
            message="the version must be HTTP/1.0 or HTTP/1.1",
        )


def _check_expectation(message: aiohttp_http.RawRequestMessage) -> None:
    expected = message.headers.get("Expect", "100-continue")
    if expected.lower() != "100-continue":
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.EXPECTATION_FAILED,
            message="header Expect allows 100-continue only",
        )


def _write_or_raise(
    conn: caller_connection.CallerConnection, data: bytes
) -> None:
    if not conn.is_open:
        raise ConnectionResetError("the caller closed the connection")
    conn.transport.write(data)


def _log_fields(record: caller_calls.CallRecord) -> dict[str, str]:
    return {
        "client_account": record.client_account,
        "service": record.service,
        "request_id": record.request_id,
    }


def _body_too_large_error(max_bytes: int) -> exceptions.CallRefusedError:
    return exceptions.CallRefusedError(
        code=errors.ErrorCode.BODY_TOO_LARGE,
        message=f"the body exceeds {max_bytes} bytes",
    )
