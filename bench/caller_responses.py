"""Parses what callers receive, for `bench.caller_bytes`."""

import dataclasses

# Header of the responses of the fuzz target's upstream, with their number.
SERVED = "x-served"


class CheckFailedError(Exception):
    """A case violates one of the checks."""


def require(condition: object, message: str) -> None:
    """Raises `CheckFailedError` unless the condition is true."""
    if not condition:
        raise CheckFailedError(message)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """A response that a caller received.

    Attributes:
        served: number of the run that it belongs to, None for an error.
        closes: whether the connection ends after it.
    """

    status: int
    served: int | None
    closes: bool
    body: bytes


def parse_responses(
    data: bytes, methods: list[str], *, may_be_cut: bool
) -> list[Response]:
    """Returns the final responses to requests with these methods.

    Raises:
        CheckFailedError: the bytes are no whole responses.
    """
    responses: list[Response] = []
    while data:
        method = "POST"
        if len(responses) < len(methods):
            method = methods[len(responses)]
        try:
            resp, data = _parse_response(data, method)
        except (ValueError, IndexError) as exc:
            if may_be_cut:
                return responses
            raise CheckFailedError(
                f"malformed response {data[:300]!r}"
            ) from exc
        if resp.status != 100:
            responses.append(resp)
            require(
                not (resp.closes and data),
                f"bytes after the end: {data[:99]!r}",
            )
    return responses


def _parse_response(data: bytes, method: str) -> tuple[Response, bytes]:
    head, rest = data.split(b"\r\n\r\n", 1)
    status_line, *lines = head.decode("latin-1").split("\r\n")
    version, status = status_line.split(" ")[:2]
    if version != "HTTP/1.1":
        raise ValueError(version)
    fields = dict(line.lower().split(": ", 1) for line in lines)
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while True:
            line, rest = rest.split(b"\r\n", 1)
            size = int(line, 16)
            if rest[size : size + 2] != b"\r\n":
                raise ValueError(line)
            body += rest[:size]
            rest = rest[size + 2 :]
            if not size:
                break
    elif method != "HEAD" and "content-length" in fields:
        size = int(fields["content-length"])
        if len(rest) < size:
            raise ValueError("short body")
        body, rest = rest[:size], rest[size:]
    elif method != "HEAD" and status != "100":
        # The end of the connection ends the body.
        body, rest = rest, b""
    resp = Response(
        status=int(status),
        served=int(fields[SERVED]) if SERVED in fields else None,
        closes=fields.get("connection") == "close",
        body=body,
    )
    return resp, rest
