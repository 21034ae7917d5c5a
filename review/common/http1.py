"""HTTP/1.1 messages on raw asyncio streams."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """Request or response.

    Attributes:
        start: request line or status line.
        headers: values by name in lower case.
        complete: whether the whole body was received.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def path(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]


def encode(
    start: str, headers: dict[str, str], body: bytes | None = None
) -> bytes:
    """Returns the bytes of a message; sets `Content-Length` for a body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns a head without its body, or None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start=start, headers=headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns a message with its body, or None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            length = int(head.headers.get("content-length", "0"))
            body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        return dataclasses.replace(head, body=exc.partial, complete=False)
    except ConnectionError:
        return dataclasses.replace(head, complete=False)
    return dataclasses.replace(head, body=body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return bytes(body)
