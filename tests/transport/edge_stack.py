"""Edges, their store and their workers in the test's event loop."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import dataclasses
import json
import socket
from typing import Any

import aiohttp
from aiohttp import web

from tanagerspoke.platform import adapter
from tanagerspoke.settings import edge
from tanagerspoke.settings import options
from tanagerspoke.standins import metadata_store
from tanagerspoke.transport import edge_service
from tests import stack

HOST = "shop.example"


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    """Waits until a condition holds; fails the test after a time limit."""
    await stack.wait_until(condition, "edge stack")


def _endpoint() -> options.Endpoint:
    return options.Endpoint(address="127.0.0.1", port=stack.free_port())


def _peers_endpoint() -> options.Endpoint:
    """Returns an endpoint whose next port is unused for datagrams."""
    while True:
        endpoint = _endpoint()
        with (
            contextlib.suppress(OSError, OverflowError),
            socket.socket(type=socket.SOCK_DGRAM) as sock,
        ):
            sock.bind((endpoint.address, endpoint.port + 1))
            return endpoint


def manifest(version: int, **changes: Any) -> bytes:
    """Returns a manifest with a safe and an unsafe route.

    `changes` replaces top-level fields.
    """
    route = {
        "host": HOST,
        "timeout_s": 20,
        "target_latency_s": 10,
        "priority": 1,
        "max_attempts": 2,
        "service": "shop",
    }
    routes = {
        "r-read": route | {"prefix": "/read/", "kind": "safe"},
        "r-write": route | {"prefix": "/write/", "kind": "unsafe"},
    }
    body = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {"shop": {"health_path": "/healthy", "max_conns": 50}},
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }
    return json.dumps(body | changes).encode()


class Worker:
    """A worker whose responses depend on `behavior`.

    Attributes:
        ran: ids of the requests that it ran, in order.
        cancelled: ids of the held requests that were cancelled.
        deadlines: values of X-Deadline-Ms of the requests that it ran.
        received_headers: names and values of the requests that it ran.
        behavior: `ok`, `shed` (refuses), `reset` (resets the connection),
            `unsigned` (sends no signature) or `hold` (waits for `release`).
        refused: ids of the requests that it refused.
        extra_headers: further headers of all responses.
        work_s: time for which it works on a request.
        requests: number of requests and probes that it received.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.listen = _endpoint()
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.deadlines: list[int] = []
        self.received_headers: list[list[tuple[str, str]]] = []
        self.behavior = "ok"
        self.extra_headers: dict[str, str] = {}
        self.work_s = 0.0
        self.refused: list[str] = []
        self.requests = 0
        self.release = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/healthy", self._health)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.0,
            handler_cancellation=True,
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self.listen.address, self.listen.port
        ).start()

    async def close(self) -> None:
        await self._runner.cleanup()

    def entry(self, *, sequence: int = 1, **changes: Any) -> bytes:
        entry = {
            "service": "shop",
            "address": f"{self.listen.address}:{self.listen.port}",
            "zone": "a",
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "cold_left_s": 0,
            "seq_no": sequence,
            "born": 1000,
        }
        return json.dumps(entry | changes).encode()

    async def _health(self, req: web.Request) -> web.Response:
        del req
        self.requests += 1
        headers = {"X-Instance-Id": self.name, "X-Server-Load": "0,0,3,100"}
        return web.Response(headers=headers | self.extra_headers)

    async def _run(self, req: web.Request) -> web.Response:
        self.requests += 1
        request_id = req.headers["X-Attempt-Id"]
        headers = {"X-Attempt-Id": request_id, "X-Server-Load": "1,0,3,100"}
        headers |= self.extra_headers
        if req.headers["X-Expect-Instance"] != self.name:
            return web.Response(status=421, headers=headers)
        if self.behavior == "shed":
            self.refused.append(request_id)
            headers["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self.ran.append(request_id)
        self.deadlines.append(int(req.headers["X-Deadline-Ms"]))
        self.received_headers.append(list(req.headers.items()))
        if self.behavior == "reset":
            req.transport.abort()
        if self.work_s:
            await asyncio.sleep(self.work_s)
        if self.behavior == "hold":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled.append(request_id)
                raise
            headers |= self.extra_headers
        if self.behavior != "unsigned":
            headers["X-Response-Signature"] = f"sig.{request_id}"
        body = await req.read()
        return web.Response(body=b"answer:" + body, headers=headers)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EdgeStack:
    """A running store with its workers and edges, and a client."""

    store: metadata_store.MetadataStoreStandin
    store_endpoint: options.Endpoint
    workers: tuple[Worker, ...]
    edges: tuple[edge_service.EdgeService, ...]
    cfgs: tuple[edge.Edge, ...]
    session: aiohttp.ClientSession

    def url(self, path: str, *, node: int = 0) -> str:
        return f"http://127.0.0.1:{self.cfgs[node].callers.port}{path}"

    def request(
        self,
        method: str,
        path: str,
        *,
        node: int = 0,
        request_id: str = "q1",
        added_headers: tuple[tuple[str, str], ...] = (),
        **request_options: Any,
    ) -> Any:
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", "15000"),
            *added_headers,
        ]
        return self.session.request(
            method,
            self.url(path, node=node),
            headers=headers,
            **request_options,
        )

    @contextlib.asynccontextmanager
    async def add_node(self, **changes: Any) -> AsyncIterator["EdgeStack"]:
        """Yields a stack whose only node is an additional one."""
        cfg = make_cfg(self.store_endpoint, len(self.cfgs), **changes)
        service = edge_service.EdgeService(
            cfg=cfg, adapter=adapter.make(cfg), load_settings=lambda: cfg
        )
        await service.start()
        try:
            yield dataclasses.replace(self, edges=(service,), cfgs=(cfg,))
        finally:
            await service.stop()

    async def is_ready(self, node: int = 0) -> bool:
        port = self.cfgs[node].readiness.port
        url = f"http://127.0.0.1:{port}/readiness"
        async with self.session.get(url) as resp:
            return resp.status == 200

    async def wait_ready(self, node: int = 0) -> None:
        await wait_for(lambda: self.is_ready(node))


