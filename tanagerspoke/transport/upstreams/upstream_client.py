"""Callback-based HTTP client for upstreams.

Uses only the response parser of aiohttp: its client session costs about
0.7 ms of processor time per call, more than the entire budget of a call.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import logging
from typing import Any

from tanagerspoke import exceptions
from tanagerspoke.coordination import replies
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.operations import log_limit
from tanagerspoke.transport.upstreams import idle_pool
from tanagerspoke.transport.upstreams import response_stream
from tanagerspoke.transport.upstreams import upstream_connection
from tanagerspoke.transport.upstreams import upstream_dialect

log = logging.getLogger(__name__)

# A new connection takes about 1 ms; a host that does not accept one within
# this time is down or overloaded.
_CONNECT_TIMEOUT_S = 0.5
_IDLE_SWEEP_INTERVAL_S = 5.0
_LATE_REPLY_WATCH_S = 30.0

# Log limits of late, lost, crossed and skipped replies. They are high, since
# each of these replies identifies a client account that may have to be
# notified; late and lost replies beyond the limits are still counted in the
# metrics.
_REPLY_LOG_LINES_PER_S = 100.0
# A faulty upstream may send a malformed report with every response.
_LOAD_REPORT_LOG_LINES_PER_S = 1.0
_LOAD_REPORT_LOG_BURST_LINES = 20
_REPLY_LOG_BURST_LINES = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Response of an upstream.

    Attributes:
        body: the complete body; empty if the response is streamed.
        stream: the body of a streamed response, otherwise None.
        content_length: value of the `Content-Length` header in bytes, or None.
    """

    status: int
    headers: headers.Headers
    body: bytes
    stream: response_stream.ResponseStream | None = None
    content_length: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedExchange:
    """Result of an exchange that has ended.

    Attributes:
        load: load report in the response, or None.
        response: the response if `result` is `Answered`, otherwise None.
    """

    result: calls.AttemptResult
    load: upstreams.LoadReport | None = None
    response: Response | None = None


