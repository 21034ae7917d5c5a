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
from tanagerspoke.transport.callers import caller_protocol
from tanagerspoke.transport.operations import log_limit
from tanagerspoke.transport.upstreams import dispatcher
from tanagerspoke.transport.upstreams import upstream_dialect

log = logging.getLogger(__name__)

# Time for a caller to read the end of its answer beyond the call's deadline.
_READ_GRACE_S = 5.0
# Share of a timeout by which a connection may be cut off late.
_SWEEP_SHARE = 0.02
# Looks at all connections cost processor time.
_MIN_SWEEP_S = 0.05
_FAILURE_LINES_PER_S = 10.0
_FAILURE_LINES_BURST = 100
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class _Call:
    """A call while its connection runs it."""

    __slots__ = (
        "conn",
        "keep_alive",
        "leave",
        "message",
        "record",
        "request",
        "task",
    )

    def __init__(
        self,
        *,
        conn: caller_connection.CallerConnection,
        message: aiohttp_http.RawRequestMessage,
        record: caller_calls.CallRecord,
    ) -> None:
        self.conn = conn
        self.message = message
        self.record = record
        self.keep_alive = False
        self.request: caller_calls.CallerRequest | None = None
        self.leave: Callable[[], object] | None = None
        self.task: asyncio.Task[None] | None = None


