"""HTTP server for callers."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import http
import itertools
import logging
import secrets
import socket
import struct
import time

from aiohttp import http as aiohttp_http
from aiohttp import web

from tanagerspoke import exceptions
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.settings import options
from tanagerspoke.state import config
from tanagerspoke.transport import caller_protocol
from tanagerspoke.transport import dispatcher
from tanagerspoke.transport import upstream_client

log = logging.getLogger(__name__)

_DROPPED = frozenset(
    name.lower()
    for name in (
        *headers.RESERVED,
        headers.CLIENT_ACCOUNT,
        headers.REPEAT,
        headers.DEADLINE_MS,
        headers.DEPTH,
        "Host",
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
        "Authorization",
    )
)
# Answers that a caller has not read above which the next one waits.
_UNREAD_BYTES = 65_536
# Time for a caller to read the end of its answer beyond the call's deadline.
_READ_GRACE_S = 5.0
_RESET = struct.pack("ii", 1, 0)
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(kw_only=True, slots=True)
class CallRecord:
    """What is known of a call; filled in while it runs.

    Attributes:
        is_limited: whether the client account's limits count the call.
        earlier_may_have_run: whether the caller sent the key before and the
            claim has not yet shown that no earlier request ran.
        dispatched: whether an upstream may have received the call.
        route: None where the request was refused before it was routed.
        deadline: monotonic seconds, None before the call was routed.
        code: `ok` or an error code, None while the call runs.
    """

    call_id: int
    request_id: str
    client_account: str
    service: str
    started_at: float
    is_limited: bool = False
    earlier_may_have_run: bool = False
    dispatched: bool = False
    route: config.Route | None = None
    deadline: float | None = None
    code: str | None = None
    status: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A caller's request, checked and read whole."""

    request_id: str
    client_account: str
    token: str | None
    service: str
    method: str
    path: str
    deadline_s: float | None
    depth: int
    key: str | None
    headers: upstream_client.Headers
    body: bytes
    record: CallRecord | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerAnswer:
    """What goes back to the caller."""

    answer: upstream_client.Answer
    outcome: errors.Outcome


class _Written:
    """What aiohttp's server needs of an answer that is already written."""

    __slots__ = ("keep_alive",)

    def __init__(self, *, keep_alive: bool) -> None:
        self.keep_alive = keep_alive

    async def prepare(self, req: web.BaseRequest) -> None:
        """Does nothing: the answer is written."""

    async def write_eof(self) -> None:
        """Does nothing: the answer is written."""


