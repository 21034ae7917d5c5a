"""The gateway without an agent: updates, limits and unexpected errors."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import json
import re

import pytest

from tanagerspoke.coordination import scheduling
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import upstreams
from tanagerspoke.settings import options
from tanagerspoke.transport import gateway_service
from tests import stack as stacks
from tests import tcp_server

UpstreamScript = Callable[[asyncio.StreamWriter, str, str], Awaitable[None]]
_RESPONSE_HEAD = (
    "HTTP/1.1 200 OK\r\nTanagerspoke-Request-Id: {}\r\nContent-Length: {}"
)


def _route(prefix: str, call_class: str, **fields) -> dict:
    return {
        "path_prefix": prefix,
        "methods": ["GET", "POST"],
        "call_class": call_class,
        "deadline_ms": 20_000,
        "objective": {"latency_ms": 100, "ratio": 0.99},
    } | fields


def _update(revision: int, services: list[dict]) -> agent.ConfigUpdate:
    template = {"kind": "template", "name": "t", "services": services}
    account = {"kind": "client_account", "name": "oulu-shop", "template": "t"}
    return agent.ConfigUpdate(
        revision=revision,
        base_revision=0,
        items=tuple(
            agent.ConfigItem(
                kind=body["kind"], name=body["name"], body=json.dumps(body)
            )
            for body in (template, account)
        ),
    )


_MAPS_SERVICE = {
    "name": "maps",
    "concurrency": 4,
    "routes": [
        _route("/pull", "pull"),
        _route("/edit", "write", idempotency_key="required"),
        _route("/", "lookup"),
    ],
}
_OTHER_SERVICE = {"name": "other", "routes": [_route("/", "lookup")]}


class Harness:
    """A gateway in this process, in front of scripted upstreams."""

    def __init__(self) -> None:
        self.port = stacks.free_port()
        self.service = gateway_service.GatewayService(
            cfg=options.Gateway(
                place=options.Place(**stacks.place("entry-1")),
                gateway_id="entry-1-1",
                callers=options.Endpoint(**stacks.endpoint(self.port)),
                admin=options.Endpoint(**stacks.endpoint(1)),
                agent=options.Endpoint(**stacks.endpoint(2)),
                shared_key=stacks.SHARED_KEY,
            )
        )

    @contextlib.asynccontextmanager
    async def serving(self, *scripts: UpstreamScript) -> AsyncIterator[None]:
        """Runs the gateway and an upstream (u0, u1, ...) for each script."""
        service = self.service
        exit_stack = contextlib.AsyncExitStack()
        servers = [
            await exit_stack.enter_async_context(
                tcp_server.TcpServer(handler=_run_script(script))
            )
            for script in scripts
        ]
        listed = tuple(
            upstreams.Upstream(
                upstream_id=f"u{number}",
                service="maps",
                address="127.0.0.1",
                port=server.port,
                availability_zone="az-a",
                slots=16,
            )
            for number, server in enumerate(servers)
        )
        await service._upstream_client.start()
        await service._server.start()
        service._apply_update(_update(1, [_MAPS_SERVICE]))
        service._apply_update(agent.UpstreamsUpdate(upstreams=listed))
        try:
            yield
        finally:
            await service._server.close()
            await service._upstream_client.close()
            await exit_stack.aclose()

    async def open(
        self, path: str, method: str = "GET", extra_headers: str = ""
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a request; returns the streams of its connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            "Tanagerspoke-Client-Account: oulu-shop\r\n"
            f"{extra_headers}\r\n".encode()
        )
        return reader, writer

    async def call(
        self, path: str, method: str = "GET", extra_headers: str = ""
    ) -> tuple[int, str, bytes]:
        """Sends a request; returns status, head and body of the response."""
        reader, writer = await self.open(path, method, extra_headers)
        resp = await asyncio.wait_for(reader.read(), stacks.WAIT_S)
        writer.close()
        head, _, body = resp.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.decode(), body


def _run_script(script: UpstreamScript):
    async def on_connection(reader, writer) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = re.search(r"Request-Id: (\S+)", head)[1]
            await script(writer, head, request_id)
            await writer.drain()

    return on_connection


def _response_script(body: bytes) -> UpstreamScript:
    async def script(writer, head: str, request_id: str) -> None:
        head = _RESPONSE_HEAD.format(request_id, len(body))
        writer.write(head.encode() + b"\r\n\r\n" + body)

    return script


@pytest.mark.parametrize(
    ("event", "status", "code", "outcome"),
    [
        (None, 500, "internal_error", "not-run"),
        (calls.CallArrived, 504, "outcome_unknown", "unknown"),
        (calls.AttemptEnded, 504, "outcome_unknown", "unknown"),
    ],
)
async def test_unexpected_error_gives_a_json_error(
    monkeypatch, event, status, code, outcome
) -> None:
    """Guards against "not run" for a call that an upstream received.

    The response must not contain the text of the exception either.
    """
    harness = Harness()
    handle = scheduling.ServiceScheduler.handle

    def failing(self, *, event: object, now: float):
        if failing_on is not None and isinstance(event, failing_on):
            raise RuntimeError("unexpected")
        return handle(self, event=event, now=now)

    def failing_before(*args: object) -> None:
        raise RuntimeError("unexpected")

    failing_on = event
    if event is None:
        monkeypatch.setattr(harness.service, "_apply_limits", failing_before)
    monkeypatch.setattr(scheduling.ServiceScheduler, "handle", failing)
    async with harness.serving(_response_script(b"ok")):
        actual_status, head, body = await harness.call("/maps/x")
        running = [d.in_flight for d in harness.service._dispatchers.values()]
    assert sum(running) == 0
    error = json.loads(body)["error"]
    assert (actual_status, error["code"], error["outcome"]) == (
        status,
        code,
        outcome,
    )
    assert f"Tanagerspoke-Outcome: {outcome}" in head
    assert "unexpected" not in error["message"].replace("an unexpected", "")


async def test_slow_caller_pauses_the_upstream() -> None:
    """Guards against buffering a long response for a slow caller."""
    size = 96 * 2**20
    sent_bytes = 0

    async def script(writer, head: str, request_id: str) -> None:
        nonlocal sent_bytes
        writer.write(
            _RESPONSE_HEAD.format(request_id, size).encode() + b"\r\n\r\n"
        )
        while sent_bytes < size:
            writer.write(b"x" * 2**16)
            sent_bytes += 2**16
            await writer.drain()

    harness = Harness()
    async with harness.serving(script):
        reader, writer = await harness.open("/maps/pull/a")
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), stacks.WAIT_S)
        [conn] = harness.service._server._conns
        max_buffered_bytes = 0

        async def is_paused() -> bool:
            nonlocal max_buffered_bytes
            sent_bytes_before = sent_bytes
            for _ in range(20):
                await asyncio.sleep(0.01)
                buffered = conn.transport.get_write_buffer_size()
                max_buffered_bytes = max(max_buffered_bytes, buffered)
            return conn.writing_paused and sent_bytes == sent_bytes_before

        await stacks.wait_until(is_paused, "reading from the upstream to pause")
        assert sent_bytes < size
        assert max_buffered_bytes < 2**20
        body = await asyncio.wait_for(reader.read(), stacks.WAIT_S)
        writer.close()
    assert len(body) == size


async def test_load_update_reaches_the_scheduler() -> None:
    """Guards against load updates from the agent that are ignored.

    An upstream that reports draining must get no more calls.
    """
    harness = Harness()
    async with harness.serving(
        _response_script(b"u0"), _response_script(b"u1")
    ):
        await harness.call("/maps/x")
        report = upstreams.LoadReport(
            in_flight=0, slots=16, phase=upstreams.UpstreamPhase.DRAINING
        )
        harness.service._apply_update(
            agent.LoadUpdate(
                reports=(agent.ProbedLoad(upstream_id="u0", load=report),)
            )
        )
        bodies = {(await harness.call("/maps/x"))[2] for _ in range(20)}
    assert bodies == {b"u1"}


async def test_fleet_update_divides_limits_over_two_gateways(
    monkeypatch,
) -> None:
    """Guards against an account that gets its full limit at each gateway."""
    gateway_counts: list[int] = []
    set_gateways = scheduling.ServiceScheduler.set_gateways

    def recorded(self, gateways: int) -> None:
        gateway_counts.append(gateways)
        set_gateways(self, gateways)

    monkeypatch.setattr(scheduling.ServiceScheduler, "set_gateways", recorded)
    release = asyncio.Event()

    async def script(writer, head: str, request_id: str) -> None:
        await release.wait()
        await _response_script(b"ok")(writer, head, request_id)

    pair = (Harness(), Harness())
    async with pair[0].serving(script), pair[1].serving(script):
        for harness in pair:
            harness.service._get_or_create_dispatcher("maps")
            harness.service._apply_update(agent.FleetUpdate(gateways=2))
        assert gateway_counts == [2, 2]
        running = [
            asyncio.ensure_future(harness.call("/maps/x"))
            for harness in pair
            for _ in range(2)
        ]

        async def is_limit_reached() -> bool:
            return all(
                h.service._dispatchers["maps"].in_flight == 2 for h in pair
            )

        await stacks.wait_until(
            is_limit_reached, "the calls to reach the upstreams"
        )
        for harness in pair:
            status, head, body = await harness.call("/maps/x")
            assert status == 429
            assert re.search(r"\r\nRetry-After: [1-9]", head)
            error = json.loads(body)["error"]
            assert error["code"] == "concurrency_limited"
            assert error["outcome"] == "not-run"
        release.set()
        assert [call[0] for call in await asyncio.gather(*running)] == [200] * 4
        for harness in pair:
            assert (await harness.call("/maps/x"))[0] == 200


async def test_service_deleted_while_its_claim_is_awaited(monkeypatch) -> None:
    """Guards against an error for a granted write of a deleted service."""
    harness = Harness()
    claimed = asyncio.Event()
    granted = asyncio.Event()

    async def claim(request, *, timeout_s: float) -> agent.Granted:
        claimed.set()
        await granted.wait()
        return agent.Granted()

    async def complete(request, **fields):
        return agent.CompleteReply()

    monkeypatch.setattr(harness.service._agent_client, "claim", claim)
    monkeypatch.setattr(harness.service._agent_client, "complete", complete)
    async with harness.serving(_response_script(b"ok")):
        call = asyncio.ensure_future(
            harness.call("/maps/edit/a", "POST", "Idempotency-Key: k1\r\n")
        )
        await asyncio.wait_for(claimed.wait(), stacks.WAIT_S)
        harness.service._apply_update(_update(2, [_OTHER_SERVICE]))
        granted.set()
        status, head, body = await call
        assert (status, body) == (200, b"ok")
        assert "Tanagerspoke-Outcome: ran" in head
        assert (await harness.call("/maps/x"))[0] == 404
        await harness.service._keyed_writes.close()
