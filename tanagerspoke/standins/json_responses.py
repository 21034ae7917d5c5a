"""Decodes requests and encodes responses of the stand-ins."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import web
import msgspec

T = TypeVar("T")


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of a response with an error status."""

    error: str


def encode(message: Any, *, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(message),
        content_type="application/json",
    )


def error_response(
    status: int, message: str, headers: dict[str, str] | None = None
) -> web.Response:
    """Returns a JSON response with an error message."""
    resp = encode(ErrorBody(error=message), status=status)
    resp.headers.update(headers or {})
    return resp


async def decode(req: web.Request, message_type: type[T]) -> T:
    """Returns the decoded JSON body of a request.

    Raises:
        web.HTTPBadRequest: the body is malformed; the text locates the error.
        web.HTTPRequestEntityTooLarge: the body exceeds the server's limit.
    """
    body = await req.read()
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.DecodeError as exc:
        raise web.HTTPBadRequest(text=f"body: {exc}") from exc


@web.middleware
async def errors_as_json(
    req: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Converts HTTP errors of the handlers to JSON responses."""
    try:
        return await handler(req)
    except web.HTTPError as exc:
        return error_response(exc.status, exc.text or exc.reason)
