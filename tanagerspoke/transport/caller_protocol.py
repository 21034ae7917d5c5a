"""aiohttp's low-level server with the gateway's JSON errors."""

import asyncio
from collections.abc import Awaitable, Callable
import email.utils
import http
import logging
import secrets

from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol
import msgspec

from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers

log = logging.getLogger(__name__)

# Longest read of a refused request's body before the connection closes, so
# that the caller can read the refusal.
_LINGER_S = 2.0


class CallerProtocol(web_protocol.RequestHandler):
    """Answers requests that the parser rejects with JSON errors."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Called by aiohttp for malformed requests and failed handlers."""
        if not isinstance(exc, http_exceptions.HttpProcessingError):
            log.error("handler_failed", exc_info=exc)
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionError("the answer may have been started")
        code = errors.ErrorCode.MALFORMED_REQUEST
        if isinstance(exc, http_exceptions.LineTooLong):
            code = errors.ErrorCode.HEADER_TOO_LARGE
        return error_response(
            code=code,
            message=f"the request is not valid HTTP: {type(exc).__name__}",
            request_id=secrets.token_hex(12),
        )


class CallerHttpServer(web.Server):
    """Makes a `CallerProtocol` for each connection."""

    def __init__(
        self,
        *,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        max_header_bytes: int,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._max_header_bytes = max_header_bytes

    def __call__(self) -> CallerProtocol:
        """Returns the protocol of a new connection."""
        return CallerProtocol(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=self._max_header_bytes,
            max_field_size=self._max_header_bytes,
            lingering_time=_LINGER_S,
        )


def error_body(
    *,
    code: errors.ErrorCode,
    outcome: errors.Outcome,
    message: str,
    request_id: str,
) -> bytes:
    """Returns the JSON body of an error."""
    return msgspec.json.encode(
        errors.ErrorBody(
            error=errors.ErrorDetail(
                code=code,
                message=message,
                outcome=outcome,
                request_id=request_id,
            )
        )
    )


def error_headers(
    *,
    code: errors.ErrorCode,
    outcome: errors.Outcome,
    request_id: str,
    retry_after_s: float | None,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an error."""
    found = [
        ("Content-Type", "application/json"),
        ("Date", email.utils.formatdate(usegmt=True)),
        (headers.REQUEST_ID, request_id),
        (headers.OUTCOME, outcome.value),
    ]
    if code is errors.ErrorCode.OUTCOME_UNKNOWN:
        found.append((headers.RETRY, "no"))
    if retry_after_s is None and (
        errors.status_of(code) == http.HTTPStatus.SERVICE_UNAVAILABLE
    ):
        retry_after_s = 1.0
    if retry_after_s is not None:
        found.append(("Retry-After", str(max(1, round(retry_after_s)))))
    return tuple(found)


def error_response(
    *, code: errors.ErrorCode, message: str, request_id: str
) -> web.Response:
    """Returns a JSON error that closes the connection."""
    outcome = errors.outcome_of(code)
    resp = web.Response(
        status=errors.status_of(code),
        body=error_body(
            code=code, outcome=outcome, message=message, request_id=request_id
        ),
        headers=dict(
            error_headers(
                code=code,
                outcome=outcome,
                request_id=request_id,
                retry_after_s=None,
            )
        ),
    )
    resp.force_close()
    return resp