class CallerServer:
    """Reads requests, hands them to `serve` and writes the answers.

    `serve` takes a request and a callback, which it calls once with the
    answer or the error, and returns a function that tells it that the caller
    left. `on_started` and `on_ended` are called around each call, from its
    headers to the last byte of its answer. While `is_stopping`, each answer
    closes its connection.
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
    ) -> None:
        self._listen = listen
        self._limits = limits
        self._dialect = dialect
        self._serve = serve
        self._on_started = on_started
        self._on_ended = on_ended
        self._is_stopping = is_stopping
        self._call_ids = itertools.count(1)
        self._id_prefix = secrets.token_hex(8)
        self._conns: set[caller_connection.CallerConnection] = set()
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._failed_log = _failure_log("call_failed")
        self._broke_log = _failure_log("answer_broke_off")

    async def start(self) -> None:
        """Opens the caller port, shared with the host's other gateways."""
        loop = asyncio.get_running_loop()

        def connect() -> caller_connection.CallerConnection:
            limits = self._limits()
            conn = caller_connection.CallerConnection(
                loop=loop,
                handler=self,
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
            )
            self._conns.add(conn)
            return conn

        self._listener = await loop.create_server(
            connect,
            self._listen.address,
            self._listen.port,
            reuse_port=True,
            backlog=128,
        )
        self._arm_sweep()

    async def close_listeners(self) -> None:
        """Accepts no new connections; open ones are served on."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def flush(self, *, timeout_s: float) -> None:
        """Waits until the callers took what was written to them."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
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
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for conn in list(self._conns):
            if conn.call is not None:
                # What was sent of its answer must not look whole.
                conn.reset()
            else:
                conn.close()

    def forget(self, conn: caller_connection.CallerConnection) -> None:
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
            request_id=f"{self._id_prefix}{call_id:x}",
            client_account=self._dialect.client_account(message),
            service="",
            started_at=time.monotonic(),
        )
        call = conn.call = _Call(conn=conn, message=message, record=record)
        self._on_started(record)
        try:
            call.request = self._read(message, record)
        except Exception as exc:
            self._write_failure(conn, call, exc)
            return False
        if conn.has_unread_body and "Expect" in message.headers:
            conn.continue_body()
        return True

    def run_call(
        self, conn: caller_connection.CallerConnection, body: bytes
    ) -> None:
        """Implements `caller_connection.Handler`."""
        call = conn.call
        request = call.request
        if body:
            request = dataclasses.replace(request, body=body)

        def done(
            answered: caller_calls.CallerAnswer | None, exc: Exception | None
        ) -> None:
            self._answer(conn, call, answered, exc)

        try:
            leave = self._serve(request, done)
        except Exception as exc:
            self._write_failure(conn, call, exc)
        else:
            call.leave = leave

    def refuse_body(
        self, conn: caller_connection.CallerConnection, *, too_large: bool
    ) -> None:
        """Implements `caller_connection.Handler`."""
        exc = _body_too_large(self._limits().max_body_bytes)
        if not too_large:
            exc = exceptions.CallRefusedError(
                code=errors.ErrorCode.MALFORMED_REQUEST,
                message="the body is not valid HTTP",
            )
        self._write_failure(conn, conn.call, exc)

    def end_call(self, conn: caller_connection.CallerConnection) -> None:
        """Implements `caller_connection.Handler`."""
        call = conn.call
        conn.call = None
        record = call.record
        if call.task is not None:
            call.task.cancel()
        elif record.code is None:
            record.code = "caller_left"
            if call.leave is not None:
                call.leave()
        if record.code is None:
            record.code = "caller_left"
        self._on_ended(record)

    def _answer(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        answered: caller_calls.CallerAnswer | None,
        exc: Exception | None,
    ) -> None:
        if conn.call is not call:
            if answered is not None and answered.answer.stream is not None:
                answered.answer.stream.abandon()
            return
        if exc is not None:
            self._write_failure(conn, call, exc)
        elif answered.answer.stream is not None:
            call.task = asyncio.get_running_loop().create_task(
                self._stream(conn, call, answered)
            )
        else:
            try:
                data = self._answer_bytes(call, answered)
            except Exception as encode_exc:
                self._write_failure(conn, call, encode_exc)
            else:
                self._send(conn, call, data)

    def _write_failure(
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
        elif isinstance(exc, dispatcher.CallFailedError):
            code = exc.code
        else:
            self._log_failure(record, exc)
            code = errors.ErrorCode.INTERNAL_ERROR
            if record.dispatched:
                code = errors.ErrorCode.OUTCOME_UNKNOWN
            message = "an unexpected error; see the log"
        self._send(
            conn, call, self._error_bytes(call, code, message, retry_after_s)
        )

    def _log_failure(
        self, record: caller_calls.CallRecord, exc: Exception
    ) -> None:
        if self._failed_log.allows(record.client_account):
            log.error("call_failed", exc_info=exc, extra=_describe(record))

    def _send(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        data: bytes,
    ) -> None:
        if conn.is_open:
            conn.transport.write(data)
            conn.finish(keep_alive=call.keep_alive)

    def _read(
        self,
        message: aiohttp_http.RawRequestMessage,
        record: caller_calls.CallRecord,
    ) -> caller_calls.CallerRequest:
        limits = self._limits()
        caller_headers.check_size(message.raw_headers, limits.max_header_bytes)
        request = self._dialect.read(message, record)
        length = message.headers.get("Content-Length", "")
        limit = limits.max_body_bytes
        if length.isdecimal() and int(length) > limit:
            raise _body_too_large(limit)
        return request

    def _keeps_alive(self, message: aiohttp_http.RawRequestMessage) -> bool:
        return (
            not message.should_close
            and message.version >= aiohttp_http.HttpVersion11
            and not self._is_stopping()
        )

    def _answer_bytes(
        self, call: _Call, answered: caller_calls.CallerAnswer
    ) -> bytes:
        answer = answered.answer
        record = call.record
        length: int | None = len(answer.body)
        if call.message.method == "HEAD" or answer.status == 304:
            length = answer.content_length
        elif answer.status == 204:
            length = None
        head = self._head_bytes(call, answered, length)
        record.code = "ok"
        record.status = answer.status
        return head + answer.body

    def _error_bytes(
        self,
        call: _Call,
        code: errors.ErrorCode,
        message: str,
        retry_after_s: float | None,
    ) -> bytes:
        record = call.record
        record.code = code.value
        record.status = errors.status_of(code)
        outcome = errors.outcome_of(code)
        if outcome is errors.Outcome.NOT_RUN and record.earlier_may_have_run:
            # This request did not run, but an earlier one of its key may
            # have: "not run" would invite a second booking.
            outcome = errors.Outcome.UNKNOWN
        body = caller_protocol.error_body(
            code=code,
            outcome=outcome,
            message=message,
            request_id=record.request_id,
        )
        found = self._dialect.error_headers(
            code=code,
            outcome=outcome,
            request_id=record.request_id,
            retry_after_s=retry_after_s,
        )
        lines = self._start_lines(call, record.status, found, len(body))
        if call.message.method == "HEAD":
            body = b""
        return upstream_dialect.encode_head(lines) + body

    def _head_bytes(
        self,
        call: _Call,
        answered: caller_calls.CallerAnswer,
        length: int | None,
    ) -> bytes:
        answer = answered.answer
        found = (
            *answer.headers,
            *self._dialect.added_headers(call.record, answered),
        )
        return upstream_dialect.encode_head(
            self._start_lines(call, answer.status, found, length)
        )

    def _start_lines(
        self,
        call: _Call,
        status: int,
        found: headers.Headers,
        length: int | None,
    ) -> list[str]:
        call.keep_alive = (
            self._keeps_alive(call.message) and not call.conn.has_unread_body
        )
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, '')}"]
        lines += [f"{name}: {value}" for name, value in found]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        if not call.keep_alive:
            lines.append("Connection: close")
        return lines

    async def _stream(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        answered: caller_calls.CallerAnswer,
    ) -> None:
        answer = answered.answer
        record = call.record
        record.status = answer.status
        whole = False
        try:
            deadline = record.deadline or time.monotonic()
            left_s = deadline - time.monotonic() + _READ_GRACE_S
            async with asyncio.timeout(left_s):
                await self._write_stream(conn, call, answered)
            whole = True
            record.code = "ok"
        except (exceptions.UpstreamError, TimeoutError) as exc:
            record.code = errors.ErrorCode.UPSTREAM_BROKEN.value
            if self._broke_log.allows(record.client_account):
                log.warning(
                    "answer_broke_off",
                    extra=_describe(record) | {"error": str(exc)},
                )
        except ConnectionError:
            log.debug("caller_left", extra=_describe(record))
        except Exception as exc:
            record.code = errors.ErrorCode.OUTCOME_UNKNOWN.value
            self._log_failure(record, exc)
        finally:
            answer.stream.abandon()
            if not whole:
                conn.reset()
        call.task = None
        if whole and conn.call is call:
            conn.finish(keep_alive=call.keep_alive)

    async def _write_stream(
        self,
        conn: caller_connection.CallerConnection,
        call: _Call,
        answered: caller_calls.CallerAnswer,
    ) -> None:
        answer = answered.answer
        head = self._head_bytes(call, answered, answer.content_length)
        chunked = (
            answer.content_length is None
            and call.message.version >= aiohttp_http.HttpVersion11
        )
        if chunked:
            head = head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        _write(conn, head)
        while data := await answer.stream.read():
            _write(
                conn, b"%x\r\n%b\r\n" % (len(data), data) if chunked else data
            )
            await conn.drain()
        if chunked:
            _write(conn, b"0\r\n\r\n")
        await conn.drain()

    def _arm_sweep(self) -> None:
        limits = self._limits()
        shortest_s = min(limits.idle_timeout_s, limits.header_timeout_s)
        self._sweep_timer = asyncio.get_running_loop().call_later(
            max(_MIN_SWEEP_S, _SWEEP_SHARE * shortest_s), self._sweep
        )

    def _sweep(self) -> None:
        limits = self._limits()
        now = time.monotonic()
        for conn in list(self._conns):
            if conn.call is not None:
                continue
            since = conn.head_since
            if since is not None and now - since > limits.header_timeout_s:
                conn.refuse_head(
                    errors.ErrorCode.HEADER_TIMEOUT,
                    f"no whole headers in {limits.header_timeout_s:g} s",
                )
            elif now - conn.idle_since > limits.idle_timeout_s:
                conn.close()
        self._arm_sweep()


def _failure_log(event: str) -> log_limit.LogLimit:
    return log_limit.LogLimit(
        event=event,
        rate_per_s=_FAILURE_LINES_PER_S,
        burst=_FAILURE_LINES_BURST,
    )


def _write(conn: caller_connection.CallerConnection, data: bytes) -> None:
    if not conn.is_open:
        raise ConnectionResetError("the caller left")
    conn.transport.write(data)


def _describe(record: caller_calls.CallRecord) -> dict[str, str]:
    return {
        "client_account": record.client_account,
        "service": record.service,
        "request_id": record.request_id,
    }


def _body_too_large(limit: int) -> exceptions.CallRefusedError:
    return exceptions.CallRefusedError(
        code=errors.ErrorCode.BODY_TOO_LARGE,
        message=f"the body exceeds {limit} bytes",
    )
