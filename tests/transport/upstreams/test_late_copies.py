"""Workers that send a response again on a connection that is in use again."""

import asyncio
import dataclasses
import random
import re

import pytest

from tanagerspoke.platform import headers as platform_headers
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.upstreams import upstream_client
from tanagerspoke.transport.upstreams import upstream_dialect
from tests import stack as stacks
from tests import tcp_server

_TIMEOUT_S = 0.2
# Within this time, a client has read bytes that were sent to it.
_READ_WAIT_S = 0.005


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Copy:
    """A copy of an earlier response on a connection.

    Attributes:
        original: number of the exchange on the connection, from 0, whose
            response is sent again.
        early_bytes: bytes that are sent before the next request arrives; the
            rest precedes the response to that request.
    """

    original: int
    early_bytes: int = 0


class _CopyingWorker:
    """Answers each request by its path and sends copies of its responses.

    Attributes:
        name: id in its health responses.
        copies: copies by connection and exchange, both from 0, before whose
            response they are sent.
        ran: serial numbers of the requests that it ran.
        connections: number of connections that it accepted.
    """

    def __init__(
        self, *, copies: dict[tuple[int, int], _Copy] | None = None
    ) -> None:
        self.name = "w1"
        self.copies = copies or {}
        self.ran: list[int] = []
        self.connections = 0

    def choose_copy(self, connection: int, exchange: int) -> _Copy | None:
        return self.copies.get((connection, exchange))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = self.connections
        self.connections += 1
        sent: list[bytes] = []
        while True:
            copy = self.choose_copy(connection, len(sent))
            late = b""
            if copy is not None:
                data = sent[copy.original]
                writer.write(data[: copy.early_bytes])
                late = data[copy.early_bytes :]
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(late)
            await writer.drain()
            if late:
                await asyncio.sleep(_READ_WAIT_S)
            sent.append(self._response(head))
            writer.write(sent[-1])

    def _response(self, head: bytes) -> bytes:
        path = re.match(rb"GET /(\w+)/(\d*)", head)
        action, serial = path[1].decode(), path[2].decode()
        if action in ("healthy", "unhealthy"):
            status = "200 OK" if action == "healthy" else "503 Busy"
            instance = f"X-Instance-Id: {self.name}"
            return _encode(status, instance, "X-Server-Load: 0,0,3")
        request_id = re.search(rb"X-Attempt-Id: (\S+)", head)[1].decode()
        echo = f"X-Attempt-Id: {request_id}"
        if action == "refuse":
            return _encode("503 Busy", echo, "X-Not-Executed: 1")
        if action == "misdirect":
            return _encode("421 Misdirected Request")
        self.ran.append(int(serial))
        if action == "fail":
            return _encode("500 Error", echo, body=serial)
        return _encode("200 OK", echo, "X-Response-Signature: s", body=serial)