class CallerServer:
    """Reads requests, hands them to `serve` and writes the answers.

    `on_started` and `on_ended` are called around each call, from its headers
    to the last byte of its answer. While `is_stopping`, each answer closes
    its connection.
    """

    def __init__(
        self,
        *,
        cfg: options.Gateway,
        serve: Callable[[CallerRequest], Awaitable[CallerAnswer]],
        on_started: Callable[[CallRecord], None] = lambda record: None,
        on_ended: Callable[[CallRecord], None] = lambda record: None,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self._cfg = cfg
        self._serve = serve
        self._on_started = on_started
        self._on_ended = on_ended
        self._is_stopping = is_stopping
        self._call_ids = itertools.count(1)
        self._id_prefix = secrets.token_hex(8)
        self._http: caller_protocol.CallerHttpServer | None = None
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Opens the caller port, shared with the host's other gateways."""
        self._http = caller_protocol.CallerHttpServer(
            handler=self._handle,
            max_header_bytes=self._cfg.max_header_bytes,
        )
        self._runner = web.ServerRunner(self._http, shutdown_timeout=0.1)
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._cfg.callers.address,
            self._cfg.callers.port,
            reuse_port=True,
        )
        await self._site.start()

    async def close_listeners(self) -> None:
        """Accepts no new connections; open ones are served on."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def flush(self, *, timeout_s: float) -> None:
        """Waits until the callers took what was written to them."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if not any(
                conn.transport is not None
                and conn.transport.get_write_buffer_size()
                for conn in self._http.connections
            ):
                return
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Closes the port and the callers' connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, req: web.BaseRequest) -> _Written:
        call_id = next(self._call_ids)
        record = CallRecord(
            call_id=call_id,
            request_id=f"{self._id_prefix}{call_id:x}",
            client_account=req.headers.get(headers.CLIENT_ACCOUNT, ""),
            service="",
            started_at=time.monotonic(),
        )
        self._on_started(record)
        try:
            return await self._answer(req, record)
        finally:
            if record.code is None:
                record.code = "caller_left"
            self._on_ended(record)

    async def _answer(
        self, req: web.BaseRequest, record: CallRecord
    ) -> _Written:
        try:
            request = await self._read(req, record)
            answered = await self._serve(request)
            if answered.answer.stream is not None:
                return await self._stream(req, record, answered)
            return await self._write_answer(req, record, answered)
        except exceptions.CallRefusedError as exc:
            return await self._write_error(
                req, record, exc.code, str(exc), exc.retry_after_s
            )
        except dispatcher.CallFailedError as exc:
            return await self._write_error(req, record, exc.code, str(exc))
        except ConnectionError:
            raise
        except Exception:
            log.exception("call_failed", extra=_describe(record))
            code = errors.ErrorCode.INTERNAL_ERROR
            if record.dispatched:
                code = errors.ErrorCode.OUTCOME_UNKNOWN
            return await self._write_error(
                req, record, code, "an unexpected error; see the log"
            )

    async def _read(
        self, req: web.BaseRequest, record: CallRecord
    ) -> CallerRequest:
        message = req._message  # raw_path quotes again, which costs time
        path = message.path
        _check_size(message.raw_headers, self._cfg.max_header_bytes)
        if not record.client_account:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.MISSING_CLIENT_ACCOUNT,
                message=f"header {headers.CLIENT_ACCOUNT} is missing",
            )
        if not path.startswith("/"):
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.MALFORMED_REQUEST,
                message="the request target must be a path",
            )
        record.service, _, rest = path[1:].partition("/")
        record.earlier_may_have_run = _is_repeat(req)
        return CallerRequest(
            request_id=record.request_id,
            client_account=record.client_account,
            token=_token(req),
            service=record.service,
            method=req.method,
            path="/" + rest,
            deadline_s=_deadline_s(req),
            depth=_depth(req),
            key=_key(req),
            headers=_forwarded(req),
            body=await self._read_body(req),
            record=record,
        )

    async def _read_body(self, req: web.BaseRequest) -> bytes:
        if not req.body_exists:
            return b""
        limit = self._cfg.max_body_bytes
        if (req.content_length or 0) > limit:
            raise _body_too_large(limit)
        if "Expect" in req.headers and req.transport is not None:
            req.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        parts = []
        size = 0
        async for part in req.content.iter_any():
            size += len(part)
            if size > limit:
                raise _body_too_large(limit)
            parts.append(part)
        return b"".join(parts)

    def _keeps_alive(self, req: web.BaseRequest) -> bool:
        return (
            req.keep_alive
            and req.version >= aiohttp_http.HttpVersion11
            and not self._is_stopping()
        )

    async def _write_answer(
        self, req: web.BaseRequest, record: CallRecord, answered: CallerAnswer
    ) -> _Written:
        answer = answered.answer
        record.code = "ok"
        record.status = answer.status
        found = (
            *answer.headers,
            (headers.REQUEST_ID, record.request_id),
            (headers.OUTCOME, answered.outcome.value),
        )
        length: int | None = len(answer.body)
        if req.method == "HEAD" or answer.status == 304:
            length = answer.content_length
        elif answer.status == 204:
            length = None
        return await self._write(req, answer.status, found, length, answer.body)

    async def _write_error(
        self,
        req: web.BaseRequest,
        record: CallRecord,
        code: errors.ErrorCode,
        message: str,
        retry_after_s: float | None = None,
    ) -> _Written:
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
        found = caller_protocol.error_headers(
            code=code,
            outcome=outcome,
            request_id=record.request_id,
            retry_after_s=retry_after_s,
        )
        length = len(body)
        if req.method == "HEAD":
            body = b""
        return await self._write(req, record.status, found, length, body)

    async def _write(
        self,
        req: web.BaseRequest,
        status: int,
        found: upstream_client.Headers,
        length: int | None,
        body: bytes,
    ) -> _Written:
        keep_alive = self._keeps_alive(req)
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, '')}"]
        lines += [f"{name}: {value}" for name, value in found]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        if not keep_alive:
            lines.append("Connection: close")
        data = upstream_client.encode_head(lines) + body
        transport = req.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the caller left")
        transport.write(data)
        if transport.get_write_buffer_size() > _UNREAD_BYTES:
            await self._drain(req)
        return _Written(keep_alive=keep_alive)

    async def _drain(self, req: web.BaseRequest) -> None:
        try:
            async with asyncio.timeout(headers.MAX_DEADLINE_MS / 1000):
                await req.writer.drain()
        except TimeoutError as exc:
            _reset(req)
            raise ConnectionResetError("the caller reads nothing") from exc

    async def _stream(
        self, req: web.BaseRequest, record: CallRecord, answered: CallerAnswer
    ) -> web.StreamResponse:
        answer = answered.answer
        record.status = answer.status
        whole = False
        try:
            resp = self._stream_response(req, record, answered)
            deadline = record.deadline or time.monotonic()
            left_s = deadline - time.monotonic() + _READ_GRACE_S
            async with asyncio.timeout(left_s):
                await resp.prepare(req)
                while data := await answer.stream.read():
                    await resp.write(data)
                await resp.write_eof()
            whole = True
            record.code = "ok"
        except (exceptions.UpstreamError, TimeoutError) as exc:
            record.code = errors.ErrorCode.UPSTREAM_BROKEN.value
            log.warning(
                "answer_broke_off",
                extra=_describe(record) | {"error": str(exc)},
            )
            raise ConnectionResetError("the answer broke off") from exc
        finally:
            answer.stream.abandon()
            if not whole:
                _reset(req)
        return resp

    def _stream_response(
        self, req: web.BaseRequest, record: CallRecord, answered: CallerAnswer
    ) -> web.StreamResponse:
        answer = answered.answer
        resp = web.StreamResponse(status=answer.status)
        for name, value in answer.headers:
            resp.headers.add(name, value)
        resp.headers[headers.REQUEST_ID] = record.request_id
        resp.headers[headers.OUTCOME] = answered.outcome.value
        if answer.content_length is not None:
            resp.content_length = answer.content_length
        elif req.version >= aiohttp_http.HttpVersion11:
            resp.enable_chunked_encoding()
        if not self._keeps_alive(req):
            resp.force_close()
        return resp


