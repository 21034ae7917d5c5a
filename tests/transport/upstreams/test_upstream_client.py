"""Exchanges with upstreams that break the rules, over real sockets."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import logging
import re

import pytest

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.upstreams import upstream_client
from tanagerspoke.transport.upstreams import upstream_dialect
from tests import stack as stacks

Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]
]


def whole(request_id: str, body: bytes = b"hello", extra: str = "") -> bytes:
    """Returns a response with a length."""
    return (
        f"HTTP/1.1 200 OK\r\nTanagerspoke-Request-Id: {request_id}\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_id(reader: asyncio.StreamReader) -> str:
    """Reads a request's head and returns its id."""
    head = await reader.readuntil(b"\r\n\r\n")
    return re.search(rb"Request-Id: (\S+)", head)[1].decode()


class Harness:
    """A client, and an upstream that follows a script per connection."""

    def __init__(self) -> None:
        self.client = upstream_client.UpstreamClient(
            late_replies_watched=1, watch_late_s=0.3
        )
        self.connections = 0
        self.port = 0

    @contextlib.asynccontextmanager
    async def serving(self, script: Script) -> AsyncIterator[None]:
        """Serves while the context is open."""

        async def on_connection(reader, writer) -> None:
            self.connections += 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await script(reader, writer, self.connections)
            writer.close()

        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        await self.client.start()
        try:
            yield
        finally:
            await self.client.close()
            server.close()

    async def run(
        self,
        request_id: str = "r1",
        *,
        timeout_s: float = 20.0,
        method: str = "GET",
        cancel_after_s: float | None = None,
        on_started=None,
        **fields,
    ) -> upstream_client.Ended:
        """Runs one exchange; fails if it ends twice."""
        fut = asyncio.get_running_loop().create_future()
        exchange = self.client.send(
            upstream=upstreams.Upstream(
                upstream_id="u1",
                service="s",
                address="127.0.0.1",
                port=self.port,
                availability_zone="a",
            ),
            request=upstream_dialect.UpstreamRequest(
                request_id=request_id,
                client_account="oulu-shop",
                method=method,
                path="/x",
                headers=(),
                body=b"",
                service="s",
                **fields,
            ),
            attempt=1,
            timeout_s=timeout_s,
            on_ended=fut.set_result,
            on_started=on_started,
        )
        if cancel_after_s is not None:
            await asyncio.sleep(cancel_after_s)
            exchange.cancel()
            exchange.cancel()
        return await asyncio.wait_for(fut, stacks.WAIT_S)


async def echo(reader, writer, number) -> None:
    """Answers every request of a connection."""
    del number
    while True:
        writer.write(whole(await read_id(reader)))


def once(make: Callable[[str], bytes]) -> Script:
    """Answers one request with these bytes, then closes."""

    async def script(reader, writer, number) -> None:
        writer.write(make(await read_id(reader)))
        await writer.drain()

    return script


async def test_reuses_a_clean_connection() -> None:
    """Guards against a new connection (1 ms) for each call."""
    harness = Harness()
    async with harness.serving(echo):
        for number in range(5):
            ended = await harness.run(f"r{number}")
            assert ended.answer.body == b"hello"
    assert harness.connections == 1


@pytest.mark.parametrize(
    ("make", "result"),
    [
        (lambda i: b"", calls.Broken()),
        (lambda i: whole(i)[:-1], calls.Broken()),
        (lambda i: b"garbage\r\n\r\n", calls.Broken()),
        (lambda i: whole("other"), calls.Crossed()),
        (
            lambda i: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            calls.Crossed(),
        ),
        (
            lambda i: (
                whole(i)
                .replace(b"200 OK", b"503 Busy")
                .replace(b"\r\n", b"\r\nTanagerspoke-Outcome: not-run\r\n", 1)
            ),
            calls.Shed(),
        ),
        (
            lambda i: whole(i).replace(b"200 OK", b"503 Busy"),
            calls.Answered(status=503, failed=True),
        ),
    ],
)
async def test_results(make, result: calls.AttemptResult) -> None:
    """Guards against a partial or foreign answer that counts as one."""
    harness = Harness()
    async with harness.serving(once(make)):
        assert (await harness.run()).result == result


async def test_refused_connection_is_not_sent() -> None:
    """Guards against "outcome unknown" where nothing was written."""
    harness = Harness()
    await harness.client.start()
    harness.port = stacks.free_port()
    assert (await harness.run()).result == calls.NotSent()
    await harness.client.close()


