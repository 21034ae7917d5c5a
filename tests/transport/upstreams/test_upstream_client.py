"""Exchanges with misbehaving upstreams over real sockets."""

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
from tests import tcp_server

Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]
]


def make_response(
    request_id: str, body: bytes = b"hello", extra: str = ""
) -> bytes:
    """Returns a complete response with a `Content-Length` header."""
    return (
        f"HTTP/1.1 200 OK\r\nTanagerspoke-Request-Id: {request_id}\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_id(reader: asyncio.StreamReader) -> str:
    """Reads the head of a request and returns the request id."""
    head = await reader.readuntil(b"\r\n\r\n")
    return re.search(rb"Request-Id: (\S+)", head)[1].decode()


class Harness:
    """A client and an upstream that runs a script on each connection."""

    def __init__(self) -> None:
        self.client = upstream_client.UpstreamClient(
            late_replies_watched=1, late_reply_watch_s=0.3
        )
        self.connections = 0
        self.port = 0

    @contextlib.asynccontextmanager
    async def serving(self, script: Script) -> AsyncIterator[None]:
        """Runs the client and the upstream while the context is open."""

        async def on_connection(reader, writer) -> None:
            self.connections += 1
            await script(reader, writer, self.connections)

        async with tcp_server.TcpServer(handler=on_connection) as server:
            self.port = server.port
            await self.client.start()
            try:
                yield
            finally:
                await self.client.close()

    async def run(
        self,
        request_id: str = "r1",
        *,
        timeout_s: float = 20.0,
        method: str = "GET",
        cancel_after_s: float | None = None,
        on_started=None,
        **fields,
    ) -> upstream_client.EndedExchange:
        """Runs one exchange; `on_ended` raises if it is called twice."""
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


async def respond_to_all(reader, writer, number) -> None:
    """Responds to every request on a connection."""
    del number
    while True:
        writer.write(make_response(await read_id(reader)))


def respond_once(response_for: Callable[[str], bytes]) -> Script:
    """Returns a script that responds to one request, then closes."""

    async def script(reader, writer, number) -> None:
        writer.write(response_for(await read_id(reader)))
        await writer.drain()

    return script


async def test_reuses_a_clean_connection() -> None:
    """Guards against the cost of a new connection (1 ms) for each call."""
    harness = Harness()
    async with harness.serving(respond_to_all):
        for number in range(5):
            ended = await harness.run(f"r{number}")
            assert ended.response.body == b"hello"
    assert harness.connections == 1


@pytest.mark.parametrize(
    ("response_for", "result"),
    [
        (lambda request_id: b"", calls.Broken(dropped=True)),
        (lambda request_id: make_response(request_id)[:-1], calls.Broken()),
        (lambda request_id: b"garbage\r\n\r\n", calls.Broken()),
        (lambda request_id: make_response("other"), calls.Crossed()),
        (
            lambda request_id: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            calls.Crossed(),
        ),
        (
            lambda request_id: (
                make_response(request_id)
                .replace(b"200 OK", b"503 Busy")
                .replace(b"\r\n", b"\r\nTanagerspoke-Outcome: not-run\r\n", 1)
            ),
            calls.Shed(),
        ),
        (
            lambda request_id: make_response(request_id).replace(
                b"200 OK", b"503 Busy"
            ),
            calls.Answered(status=503, failed=True),
        ),
    ],
)
async def test_attempt_results(
    response_for, result: calls.AttemptResult
) -> None:
    """Guards against partial or crossed responses that count as valid."""
    harness = Harness()
    async with harness.serving(respond_once(response_for)):
        assert (await harness.run()).result == result


async def test_refused_connection_counts_as_not_sent() -> None:
    """Guards against "outcome unknown" although no request was written."""
    harness = Harness()
    await harness.client.start()
    harness.port = stacks.free_port()
    assert (await harness.run()).result == calls.NotSent()
    await harness.client.close()


async def test_close_after_request_counts_as_broken() -> None:
    """Guards against "not run" although the request was written.

    The upstream closes a reused connection after it has read the request.
    """

    async def script(reader, writer, number) -> None:
        writer.write(make_response(await read_id(reader)))
        await read_id(reader)

    harness = Harness()
    async with harness.serving(script):
        assert (await harness.run("r1")).response is not None
        broken = calls.Broken(dropped=True)
        assert (await harness.run("r2")).result == broken


async def test_duplicate_response_never_answers_next_request() -> None:
    """Guards against a duplicate response that answers the next request."""

    async def script(reader, writer, number) -> None:
        while True:
            request_id = await read_id(reader)
            writer.write(make_response(request_id, request_id.encode()) * 2)

    harness = Harness()
    async with harness.serving(script):
        for number in range(20):
            ended = await harness.run(f"r{number}")
            if ended.response is not None:
                assert ended.response.body == f"r{number}".encode()
            else:
                assert ended.result == calls.Crossed()


async def test_cancelled_connection_is_not_reused() -> None:
    """Guards against the response of a cancelled hedge answering a call."""

    async def script(reader, writer, number) -> None:
        request_id = await read_id(reader)
        if number == 1:
            await asyncio.sleep(0.2)
        writer.write(make_response(request_id))
        await writer.drain()

    harness = Harness()
    async with harness.serving(script):
        ended = await harness.run("r1", cancel_after_s=0.05)
        assert ended.result == calls.Cancelled()
        assert (await harness.run("r2")).response is not None
    assert harness.connections == 2


async def test_late_and_lost_replies(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against late replies that are not logged or reach other calls."""

    async def script(reader, writer, number) -> None:
        request_id = await read_id(reader)
        if number == 1:
            await asyncio.sleep(0.15)
        elif number == 2:
            await asyncio.sleep(5)
        writer.write(make_response(request_id))
        await writer.drain()

    def events() -> list[tuple[str, str]]:
        return [
            (r.getMessage(), r.client_account)
            for r in caplog.records
            if r.getMessage() in ("late_reply", "lost_reply")
        ]

    async def wait_for_events(count: int) -> None:
        async def enough_events() -> bool:
            return len(events()) >= count

        await stacks.wait_until(enough_events, "the log line")

    harness = Harness()
    with caplog.at_level(logging.WARNING):
        async with harness.serving(script):
            ended = await harness.run("r1", timeout_s=0.05)
            assert ended.result == calls.TimedOut()
            await wait_for_events(1)
            ended = await harness.run("r2", timeout_s=0.05)
            assert ended.result == calls.TimedOut()
            await wait_for_events(2)
            assert (await harness.run("r3")).response is not None
    assert events() == [
        ("late_reply", "oulu-shop"),
        ("lost_reply", "oulu-shop"),
    ]
    assert harness.connections == 3


async def test_long_response_is_streamed_with_backpressure() -> None:
    """Guards against unbounded buffering for a slow caller."""
    size = 64 * 1024 * 1024
    written_bytes = 0

    async def script(reader, writer, number) -> None:
        nonlocal written_bytes
        request_id = await read_id(reader)
        writer.write(
            make_response(request_id, b"").replace(b": 0", b": %d" % size)
        )
        while written_bytes < size:
            writer.write(b"x" * 65536)
            written_bytes += 65536
            await writer.drain()

    harness = Harness()
    started: list[upstream_client.Response] = []
    async with harness.serving(script):
        running = asyncio.ensure_future(
            harness.run(on_started=started.append, max_buffered_bytes=1024)
        )

        async def has_started() -> bool:
            return bool(started)

        await stacks.wait_until(has_started, "the stream")
        stream = started[0].stream
        await asyncio.sleep(0.3)
        assert stream.buffered_bytes < 1_000_000
        assert not running.done()
        received_bytes = 0
        while data := await stream.read():
            received_bytes += len(data)
        assert received_bytes == size
        assert (await running).result == calls.Answered(status=200)


async def test_long_response_counts_as_broken_without_streaming() -> None:
    """Guards against a streamed response to a write.

    A response that is not buffered completely cannot be recorded.
    """
    harness = Harness()
    async with harness.serving(
        respond_once(lambda request_id: make_response(request_id, b"x" * 5000))
    ):
        ended = await harness.run(max_buffered_bytes=1024, may_stream=False)
    assert ended.result == calls.Broken()


async def test_malformed_load_report_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against malformed load reports that are ignored silently."""
    script = respond_once(
        lambda request_id: make_response(
            request_id, extra="Tanagerspoke-Load: many\r\n"
        )
    )
    harness = Harness()
    async with harness.serving(script):
        with caplog.at_level("WARNING"):
            ended = await harness.run("r1")
    assert isinstance(ended.result, calls.Answered)
    assert ended.load is None
    (record,) = [
        r for r in caplog.records if r.message == "load_report_malformed"
    ]
    assert (record.request_id, record.upstream) == ("r1", "u1")
    assert "many" in record.error


@pytest.mark.parametrize("may_send", [True, False])
async def test_permission_is_asked_when_the_connection_is_open(
    may_send: bool,
) -> None:
    """Guards against a request on a key that was removed during a connect.

    Opening a connection may take long, or the process may be frozen then.
    """
    harness = Harness()
    asked_at: list[int] = []

    def ask() -> bool:
        asked_at.append(harness.connections)
        return may_send

    requests: list[str] = []

    async def serve(reader, writer, number) -> None:
        del number
        with contextlib.suppress(asyncio.IncompleteReadError):
            requests.append(await read_id(reader))
            writer.write(make_response(requests[-1]))

    async with harness.serving(serve):
        ended = await harness.run(may_send=ask)
    assert len(asked_at) == 1
    assert bool(requests) == may_send
    assert isinstance(
        ended.result, calls.Answered if may_send else calls.NotSent
    )
