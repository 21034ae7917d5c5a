"""Clients of the edge."""

import asyncio

from review.common import http1


class Connection:
    """Connection of a client that sends one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str, port: int) -> "Connection":
        """Opens a connection; raises `OSError` if that takes a second."""
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                address, port, limit=2**20
            )
        return cls(reader, writer)

    def send(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str],
        body: bytes | None = None,
    ) -> None:
        """Sends a request."""
        self.writer.write(
            http1.encode(f"{method} {path} HTTP/1.1", headers, body)
        )

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str],
        body: bytes | None = None,
    ) -> http1.Message | None:
        """Sends a request and returns its response, or None without one."""
        headers = {"Host": "review.example"} | headers
        try:
            self.send(method, path, headers=headers, body=body)
            await self.writer.drain()
        except ConnectionError:
            return None
        return await http1.read_message(self.reader)

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
