"""Sends the responses of an upstream's stand-in, with simulated faults."""

from collections.abc import AsyncIterator
import http

from aiohttp import web
import multidict

from tanagerspoke.standins import faults as standin_faults


async def send(
    req: web.Request,
    *,
    status: int,
    headers: dict[str, str],
    chunks: AsyncIterator[bytes],
    length: int,
    faults: standin_faults.UpstreamFaults,
) -> web.StreamResponse:
    """Sends a response whose chunks have `length` bytes in total."""
    resp = web.StreamResponse(status=status, headers=headers)
    if not faults.chunked:
        resp.content_length = length
    await resp.prepare(req)
    sent = bytearray()
    async for chunk in chunks:
        if faults.break_after_bytes is not None:
            chunk = chunk[: faults.break_after_bytes - len(sent)]
        if chunk and req.method != "HEAD":
            await resp.write(chunk)
        sent += chunk
        if _should_close(faults, sent_bytes=len(sent), length=length):
            _close_connection(req)
            return resp
    await resp.write_eof()
    if faults.duplicate_replies and req.transport is not None:
        req.transport.write(
            encode_response(
                status=status, headers=resp.headers, body=bytes(sent)
            )
        )
    return resp


def _should_close(
    faults: standin_faults.UpstreamFaults, *, sent_bytes: int, length: int
) -> bool:
    limit_bytes = faults.break_after_bytes
    return (
        limit_bytes is not None
        and sent_bytes >= limit_bytes
        and sent_bytes < length
    )


def _close_connection(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.close()


def encode_response(
    *, status: int, headers: multidict.CIMultiDict[str], body: bytes
) -> bytes:
    """Returns an encoded response with a `Content-Length` header."""
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines += [
        f"{name}: {value}"
        for name, value in headers.items()
        if name.lower() not in ("content-length", "transfer-encoding")
    ]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
