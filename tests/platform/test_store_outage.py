"""Calls of the store's client while the store resets connections."""

import asyncio
import socket
import struct

import pytest

from tanagerspoke import exceptions
from tanagerspoke.platform import store
from tanagerspoke.settings import options
from tests import tcp_server


async def test_calls_are_not_repeated_while_the_store_is_unreachable() -> None:
    """Guards against an outage that doubles the calls of all nodes.

    Only the first failure is repeated: a kept connection may be stale.
    """
    connections = 0

    async def reset(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        await reader.readuntil(b"\r\n\r\n")
        sock = writer.get_extra_info("socket")
        # Closing then sends a reset.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.close()

    async with tcp_server.TcpServer(handler=reset) as server:
        client = store.PlatformStore(
            endpoint=options.Endpoint(address="127.0.0.1", port=server.port)
        )
        await client.start()
        try:
            for _ in range(5):
                with pytest.raises(exceptions.PlatformUnavailableError):
                    await client.read_routing()
        finally:
            await client.close()
    assert connections == 6