def _reset(req: web.BaseRequest) -> None:
    """Resets the connection, so that a broken answer never looks whole.

    Without the reset, an answer whose end is the end of the connection
    (HTTP/1.0) could not be told from a whole one.
    """
    transport = req.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    transport.abort()


def _describe(record: CallRecord) -> dict[str, str]:
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


def _check_size(
    raw_headers: tuple[tuple[bytes, bytes], ...], limit: int
) -> None:
    size = 0
    for name, value in raw_headers:
        size += len(name) + len(value)
    if size > limit:
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.HEADER_TOO_LARGE,
            message=f"the headers exceed {limit} bytes",
        )


def _token(req: web.BaseRequest) -> str | None:
    value = req.headers.get("Authorization")
    if value is None:
        return None
    scheme, _, token = value.partition(" ")
    return token if scheme.lower() == "bearer" else None


def _deadline_s(req: web.BaseRequest) -> float | None:
    value = req.headers.get(headers.DEADLINE_MS)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) <= 9) or not (
        1 <= int(value) <= headers.MAX_DEADLINE_MS
    ):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.MALFORMED_DEADLINE,
            message=f"header {headers.DEADLINE_MS} must be a whole number "
            f"from 1 to {headers.MAX_DEADLINE_MS}",
        )
    return int(value) / 1000


def _depth(req: web.BaseRequest) -> int:
    value = req.headers.get(headers.DEPTH)
    if value is None:
        return 0
    if not (value.isascii() and value.isdecimal() and len(value) <= 9):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.MALFORMED_DEPTH,
            message=f"header {headers.DEPTH} must be a whole number",
        )
    if int(value) > headers.MAX_DEPTH:
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.DEPTH_EXCEEDED,
            message=f"calls run at most {headers.MAX_DEPTH} deep",
        )
    return int(value)


def _is_repeat(req: web.BaseRequest) -> bool:
    return req.headers.get(headers.REPEAT, "").lower() == "yes"


def _key(req: web.BaseRequest) -> str | None:
    value = req.headers.get(headers.IDEMPOTENCY_KEY)
    if value is None:
        return None
    if not (
        1 <= len(value) <= headers.MAX_KEY_CHARS
        and all("!" <= char <= "~" for char in value)
    ):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.MALFORMED_KEY,
            message=f"header {headers.IDEMPOTENCY_KEY} must hold 1 to "
            f"{headers.MAX_KEY_CHARS} visible ASCII characters",
        )
    return value


def _forwarded(req: web.BaseRequest) -> upstream_client.Headers:
    kept = tuple(
        (name, value)
        for name, value in req.headers.items()
        if name.lower() not in _DROPPED
    )
    connection = req.headers.get("Connection")
    if connection is None or connection.lower() in ("close", "keep-alive"):
        return kept
    named = {part.strip().lower() for part in connection.split(",")}
    return tuple(pair for pair in kept if pair[0].lower() not in named)