def _encode(status: str, *lines: str, body: str = "") -> bytes:
    head = (f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


class _Client:
    """Sends numbered requests, whose paths state what the worker does."""

    def __init__(self, *, port: int) -> None:
        self._client = upstream_client.UpstreamClient(
            dialect=platform_headers.PlatformUpstreamDialect(),
            late_replies_watched=0,
        )
        self._upstream = upstreams.Upstream(
            upstream_id="w1",
            service="shop",
            address="127.0.0.1",
            port=port,
            availability_zone="a",
        )

    async def __aenter__(self) -> "_Client":
        await self._client.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._client.close()

    async def send(
        self, action: str, serial: int, *, request_id: str = "q1"
    ) -> upstream_client.EndedExchange:
        """Runs an exchange; `healthy` and `unhealthy` are probes."""
        fut = asyncio.get_running_loop().create_future()
        is_probe = action in ("healthy", "unhealthy")
        self._client.send(
            upstream=self._upstream,
            request=upstream_dialect.UpstreamRequest(
                request_id="" if is_probe else request_id,
                client_account="",
                method="GET",
                path=f"/{action}/{serial}",
                headers=(),
                body=b"",
                probe=is_probe,
            ),
            attempt=1,
            timeout_s=_TIMEOUT_S,
            on_ended=fut.set_result,
        )
        return await asyncio.wait_for(fut, stacks.WAIT_S)


@pytest.mark.parametrize("early_bytes", [0, 1])
@pytest.mark.parametrize("first", ["refuse", "ok", "fail"])
async def test_copy_of_a_response_does_not_answer_the_same_id_again(
    first: str, early_bytes: int
) -> None:
    """Guards against "not run" for a repeat of a refused call, which runs.

    Retries of a call have its id, and so may calls of other callers.
    """
    copies = {(0, 1): _Copy(original=0, early_bytes=early_bytes)}
    worker = _CopyingWorker(copies=copies)
    async with (
        tcp_server.TcpServer(handler=worker.serve) as server,
        _Client(port=server.port) as client,
    ):
        await client.send(first, 1)
        ended = await client.send("ok", 2)
    assert ended.result == calls.Answered(status=200)
    assert ended.response.body == b"2"
    assert worker.connections == 2


async def test_other_ids_use_the_connection_of_a_refusal() -> None:
    """Guards against a new connection after each refusal."""
    worker = _CopyingWorker(copies={(0, 1): _Copy(original=0)})
    async with (
        tcp_server.TcpServer(handler=worker.serve) as server,
        _Client(port=server.port) as client,
    ):
        await client.send("refuse", 1, request_id="q1")
        ended = await client.send("ok", 2, request_id="q2")
    assert ended.response.body == b"2"
    assert worker.connections == 1


async def test_connection_is_closed_before_its_ids_need_much_memory() -> None:
    """Guards against a list of sent ids that grows with each request."""
    worker = _CopyingWorker()
    async with (
        tcp_server.TcpServer(handler=worker.serve) as server,
        _Client(port=server.port) as client,
    ):
        for number in range(513):
            await client.send("ok", number, request_id=f"q{number}")
    assert worker.connections == 2


@pytest.mark.parametrize("early_bytes", [0, 1])
async def test_copy_of_a_health_response_does_not_answer_a_call(
    early_bytes: int,
) -> None:
    """Guards against "not run" for a call that runs, after a failed probe.

    Health responses have no id.
    """
    copies = {(0, 1): _Copy(original=0, early_bytes=early_bytes)}
    worker = _CopyingWorker(copies=copies)
    async with (
        tcp_server.TcpServer(handler=worker.serve) as server,
        _Client(port=server.port) as client,
    ):
        await client.send("unhealthy", 1)
        ended = await client.send("ok", 2)
    assert ended.response.body == b"2"


async def test_health_response_of_another_worker_is_no_report() -> None:
    """Guards against a load report, notice or connection of another worker.

    An address may be reused by another worker.
    """
    worker = _CopyingWorker()
    worker.name = "w2"
    async with (
        tcp_server.TcpServer(handler=worker.serve) as server,
        _Client(port=server.port) as client,
    ):
        ended = await client.send("healthy", 1)
        assert ended.result == calls.TimedOut()
        assert ended.load is None
        await client.send("ok", 2)
    assert worker.connections == 2


async def test_refusal_without_an_id_on_a_new_connection_is_one() -> None:
    """Guards against a wait for the response that a worker has sent.

    A worker that is not the expected one answers before it reads the id.
    """
    worker = _CopyingWorker()
    async with (
        tcp_server.TcpServer(handler=worker.serve) as server,
        _Client(port=server.port) as client,
    ):
        ended = await client.send("misdirect", 1)
        assert ended.result == calls.WrongUpstream()
        await client.send("ok", 2, request_id="q2")
    assert worker.connections == 2


class _RandomCopies(_CopyingWorker):
    """Sends copies of any earlier response on a connection at random."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng

    def choose_copy(self, connection: int, exchange: int) -> _Copy | None:
        del connection
        if exchange == 0 or self._rng.random() < 0.5:
            return None
        return _Copy(
            original=self._rng.randrange(exchange),
            early_bytes=self._rng.choice((0, 0, 0, 1, 30)),
        )


@pytest.mark.parametrize("seed", range(4))
async def test_random_copies_never_answer_another_request(seed: int) -> None:
    """Guards against a wrong body or "not run" from any late copy.

    The few ids stand for retries and for callers that use the same ones.
    """
    rng = random.Random(seed)
    worker = _RandomCopies(rng=rng)
    results: dict[int, upstream_client.EndedExchange] = {}
    actions = ("ok", "ok", "refuse", "misdirect", "fail", "healthy")

    async with (
        tcp_server.TcpServer(handler=worker.serve) as server,
        _Client(port=server.port) as client,
    ):
        for serial in range(150):
            action = rng.choice((*actions, "unhealthy"))
            request_id = rng.choice(("q1", "q2", f"r{serial}"))
            ended = await client.send(action, serial, request_id=request_id)
            if action not in ("healthy", "unhealthy"):
                results[serial] = ended
    for serial, ended in results.items():
        if isinstance(ended.result, calls.Shed | calls.WrongUpstream):
            assert serial not in worker.ran
        if ended.response is not None:
            assert ended.response.body == str(serial).encode()