class Exchange:
    """A request to an upstream and its response.

    `on_ended` is called exactly once.

    Attributes:
        deadline: end of the exchange, in seconds of the event loop's clock.
        watched: whether the exchange has timed out and its connection is kept
            open to detect a late reply.
    """

    __slots__ = (
        "_client",
        "_connecting",
        "_on_ended",
        "_on_started",
        "_body",
        "_has_notice",
        "_notice_read",
        "_on_notice",
        "_stream",
        "_timer",
        "attempt",
        "conn",
        "deadline",
        "ended",
        "exchange_id",
        "load",
        "request",
        "upstream",
        "watched",
    )

    def __init__(
        self,
        *,
        client: "UpstreamClient",
        exchange_id: int,
        upstream: upstreams.Upstream,
        request: upstream_dialect.UpstreamRequest,
        attempt: int,
        deadline: float,
        on_ended: Callable[[EndedExchange], None],
        on_started: Callable[[Response], None] | None,
        on_notice: Callable[[upstreams.Notice], None],
    ) -> None:
        self._client = client
        self.exchange_id = exchange_id
        self.upstream = upstream
        self.request = request
        self.attempt = attempt
        self.deadline = deadline
        self.conn: upstream_connection.UpstreamConnection | None = None
        self.load: upstreams.LoadReport | None = None
        self.ended = False
        self.watched = False
        self._on_ended = on_ended
        self._on_started = on_started
        self._on_notice = on_notice
        self._notice_read = False
        self._has_notice = False
        self._body = bytearray()
        self._stream: response_stream.ResponseStream | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Ends the exchange and closes its connection."""
        self._fail(calls.Cancelled(), "the attempt was cancelled")

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Sends the request on an idle or a new connection."""
        self._timer = loop.call_at(self.deadline, self._time_out)
        conn = self._client.acquire_idle(
            self.upstream.upstream_id, self.request.request_id
        )
        if conn is not None:
            self._send(conn)
        else:
            self._connecting = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                conn = await self._client.connect(self.upstream)
        except (OSError, TimeoutError) as exc:
            self._connecting = None
            self._fail(calls.NotSent(), f"cannot connect: {exc}")
            return
        self._connecting = None
        if not conn.is_usable:
            self._fail(
                calls.NotSent(),
                "the connection was closed before the request was written",
            )
            return
        may_send = self.request.may_send
        if may_send is not None and not may_send():
            conn.close()
            self._fail(calls.NotSent(), "the call must not be sent any more")
            return
        self._send(conn)

    def _send(self, conn: upstream_connection.UpstreamConnection) -> None:
        remaining_s = self.deadline - self._client.now()
        try:
            data = self._serialize(max(1, int(remaining_s * 1000)))
        except exceptions.UpstreamError as exc:
            conn.close()
            # Deferred, since `UpstreamClient.send` may not call `on_ended`
            # before it has returned the exchange.
            self._client.call_soon(self._fail, calls.NotSent(), str(exc))
            return
        self.conn = conn
        conn.send(
            method=self.request.method,
            data=data,
            request_id=self.request.request_id,
            receiver=self,
        )

    def _serialize(self, remaining_ms: int) -> bytes:
        request = self.request
        lines = self.dialect.request_lines(
            request=request,
            upstream=self.upstream,
            attempt=self.attempt,
            remaining_ms=remaining_ms,
        )
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        return upstream_dialect.encode_head(lines) + request.body

    @property
    def dialect(self) -> upstream_dialect.UpstreamDialect:
        """Encodes requests to the upstream and interprets its responses."""
        return self._client.dialect

    def accepts(self, head: Any) -> bool:
        """Implements `upstream_connection.Receiver`."""
        accepted = self._owns(head)
        if not accepted:
            self._client.log_skipped_response(self, status=head.code)
        return accepted

    def _owns(self, head: Any) -> bool:
        return self.dialect.belongs_to(
            head=head,
            request=self.request,
            upstream=self.upstream,
            first_on_connection=self.conn.requests_sent == 1,
        )

    def on_data(self, body: bytes) -> None:
        """Implements `upstream_connection.Receiver`."""
        conn = self.conn
        assert conn is not None
        head = conn.reader.head
        matches = self._owns(head)
        if self.watched:
            if not matches:
                self._client.report_watch_broken(self)
            elif conn.reader.done:
                self._client.report_reply_arrived(self)
            return
        if not matches:
            self._fail(
                calls.Crossed(), "the response has the id of another request"
            )
            return
        if not self._notice_read:
            self._read_notice(head)
            if self.ended:
                return
        defect = self.dialect.find_defect(head=head, request=self.request)
        if defect is not None:
            self._fail(calls.Broken(), defect)
            return
        if self._stream is not None:
            self._stream.feed(body)
        else:
            self._buffer(body)
        if conn.reader.done and not self.ended:
            self._finish()

    def _read_notice(self, head: Any) -> None:
        """Reports the notice in a head once, before the response is used.

        A long response may be passed on for a long time after its head.
        """
        self._notice_read = True
        notice = self.dialect.notice(head=head, request=self.request)
        self._has_notice = notice is not None
        if notice is not None:
            self._on_notice(notice)

    def on_broken(self, error: str) -> None:
        """Implements `upstream_connection.Receiver`."""
        if self.watched:
            self._client.report_watch_broken(self)
            return
        dropped = self.conn is not None and not self.conn.reader.has_received
        self._fail(calls.Broken(dropped=dropped), error)

    def _buffer(self, body: bytes) -> None:
        conn = self.conn
        self._body += body
        max_buffered_bytes = self.request.max_buffered_bytes
        if conn.reader.done and len(self._body) <= max_buffered_bytes:
            return
        content_length = _content_length(conn.reader.head)
        if max(len(self._body), content_length or 0) <= max_buffered_bytes:
            return
        not_run = self.dialect.not_run_result(conn.reader.head)
        if not_run is not None:
            self._fail(not_run, "the upstream did not run the call")
        elif self._on_started is None or not self.request.may_stream:
            self._fail(calls.Broken(), "the response exceeds the buffer limit")
        else:
            self._start_stream(content_length)

    def _start_stream(self, content_length: int | None) -> None:
        conn = self.conn
        self._stream = response_stream.ResponseStream(transport=conn.transport)
        self._stream.feed(bytes(self._body))
        self._body.clear()
        head = conn.reader.head
        self._on_started(
            Response(
                status=head.code,
                headers=self._forwarded_headers(head),
                body=b"",
                stream=self._stream,
                content_length=content_length,
            )
        )

    def _finish(self) -> None:
        conn = self.conn
        head = conn.reader.head
        load = self._parse_load(head)
        not_run = self.dialect.not_run_result(head)
        if not_run is not None:
            ended = EndedExchange(result=not_run, load=load)
        else:
            status = head.code
            ended = EndedExchange(
                result=calls.Answered(status=status, failed=status >= 500),
                load=load,
                response=Response(
                    status=status,
                    headers=self._forwarded_headers(head),
                    body=bytes(self._body),
                    stream=self._stream,
                    content_length=_content_length(head),
                ),
            )
        self._release(conn, not_run)
        self.conn = None
        if self._stream is not None:
            self._stream.finish()
        self._end(ended)

    def _release(
        self,
        conn: upstream_connection.UpstreamConnection,
        not_run: calls.Shed | calls.WrongUpstream | None,
    ) -> None:
        """Keeps the connection for other requests if that is safe.

        Another upstream at the address would answer them. A late copy of a
        health response with a notice would renew the notice.
        """
        is_wrong = isinstance(not_run, calls.WrongUpstream)
        if is_wrong or (self.request.probe and self._has_notice):
            conn.close()
        else:
            self._client.release(conn)

    def _parse_load(self, head: Any) -> upstreams.LoadReport | None:
        try:
            return self.dialect.load_report(head)
        except exceptions.ProtocolError as exc:
            # The response itself may be valid; it is handled as one without a
            # load report.
            self._client.log_malformed_load(self, exc)
            return None

    def _forwarded_headers(self, head: Any) -> headers.Headers:
        return headers.end_to_end_headers(
            head.headers.items(), dropped=self.dialect.dropped_headers
        )

    def _time_out(self) -> None:
        if self.conn is None:
            # No request was written, so the upstream cannot have run the call.
            self._fail(calls.NotSent(), "the deadline passed while connecting")
        else:
            self._fail(calls.TimedOut(), "the deadline passed")

    def _fail(self, result: calls.AttemptResult, error: str) -> None:
        if self.ended:
            return
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        conn = self.conn
        load = None
        if conn is not None and conn.reader.head is not None:
            load = self._parse_load(conn.reader.head)
        if isinstance(result, calls.TimedOut) and self._stream is None:
            self.watched = True
            self._body.clear()
            self._client.watch(self)
        elif conn is not None:
            conn.close()
            self.conn = None
            if isinstance(result, calls.Broken):
                self._client.report_broken(self)
        if self._stream is not None:
            self._stream.fail(error)
        if isinstance(result, calls.Crossed):
            self._client.log_crossed_reply(self)
            load = None
        self._end(EndedExchange(result=result, load=load))

    def _end(self, ended: EndedExchange) -> None:
        self.ended = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._on_ended(ended)


