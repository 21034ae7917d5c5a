"""Parses callers' request headers and selects the forwarded ones."""

from aiohttp import http as aiohttp_http

from tanagerspoke import exceptions
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers

_NOT_FORWARDED = headers.HOP_BY_HOP | frozenset(
    name.lower()
    for name in (
        *headers.RESERVED,
        headers.CLIENT_ACCOUNT,
        headers.REPEAT,
        headers.DEADLINE_MS,
        headers.DEPTH,
        "Host",
        "Expect",
        "Authorization",
    )
)


def check_header_size(
    message: aiohttp_http.RawRequestMessage, max_bytes: int
) -> int:
    """Checks the request line, and the size of all header names and values.

    Returns:
        The size of the request line and the headers, without separators.

    Raises:
        CallRefusedError: one of the two sizes exceeds `max_bytes`.
    """
    size_bytes = 0
    for name, value in message.raw_headers:
        size_bytes += len(name) + len(value)
    line_bytes = len(message.path) + len(message.method)
    if size_bytes > max_bytes or line_bytes > max_bytes:
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.HEADER_TOO_LARGE,
            message=f"the headers exceed {max_bytes} bytes",
        )
    return size_bytes + line_bytes


def bearer_token(message: aiohttp_http.RawRequestMessage) -> str | None:
    """Returns the bearer token, or None if there is none."""
    value = message.headers.get("Authorization")
    if value is None:
        return None
    scheme, _, token = value.partition(" ")
    return token if scheme.lower() == "bearer" else None


def deadline_s(message: aiohttp_http.RawRequestMessage) -> float | None:
    """Returns the seconds until the caller's deadline, or None if not set.

    Raises:
        CallRefusedError: the header is malformed.
    """
    value = message.headers.get(headers.DEADLINE_MS)
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


def depth(message: aiohttp_http.RawRequestMessage) -> int:
    """Returns the number of calls above this one in a chain of nested calls.

    Raises:
        CallRefusedError: the header is malformed or its value too large.
    """
    value = message.headers.get(headers.DEPTH)
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


def is_repeated_request(message: aiohttp_http.RawRequestMessage) -> bool:
    """Returns whether the caller says that it sent its key before."""
    return message.headers.get(headers.REPEAT, "").lower() == "yes"


def idempotency_key(message: aiohttp_http.RawRequestMessage) -> str | None:
    """Returns the idempotency key, or None if there is none.

    Raises:
        CallRefusedError: the header is malformed.
    """
    value = message.headers.get(headers.IDEMPOTENCY_KEY)
    if value is None:
        return None
    if not (
        1 <= len(value) <= headers.MAX_IDEMPOTENCY_KEY_CHARS
        and all("!" <= char <= "~" for char in value)
    ):
        raise exceptions.CallRefusedError(
            code=errors.ErrorCode.MALFORMED_KEY,
            message=f"header {headers.IDEMPOTENCY_KEY} must hold 1 to "
            f"{headers.MAX_IDEMPOTENCY_KEY_CHARS} visible ASCII characters",
        )
    return value


def forwarded_headers(
    message: aiohttp_http.RawRequestMessage,
) -> headers.Headers:
    """Returns the headers to forward to an upstream (RFC 9110, 7.6.1)."""
    return headers.end_to_end_headers(
        message.headers.items(), dropped=_NOT_FORWARDED
    )
