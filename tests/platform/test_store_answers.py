"""Answers of a store that exceed the bounds, at both clients."""

import asyncio
import gzip
import json

import pytest

from tanagerspoke import exceptions
from tanagerspoke.platform import store
from tanagerspoke.settings import options
from tanagerspoke.transport.store import answer_limits
from tanagerspoke.transport.store import platform_client
from tests import tcp_server
from tests.transport import edge_stack

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_MIB = 1024 * 1024
_MAX_BYTES = answer_limits.MAX_ANSWER_BYTES
_DEEP = b'{"rows":[],"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def _with_length(body: bytes, header: bytes = b"") -> bytes:
    return _OK + header + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _rows(count: int, **fields: object) -> bytes:
    rows = [{"key": f"k{number}"} for number in range(count)]
    return json.dumps({"rows": rows} | fields).encode()


class _Store:
    """Sends the same bytes in response to each request.

    Attributes:
        sent_bytes: what was handed to the operating system.
        endless: sent again and again after the response.
    """

    def __init__(self, *, response: bytes, endless: bytes = b"") -> None:
        self._response = response
        self._endless = endless
        self.sent_bytes = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._response)
            await writer.drain()
            while self._endless:
                writer.write(self._endless)
                await writer.drain()
                self.sent_bytes += len(self._endless)


async def _read(store_: _Store, client_class: type) -> None:
    """Reads from the store with a client of a class."""
    async with tcp_server.TcpServer(handler=store_.handle) as server:
        endpoint = options.Endpoint(address="127.0.0.1", port=server.port)
        if client_class is store.PlatformStore:
            client = store.PlatformStore(endpoint=endpoint)
            read = client.read_upstreams(services=None)
        else:
            client = platform_client.PlatformClient(
                endpoint=endpoint, timeout_s=5.0
            )
            read = client.scan(prefix="")
        await client.start()
        try:
            await read
        finally:
            await client.close()


_CLIENTS = pytest.mark.parametrize(
    "client_class", [store.PlatformStore, platform_client.PlatformClient]
)


@_CLIENTS
@pytest.mark.parametrize(
    "response",
    [
        _OK + b"Content-Length: %d\r\n\r\n" % (_MAX_BYTES + 1),
        _with_length(
            gzip.compress(bytes(4 * _MAX_BYTES)),
            b"Content-Encoding: gzip\r\n",
        ),
        _with_length(_rows(answer_limits.MAX_READ_ROWS + 100)),
        _with_length(_DEEP),
        _with_length(_DEEP.replace(b'"x"', b'"[\\"x"')),
        _with_length(_DEEP[:-1] + b',"y":"'),
    ],
    ids=["announced", "compressed", "rows", "deep", "quotes", "open_string"],
)
async def test_answer_beyond_a_bound_is_rejected(
    client_class: type, response: bytes
) -> None:
    """Guards against an answer that fills the memory of a process."""
    with pytest.raises(exceptions.AnswerRejectedError) as info:
        await _read(_Store(response=response), client_class)
    assert len(str(info.value)) < 200


@_CLIENTS
async def test_answer_without_end_is_not_read_further(
    client_class: type,
) -> None:
    """Guards against an answer of unknown length that is held as a whole."""
    chunk = b"%x\r\n%b\r\n" % (_MIB, b" " * _MIB)
    store_ = _Store(response=_CHUNKED, endless=chunk)
    with pytest.raises(exceptions.PlatformUnavailableError) as info:
        await _read(store_, client_class)
    assert isinstance(info.value, exceptions.AnswerRejectedError)
    # Besides what was read, the sockets and the client buffer some.
    assert store_.sent_bytes < 2 * _MAX_BYTES


async def test_pages_without_end_are_rejected() -> None:
    """Guards against a read that goes on for as long as there are pages."""
    response = _with_length(_rows(1000, has_more=True))
    with pytest.raises(exceptions.AnswerRejectedError):
        await _read(_Store(response=response), store.PlatformStore)


@_CLIENTS
async def test_malformed_answer_is_a_failed_read(client_class: type) -> None:
    """Guards against a decoder's error that no caller expects."""
    for body in (b"", b"[]", b'{"rows":[{"key":"\xff"}]}', b'{"rows":1}', b"{"):
        with pytest.raises(exceptions.PlatformUnavailableError):
            await _read(_Store(response=_with_length(body)), client_class)


async def test_answer_within_the_bounds_is_read() -> None:
    """Guards against bounds that a large fleet or manifest reaches."""
    row = {"key": "k", "value": "A" * (12 * _MIB), "deleted": False}
    body = json.dumps({"rows": [row], "x": [[{}]] * 40, "ver": 1}).encode()
    await _read(_Store(response=_with_length(body)), store.PlatformStore)


async def test_configuration_beyond_the_bound_leaves_the_rest_current(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against one large row that keeps a node from all changes.

    The routes in force stay, upstreams are followed, and a configuration of
    normal size comes into force.
    """
    async with edge_stack.run(workers=2) as cluster:
        await cluster.wait_ready()
        await cluster.store.put("op", "config", b"x" * _MAX_BYTES)

        async def metric(name: str) -> float:
            port = cluster.cfgs[0].metrics_port
            url = f"http://127.0.0.1:{port}/metrics"
            async with cluster.session.get(url) as resp:
                lines = (await resp.text()).splitlines()
            return sum(
                float(line.split()[-1])
                for line in lines
                if line.startswith(f"tanagerspoke_edge_{name}")
            )

        async def are_rejected() -> bool:
            return await metric('store_calls_total{result="rejected"') >= 8

        await edge_stack.wait_for(are_rejected)
        lines = [r for r in caplog.records if r.msg == "store_answer_rejected"]
        assert 1 <= len(lines) <= 6
        assert not [r for r in caplog.records if r.msg == "store_lost"]
        assert await cluster.is_ready()
        leaving, other = cluster.workers
        await cluster.store.remove("servers", leaving.name)
        await asyncio.sleep(cluster.cfgs[0].drain_s)
        ran_before = len(leaving.ran)
        for number in range(8):
            async with cluster.request(
                "POST", "/write/x", request_id=f"q{number}"
            ) as resp:
                assert resp.status == 200
        assert len(leaving.ran) == ran_before
        assert len(other.ran) >= 8
        await cluster.store.put("op", "config", edge_stack.manifest(2))

        async def is_in_force() -> bool:
            return await metric("config_version") == 2

        async with asyncio.timeout(cluster.cfgs[0].config_apply_s):
            await edge_stack.wait_for(is_in_force)
