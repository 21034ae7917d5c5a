"""Stand-in of a worker that sends some of its answers twice."""

import asyncio
import random

from review.common import http1
from review.common import worker


class GarblingWorker(worker.Worker):
    """A worker whose second answers come late, where the next one is expected.

    Attributes:
        copied_share: share of its answers that it sends again.
        copies: first lines of the copies, with the request that they met.
    """

    def __init__(self, *, seed: int, **options) -> None:
        super().__init__(**options)
        self.copied_share = 0.0
        self.copies: list[str] = []
        self._rng = random.Random(seed)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        copy = b""
        try:
            while (request := await http1.read_message(reader)) is not None:
                if copy:
                    writer.write(copy)
                    self._record_copy(copy, request)
                captured = _Captured(writer)
                await self.answer(request, captured)
                await writer.drain()
                copy = b""
                if self._rng.random() < self.copied_share:
                    copy = captured.answer
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _record_copy(self, copy: bytes, request: http1.Message) -> None:
        status = copy.partition(b"\r\n")[0].decode()
        met = request.headers.get("x-attempt-id", "a health probe")
        self.copies.append(f"{self.name}: copy of {status!r} meets {met}")


class _Captured:
    """Passes on what is written and keeps the last answer."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.answer = b""

    def write(self, data: bytes) -> None:
        self.answer = data
        self._writer.write(data)
