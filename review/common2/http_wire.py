"""Minimal HTTP/1.1 for stand-ins: reads and writes whole messages."""

import asyncio
import dataclasses

_MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request or response.

    Attributes:
        start: the three parts of the start line.
        headers: values by name in lower case.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body, if any, has a length.

    Raises:
        EOFError: the connection ended before the message was complete.
        ConnectionError: the connection was reset.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    parts = (lines[0].split(" ", 2) + ["", ""])[:3]
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(
        start=(parts[0], parts[1], parts[2]), headers=headers, body=body
    )


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a `Content-Length`."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns the bytes of a response."""
    return encode(f"HTTP/1.1 {status} -", headers or {}, body)
