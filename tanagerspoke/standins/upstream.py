"""Stand-in of an upstream worker."""

import asyncio
import collections

import aiohttp
from aiohttp import web
import msgspec

from tanagerspoke.protocol import headers
from tanagerspoke.protocol import platform
from tanagerspoke.protocol import upstreams
from tanagerspoke.settings import options

_PULL_CHUNK_BYTES = 4096
_PULL_CHUNKS = 40


class UpstreamStandin:
    """Serves lookups (GET), writes (POST) and pulls (GET under `/pull`)."""

    def __init__(self, *, cfg: options.StandinUpstream) -> None:
        self._cfg = cfg
        self._slots = asyncio.Semaphore(cfg.slots)
        self._in_flight = 0
        self._draining = False
        self._runs: collections.Counter[str] = collections.Counter()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Opens the port and registers in the platform's host list."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/load", self._load)
        app.router.add_get("/control/runs", self._get_runs)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        listen = self._cfg.listen
        await web.TCPSite(self._runner, listen.address, listen.port).start()
        if self._cfg.platform is not None:
            await self._register(self._cfg.platform)

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _register(self, endpoint: options.Endpoint) -> None:
        entry = platform.HostEntry(
            name=self._cfg.name,
            role="upstream",
            address=self._cfg.listen.address,
            port=self._cfg.listen.port,
            availability_zone=self._cfg.place.availability_zone,
            region=self._cfg.place.region,
            service=self._cfg.service,
            slots=self._cfg.slots,
        )
        url = (
            f"http://{endpoint.address}:{endpoint.port}"
            f"/control/hosts/{entry.name}"
        )
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, data=msgspec.json.encode(entry)),
        ):
            pass

    def _report(self) -> str:
        phase = upstreams.UpstreamPhase.READY
        if self._draining:
            phase = upstreams.UpstreamPhase.DRAINING
        return headers.format_load(
            upstreams.LoadReport(
                in_flight=self._in_flight,
                slots=self._cfg.slots,
                phase=phase,
            )
        )

    async def _load(self, req: web.Request) -> web.Response:
        del req
        return web.Response(headers={headers.LOAD: self._report()})

    async def _get_runs(self, req: web.Request) -> web.Response:
        del req
        return web.json_response(dict(self._runs))

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        self._in_flight += 1
        try:
            async with self._slots:
                return await self._run(req)
        finally:
            self._in_flight -= 1

    async def _run(self, req: web.Request) -> web.StreamResponse:
        if req.path.startswith("/pull"):
            return await self._run_pull(req)
        if req.method in ("GET", "HEAD"):
            await asyncio.sleep(self._cfg.lookup_ms / 1000)
            return self._answer(req, {"path": req.path})
        body = await req.text()
        key = req.headers.get(headers.IDEMPOTENCY_KEY, "")
        await asyncio.sleep(self._cfg.write_ms / 1000)
        self._runs[key] += 1
        return self._answer(req, {"key": key, "body": body})

    def _answer(
        self, req: web.Request, content: dict[str, str]
    ) -> web.Response:
        content["upstream"] = self._cfg.name
        content["client_account"] = req.headers.get(headers.CLIENT_ACCOUNT, "")
        return web.json_response(content, headers=self._headers(req))

    def _headers(self, req: web.Request) -> dict[str, str]:
        return {
            headers.REQUEST_ID: req.headers.get(headers.REQUEST_ID, ""),
            headers.LOAD: self._report(),
        }

    async def _run_pull(self, req: web.Request) -> web.StreamResponse:
        resp = web.StreamResponse(headers=self._headers(req))
        resp.content_length = _PULL_CHUNK_BYTES * _PULL_CHUNKS
        await resp.prepare(req)
        for _ in range(_PULL_CHUNKS):
            await asyncio.sleep(self._cfg.pull_ms / 1000 / _PULL_CHUNKS)
            await resp.write(b"x" * _PULL_CHUNK_BYTES)
        await resp.write_eof()
        return resp