async def test_close_after_request_is_not_not_sent() -> None:
    """Guards against "not run" on a reused connection that closed late."""

    async def script(reader, writer, number) -> None:
        writer.write(whole(await read_id(reader)))
        await read_id(reader)

    harness = Harness()
    async with harness.serving(script):
        assert (await harness.run("r1")).answer is not None
        assert (await harness.run("r2")).result == calls.Broken()


async def test_duplicate_reply_is_never_anothers_answer() -> None:
    """Guards against a second response that answers the next request."""

    async def script(reader, writer, number) -> None:
        while True:
            request_id = await read_id(reader)
            writer.write(whole(request_id, request_id.encode()) * 2)

    harness = Harness()
    async with harness.serving(script):
        for number in range(20):
            ended = await harness.run(f"r{number}")
            if ended.answer is not None:
                assert ended.answer.body == f"r{number}".encode()
            else:
                assert ended.result == calls.Crossed()


async def test_cancelled_connection_is_not_reused() -> None:
    """Guards against the loser of a hedge answering the next call."""

    async def script(reader, writer, number) -> None:
        request_id = await read_id(reader)
        if number == 1:
            await asyncio.sleep(0.2)
        writer.write(whole(request_id))
        await writer.drain()

    harness = Harness()
    async with harness.serving(script):
        ended = await harness.run("r1", cancel_after_s=0.05)
        assert ended.result == calls.Cancelled()
        assert (await harness.run("r2")).answer is not None
    assert harness.connections == 2


async def test_late_and_lost_replies(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against late replies that go unnoticed or to another call."""

    async def script(reader, writer, number) -> None:
        request_id = await read_id(reader)
        if number == 1:
            await asyncio.sleep(0.15)
        elif number == 2:
            await asyncio.sleep(5)
        writer.write(whole(request_id))
        await writer.drain()

    def events() -> list[tuple[str, str]]:
        return [
            (r.getMessage(), r.client_account)
            for r in caplog.records
            if r.getMessage() in ("late_reply", "lost_reply")
        ]

    async def logged(count: int) -> None:
        async def enough() -> bool:
            return len(events()) >= count

        await stacks.wait_until(enough, "the log line")

    harness = Harness()
    with caplog.at_level(logging.WARNING):
        async with harness.serving(script):
            ended = await harness.run("r1", timeout_s=0.05)
            assert ended.result == calls.TimedOut()
            await logged(1)
            ended = await harness.run("r2", timeout_s=0.05)
            assert ended.result == calls.TimedOut()
            await logged(2)
            assert (await harness.run("r3")).answer is not None
    assert events() == [
        ("late_reply", "oulu-shop"),
        ("lost_reply", "oulu-shop"),
    ]
    assert harness.connections == 3


async def test_long_answer_is_streamed_with_backpressure() -> None:
    """Guards against unbounded memory behind a slow caller."""
    size = 64 * 1024 * 1024
    written = 0

    async def script(reader, writer, number) -> None:
        nonlocal written
        request_id = await read_id(reader)
        writer.write(whole(request_id, b"").replace(b": 0", b": %d" % size))
        while written < size:
            writer.write(b"x" * 65536)
            written += 65536
            await writer.drain()

    harness = Harness()
    started: list[upstream_client.Answer] = []
    async with harness.serving(script):
        running = asyncio.ensure_future(
            harness.run(on_started=started.append, hold_bytes=1024)
        )

        async def has_started() -> bool:
            return bool(started)

        await stacks.wait_until(has_started, "the stream")
        stream = started[0].stream
        await asyncio.sleep(0.3)
        assert stream.buffered < 1_000_000
        assert not running.done()
        got = 0
        while data := await stream.read():
            got += len(data)
        assert got == size
        assert (await running).result == calls.Answered(status=200)


async def test_too_long_answer_of_a_write_is_broken() -> None:
    """Guards against a streamed answer that cannot be recorded."""
    harness = Harness()
    async with harness.serving(once(lambda i: whole(i, b"x" * 5000))):
        ended = await harness.run(hold_bytes=1024, may_stream=False)
    assert ended.result == calls.Broken()


async def test_malformed_load_report_is_told(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an upstream that silently counts as one without load."""
    answer = once(lambda sent: whole(sent, extra="Tanagerspoke-Load: many\r\n"))
    harness = Harness()
    async with harness.serving(answer):
        with caplog.at_level("WARNING"):
            ended = await harness.run("r1")
    assert isinstance(ended.result, calls.Answered)
    assert ended.load is None
    (record,) = [
        r for r in caplog.records if r.message == "load_report_malformed"
    ]
    assert (record.request_id, record.upstream) == ("r1", "u1")
    assert "many" in record.error
