"""HTTP server for callers."""

from collections.abc import Awaitable, Callable
import dataclasses
import logging
import uuid

from aiohttp import web
import msgspec
import multidict

from tanagerspoke import exceptions
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.settings import options
from tanagerspoke.transport import dispatcher
from tanagerspoke.transport import upstream_client

log = logging.getLogger(__name__)

_DROPPED = frozenset(
    name.lower()
    for name in (
        *headers.RESERVED,
        headers.CLIENT_ACCOUNT,
        "Host",
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
        "Authorization",
    )
)


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
    headers: multidict.CIMultiDict[str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerAnswer:
    """What goes back to the caller."""

    answer: upstream_client.Answer
    outcome: errors.Outcome


class CallerServer:
    """Reads requests, hands them to `serve` and writes the answers."""

    def __init__(
        self,
        *,
        cfg: options.Gateway,
        serve: Callable[[CallerRequest], Awaitable[CallerAnswer]],
    ) -> None:
        self._cfg = cfg
        self._serve = serve
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Opens the caller port, shared with the host's other gateways."""
        server = web.Server(
            self._handle,
            access_log=None,
            max_field_size=self._cfg.max_header_bytes,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(
            self._runner,
            self._cfg.callers.address,
            self._cfg.callers.port,
            reuse_port=True,
        ).start()

    async def close(self) -> None:
        """Closes the port and the callers' connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        request_id = uuid.uuid4().hex
        try:
            request = await self._read(req, request_id)
            answered = await self._serve(request)
        except exceptions.CallRefusedError as exc:
            return error_response(
                code=exc.code,
                message=str(exc),
                request_id=request_id,
                retry_after_s=exc.retry_after_s,
            )
        except dispatcher.CallFailedError as exc:
            return error_response(
                code=exc.code, message=str(exc), request_id=request_id
            )
        return _response(answered, request_id)

    async def _read(
        self, req: web.BaseRequest, request_id: str
    ) -> CallerRequest:
        client_account = req.headers.get(headers.CLIENT_ACCOUNT)
        if not client_account:
            raise exceptions.CallRefusedError(
                code=errors.ErrorCode.MISSING_CLIENT_ACCOUNT,
                message=f"header {headers.CLIENT_ACCOUNT} is missing",
            )
        service, _, rest = req.path_qs.lstrip("/").partition("/")
        return CallerRequest(
            request_id=request_id,
            client_account=client_account,
            token=_token(req),
            service=service,
            method=req.method,
            path="/" + rest,
            deadline_s=_deadline_s(req),
            depth=_depth(req),
            key=_key(req),
            headers=_forwarded(req),
            body=await self._read_body(req),
        )

    async def _read_body(self, req: web.BaseRequest) -> bytes:
        if not req.body_exists:
            return b""
        parts = []
        size = 0
        async for part in req.content.iter_any():
            size += len(part)
            if size > self._cfg.max_body_bytes:
                raise exceptions.CallRefusedError(
                    code=errors.ErrorCode.BODY_TOO_LARGE,
                    message=f"the body exceeds {self._cfg.max_body_bytes}"
                    " bytes",
                )
            parts.append(part)
        return b"".join(parts)


def error_response(
    *,
    code: errors.ErrorCode,
    message: str,
    request_id: str,
    retry_after_s: float | None = None,
) -> web.Response:
    """Returns a JSON error answer with its outcome."""
    outcome = errors.outcome_of(code)
    body = errors.ErrorBody(
        error=errors.ErrorDetail(
            code=code,
            message=message,
            outcome=outcome,
            request_id=request_id,
        )
    )
    resp = web.Response(
        status=errors.status_of(code),
        body=msgspec.json.encode(body),
        content_type="application/json",
    )
    resp.headers[headers.REQUEST_ID] = request_id
    resp.headers[headers.OUTCOME] = outcome
    if retry_after_s is not None:
        resp.headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return resp


def _response(answered: CallerAnswer, request_id: str) -> web.Response:
    answer = answered.answer
    resp = web.Response(status=answer.status, body=answer.body)
    for name, value in answer.headers:
        resp.headers[name] = value
    resp.headers[headers.REQUEST_ID] = request_id
    resp.headers[headers.OUTCOME] = answered.outcome
    return resp


def _token(req: web.BaseRequest) -> str | None:
    scheme, _, token = req.headers.get("Authorization", "").partition(" ")
    return token if scheme.lower() == "bearer" else None


def _deadline_s(req: web.BaseRequest) -> float | None:
    value = req.headers.get(headers.DEADLINE_MS)
    if value is None:
        return None
    if not value.isdecimal() or not (
        1 <= int(value) <= headers.MAX_DEADLINE_MS
    ):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.MALFORMED_DEADLINE,
            message=f"header {headers.DEADLINE_MS} must be a whole number "
            f"from 1 to {headers.MAX_DEADLINE_MS}",
        )
    return int(value) / 1000


def _depth(req: web.BaseRequest) -> int:
    value = req.headers.get(headers.DEPTH, "0")
    if not value.isdecimal():
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


def _forwarded(req: web.BaseRequest) -> multidict.CIMultiDict[str]:
    return multidict.CIMultiDict(
        (name, value)
        for name, value in req.headers.items()
        if name.lower() not in _DROPPED
    )