class UpstreamClient:
    """Manages connections to upstreams and runs exchanges on them."""

    def __init__(
        self,
        *,
        dialect: upstream_dialect.UpstreamDialect | None = None,
        late_replies_watched: int = 64,
        late_reply_watch_s: float = _LATE_REPLY_WATCH_S,
        on_late: Callable[[replies.ExpectedReply], None] = lambda expected: (
            None
        ),
        on_lost: Callable[[replies.ExpectedReply], None] = lambda expected: (
            None
        ),
    ) -> None:
        """Creates the client.

        Args:
            dialect: header names and conventions of the upstreams; by default
                the product's.
            late_replies_watched: maximum number of timed-out exchanges whose
                late replies are awaited at the same time.
            late_reply_watch_s: seconds after the time-out within which a reply
                counts as late; after that it counts as lost.
            on_late: called for each late reply after it was logged, also if
                the log limit suppressed the line.
            on_lost: called for each lost reply in the same way.
        """
        self.dialect = dialect or upstream_dialect.TanagerspokeDialect()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._idle = idle_pool.IdlePool()
        self._exchange_ids = itertools.count(1)
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._reply_watch = replies.ReplyWatch(
            max_watched=late_replies_watched, watch_s=late_reply_watch_s
        )
        self._reply_timer: asyncio.TimerHandle | None = None
        self._watched: dict[int, Exchange] = {}
        self._late_log_limit = _reply_log_limit("late_reply")
        self._lost_log_limit = _reply_log_limit("lost_reply")
        self._crossed_log_limit = _reply_log_limit("crossed_reply")
        self._skipped_log_limit = _reply_log_limit("response_skipped")
        self._load_log_limit = log_limit.LogLimit(
            event="load_report_malformed",
            rate_per_s=_LOAD_REPORT_LOG_LINES_PER_S,
            burst=_LOAD_REPORT_LOG_BURST_LINES,
        )
        self._on_late = on_late
        self._on_lost = on_lost

    async def start(self) -> None:
        """Starts the periodic removal of expired idle connections."""
        self._loop = asyncio.get_running_loop()
        self._sweep_timer = self._loop.call_later(
            _IDLE_SWEEP_INTERVAL_S, self._sweep
        )

    async def close(self) -> None:
        """Closes all idle connections and those of watched exchanges."""
        for timer in (self._sweep_timer, self._reply_timer):
            if timer is not None:
                timer.cancel()
        self._idle.close()
        for exchange in self._watched.values():
            if exchange.conn is not None:
                exchange.conn.close()
        self._watched.clear()

    def send(
        self,
        *,
        upstream: upstreams.Upstream,
        request: upstream_dialect.UpstreamRequest,
        attempt: int,
        timeout_s: float,
        on_ended: Callable[[EndedExchange], None],
        on_started: Callable[[Response], None] | None = None,
        on_notice: Callable[[upstreams.Notice], None] = lambda notice: None,
    ) -> Exchange:
        """Starts an exchange that ends within `timeout_s` seconds.

        `on_ended` is never called before this returns. `on_started` is called
        with a streamed response as soon as its head has arrived and its body
        is known to exceed `max_buffered_bytes`. `on_notice` is called before
        them if the head of the response holds a notice of the upstream.
        """
        assert self._loop is not None
        exchange = Exchange(
            client=self,
            exchange_id=next(self._exchange_ids),
            upstream=upstream,
            request=request,
            attempt=attempt,
            deadline=self._loop.time() + timeout_s,
            on_ended=on_ended,
            on_started=on_started,
            on_notice=on_notice,
        )
        exchange.start(self._loop)
        return exchange

    def call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback for the next iteration of the event loop."""
        self._loop.call_soon(callback, *args)

    def now(self) -> float:
        """Returns the time of the event loop's clock in seconds."""
        return self._loop.time()

    def acquire_idle(
        self, upstream_id: str, request_id: str
    ) -> upstream_connection.UpstreamConnection | None:
        """Removes and returns an idle connection; see `IdlePool.acquire`."""
        return self._idle.acquire(
            upstream_id, request_id=request_id, now=self._loop.time()
        )

    async def connect(
        self, upstream: upstreams.Upstream
    ) -> upstream_connection.UpstreamConnection:
        """Opens a connection to the upstream."""
        loop = self._loop
        _, conn = await loop.create_connection(
            lambda: upstream_connection.UpstreamConnection(
                loop=loop, upstream_id=upstream.upstream_id
            ),
            upstream.address,
            upstream.port,
        )
        return conn

    def release(self, conn: upstream_connection.UpstreamConnection) -> None:
        """Returns a connection to the idle pool, or closes it."""
        self._idle.put(conn, self._loop.time())

    def watch(self, exchange: Exchange) -> None:
        """Watches a timed-out exchange for a late reply, within the limit."""
        self._watched[exchange.exchange_id] = exchange
        self._handle_reply(
            replies.ExchangeTimedOut(expected=_expected_reply(exchange))
        )

    def report_reply_arrived(self, exchange: Exchange) -> None:
        """Reports that the reply of a watched exchange is complete."""
        self._handle_reply(
            replies.ReplyArrived(exchange_id=exchange.exchange_id)
        )

    def report_watch_broken(self, exchange: Exchange) -> None:
        """Reports that the reply of a watched exchange cannot arrive."""
        self._handle_reply(
            replies.WatchedConnectionBroke(exchange_id=exchange.exchange_id)
        )

    def log_malformed_load(
        self, exchange: Exchange, exc: exceptions.ProtocolError
    ) -> None:
        """Logs that the load report in a response is malformed."""
        if self._load_log_limit.try_acquire(exchange.upstream.upstream_id):
            log.warning(
                "load_report_malformed",
                extra=_describe(_expected_reply(exchange))
                | {"error": str(exc)},
            )

    def report_broken(self, exchange: Exchange) -> None:
        """Reports that an exchange broke before its deadline."""
        self._handle_reply(
            replies.ConnectionBroke(expected=_expected_reply(exchange))
        )

    def log_crossed_reply(self, exchange: Exchange) -> None:
        """Logs a response that carries the id of another request."""
        if self._crossed_log_limit.try_acquire(exchange.request.client_account):
            log.warning(
                "crossed_reply", extra=_describe(_expected_reply(exchange))
            )

    def log_skipped_response(self, exchange: Exchange, *, status: int) -> None:
        """Logs a response to another request, before the expected one."""
        if self._skipped_log_limit.try_acquire(exchange.upstream.upstream_id):
            log.warning(
                "response_skipped",
                extra=_describe(_expected_reply(exchange)) | {"status": status},
            )

    def _handle_reply(self, event: replies.Event) -> None:
        now = self._loop.time()
        for action in self._reply_watch.handle(event=event, now=now):
            self._execute(action)
        if self._reply_timer is not None:
            self._reply_timer.cancel()
            self._reply_timer = None
        wakeup = self._reply_watch.next_wakeup
        if wakeup is not None:
            self._reply_timer = self._loop.call_at(
                wakeup, self._handle_reply, replies.Tick()
            )

    def _execute(self, action: replies.Action) -> None:
        match action:
            case replies.CloseConnection(exchange_id=exchange_id):
                exchange = self._watched.pop(exchange_id, None)
                if exchange is not None and exchange.conn is not None:
                    exchange.conn.close()
            case replies.ReportLate(expected=expected, lateness_s=lateness_s):
                if self._late_log_limit.try_acquire(expected.client_account):
                    log.warning(
                        "late_reply",
                        extra=_describe(expected)
                        | {"lateness_ms": round(lateness_s * 1000, 1)},
                    )
                self._on_late(expected)
            case replies.ReportLost(expected=expected, reason=reason):
                if self._lost_log_limit.try_acquire(expected.client_account):
                    log.warning(
                        "lost_reply",
                        extra=_describe(expected) | {"reason": reason.value},
                    )
                self._on_lost(expected)

    def _sweep(self) -> None:
        self._idle.sweep(self._loop.time())
        self._sweep_timer = self._loop.call_later(
            _IDLE_SWEEP_INTERVAL_S, self._sweep
        )


def _reply_log_limit(event: str) -> log_limit.LogLimit:
    return log_limit.LogLimit(
        event=event,
        rate_per_s=_REPLY_LOG_LINES_PER_S,
        burst=_REPLY_LOG_BURST_LINES,
    )


def _content_length(head) -> int | None:
    value = head.headers.get("Content-Length")
    return int(value) if value is not None and value.isdecimal() else None


def _expected_reply(exchange: Exchange) -> replies.ExpectedReply:
    return replies.ExpectedReply(
        exchange_id=exchange.exchange_id,
        request_id=exchange.request.request_id,
        client_account=exchange.request.client_account,
        service=exchange.upstream.service,
        upstream_id=exchange.upstream.upstream_id,
        deadline=exchange.deadline,
    )


def _describe(expected: replies.ExpectedReply) -> dict[str, str]:
    return {
        "request_id": expected.request_id,
        "client_account": expected.client_account,
        "service": expected.service,
        "upstream": expected.upstream_id,
    }
