"""A TCP link in front of a port, which tests cut and restore."""

import asyncio
import enum
from typing import Self


class State(enum.Enum):
    """What a link does with its connections."""

    OPEN = "open"
    STALLED = "stalled"
    CUT = "cut"


class TcpLink:
    """Forwards connections to a loopback port while the link is open.

    A stalled link accepts connections and forwards nothing, as when packets
    are lost; what was sent meanwhile arrives after `restore`. A cut link
    resets its connections and every new one.

    Attributes:
        forwarded_bytes: payload bytes, both directions together.
    """

    def __init__(self, *, target_port: int) -> None:
        self.forwarded_bytes = 0
        self._target_port = target_port
        self._state = State.OPEN
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()
        self.cut()
        self._flowing.set()
        # Cancelled connection tasks would be logged by asyncio's streams.
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def port(self) -> int:
        """Port of the near end."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Resets all connections; new ones are reset as well."""
        self._state = State.CUT
        for writer in self._writers:
            writer.transport.abort()

    def stall(self) -> None:
        """Stops forwarding; connections stay open."""
        self._state = State.STALLED
        self._flowing.clear()

    def restore(self) -> None:
        """Opens the link again."""
        self._state = State.OPEN
        self._flowing.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._state is State.CUT:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._forward(reader, far_writer),
                self._forward(far_reader, writer),
            )
        finally:
            self._writers -= ends
            for end in ends:
                end.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                await self._flowing.wait()
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()
