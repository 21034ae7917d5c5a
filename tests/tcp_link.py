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
        delay_s: how long each piece is held back in each direction.
    """

    def __init__(
        self, *, target_port: int, target_address: str = "127.0.0.1"
    ) -> None:
        self.forwarded_bytes = 0
        self.delay_s = 0.0
        self._target = (target_address, target_port)
        self._state = State.OPEN
        # Towards the target, and back from it.
        self._flowing = (asyncio.Event(), asyncio.Event())
        for flowing in self._flowing:
            flowing.set()
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
        for flowing in self._flowing:
            flowing.set()
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
        for flowing in self._flowing:
            flowing.clear()

    def stall_answers(self) -> None:
        """Stops forwarding what comes back from the target."""
        self._state = State.STALLED
        self._flowing[1].clear()

    def restore(self) -> None:
        """Opens the link again."""
        self._state = State.OPEN
        self.delay_s = 0.0
        for flowing in self._flowing:
            flowing.set()

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
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, self._flowing[0]),
                self._forward(far_reader, writer, self._flowing[1]),
            )
        finally:
            self._writers -= ends
            for end in ends:
                end.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flowing: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await flowing.wait()
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()