def make_cfg(
    store_endpoint: options.Endpoint,
    node_number: int,
    **changes: Any,
) -> edge.Edge:
    fields = dict(
        node=f"n{node_number}",
        availability_zone="a",
        first_start=False,
        callers=_endpoint(),
        readiness=_endpoint(),
        peers=_peers_endpoint(),
        link_mbps=100.0,
        store=store_endpoint,
        drain_s=1.0,
        config_apply_s=2.0,
        stop_grace_s=20.0,
        retry_budget=edge.RetryBudget(
            ratio=2.0, shared_extra=100.0, window_s=10.0
        ),
        probes_per_upstream_s=60.0,
        metrics_port=stack.free_port(),
    )
    return edge.Edge(**fields | changes)


def new_cfg(node_number: int, **changes: Any) -> edge.Edge:
    """Returns the options of a node whose store does not answer."""
    return make_cfg(_endpoint(), node_number, **changes)


@contextlib.asynccontextmanager
async def run(
    *,
    workers: int = 2,
    nodes: int = 1,
    configured: bool = True,
    zones: str = "a",
    store_page_rows: int = metadata_store.DEFAULT_PAGE_ROWS,
    config: bytes = b"",
    **changes: Any,
) -> AsyncIterator[EdgeStack]:
    """Yields a running stack and closes it at the end.

    The nodes are distributed over the zones in turn. `changes` replaces options
    of all nodes, `config` the manifest.
    """
    async with contextlib.AsyncExitStack() as exit_stack:
        store_endpoint = _endpoint()
        store = metadata_store.MetadataStoreStandin(
            listen=store_endpoint, page_rows=store_page_rows
        )
        await store.start()
        exit_stack.push_async_callback(store.close)
        started_workers = tuple(Worker(name=f"w{i}") for i in range(workers))
        for worker in started_workers:
            await worker.start()
            exit_stack.push_async_callback(worker.close)
            await store.put("servers", worker.name, worker.entry())
        if configured:
            await store.put("op", "config", config or manifest(1))
        session = await exit_stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
                timeout=aiohttp.ClientTimeout(total=stack.WAIT_S),
            )
        )
        cfgs = tuple(
            make_cfg(
                store_endpoint,
                n,
                availability_zone=zones[n % len(zones)],
                **changes,
            )
            for n in range(nodes)
        )
        edges = []
        for cfg in cfgs:
            service = edge_service.EdgeService(
                cfg=cfg,
                adapter=adapter.make(cfg),
                load_settings=lambda cfg=cfg: cfg,
            )
            await service.start()
            exit_stack.push_async_callback(service.stop)
            edges.append(service)
        yield EdgeStack(
            store=store,
            store_endpoint=store_endpoint,
            workers=started_workers,
            edges=tuple(edges),
            cfgs=cfgs,
            session=session,
        )
