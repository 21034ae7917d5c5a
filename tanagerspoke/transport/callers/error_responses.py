"""Encodes JSON error responses for callers."""

import email.utils
import http

import msgspec

from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers


def error_body(
    *,
    code: errors.ErrorCode,
    outcome: errors.Outcome,
    message: str,
    request_id: str,
) -> bytes:
    """Returns the JSON body of an error response.

    Bytes of the message and the request id that are not valid UTF-8, which
    aiohttp decodes to surrogates, appear as `?`.
    """
    return msgspec.json.encode(
        errors.ErrorBody(
            error=errors.ErrorDetail(
                code=code,
                message=_encodable(message),
                outcome=outcome,
                request_id=_encodable(request_id),
            )
        )
    )


def _encodable(text: str) -> str:
    return text if text.isascii() else text.encode(errors="replace").decode()


def error_headers(
    *,
    code: errors.ErrorCode,
    outcome: errors.Outcome,
    request_id: str,
    retry_after_s: float | None,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an error response.

    Errors with status 503 always have a `Retry-After` header, 1 s by default.
    """
    header_fields = [
        ("Content-Type", "application/json"),
        ("Date", email.utils.formatdate(usegmt=True)),
        (headers.REQUEST_ID, request_id),
        (headers.OUTCOME, outcome.value),
    ]
    if code is errors.ErrorCode.OUTCOME_UNKNOWN:
        header_fields.append((headers.RETRY, "no"))
    if retry_after_s is None and (
        errors.status_of(code) == http.HTTPStatus.SERVICE_UNAVAILABLE
    ):
        retry_after_s = 1.0
    if retry_after_s is not None:
        header_fields.append(("Retry-After", str(max(1, round(retry_after_s)))))
    return tuple(header_fields)


def encode_error_response(
    *, code: errors.ErrorCode, message: str, request_id: str
) -> bytes:
    """Returns a complete JSON error response with `Connection: close`."""
    outcome = errors.outcome_of(code)
    body = error_body(
        code=code, outcome=outcome, message=message, request_id=request_id
    )
    header_fields = error_headers(
        code=code, outcome=outcome, request_id=request_id, retry_after_s=None
    )
    status = http.HTTPStatus(errors.status_of(code))
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    lines += [f"{name}: {value}" for name, value in header_fields]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body
