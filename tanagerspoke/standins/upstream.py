"""Stand-in of an upstream."""

import asyncio
import collections
from collections.abc import AsyncIterator
import json
import time

from aiohttp import web

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import upstreams
from tanagerspoke.settings import options
from tanagerspoke.standins import faults
from tanagerspoke.standins import faulty_responses
from tanagerspoke.standins import json_responses
from tanagerspoke.standins import registration
from tanagerspoke.standins import simulated_work

_SHED_RETRY_AFTER_S = "1"


class UpstreamStandin:
    """Serves lookups, writes and pulls; see docs/protocols.md."""

    def __init__(self, *, cfg: options.StandinUpstream) -> None:
        self._cfg = cfg
        self._faults = faults.UpstreamFaults()
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._job_runner = simulated_work.JobRunner(
            slots=cfg.slots, queue_length=cfg.queue_length
        )
        self._service_times = simulated_work.ServiceTimes(cfg=cfg)
        self._registration = registration.Registration(cfg=cfg)
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._stopping = False
        self._last_request_id = "no-earlier-request"
        self._started_at = time.monotonic()
        self._runs_by_key: collections.Counter[str] = collections.Counter()
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the port and registers in the platform's host list."""
        app = web.Application(
            client_max_size=self._cfg.max_body_bytes,
            middlewares=[json_responses.errors_as_json],
        )
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/control/runs", self._get_runs)
        app.router.add_get("/control/counts", self._get_counts)
        app.router.add_get("/control/faults", self._get_faults)
        app.router.add_put("/control/faults", self._put_faults)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        listen = self._cfg.listen
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, listen.address, listen.port, reuse_address=True
        )
        self._started_at = time.monotonic()
        self._registration.start()

    async def close(self) -> None:
        """Drains for at most `drain_s` seconds and closes the port."""
        await self._registration.close()
        if self._cfg.drain_s > 0:
            await self._drain()
        if self._server is not None:
            self._server.close()
        await self._job_runner.close()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _drain(self) -> None:
        self._stopping = True
        try:
            async with asyncio.timeout(self._cfg.drain_s):
                await self._registration.mark_leaving()
                await self._idle.wait()
        except TimeoutError:
            self._job_runner.counts["cut_off"] += self._in_flight

    def _make_protocol(self) -> asyncio.Protocol:
        assert self._runner is not None
        assert self._runner.server is not None
        if len(self._runner.server.connections) >= self._cfg.max_connections:
            self._job_runner.counts["connections_refused"] += 1
            return _ConnectionCloser()
        return self._runner.server()

    def _phase(self) -> upstreams.UpstreamPhase:
        if self._faults.draining or self._stopping:
            return upstreams.UpstreamPhase.DRAINING
        if self._is_cold():
            return upstreams.UpstreamPhase.COLD
        return upstreams.UpstreamPhase.READY

    def _is_cold(self) -> bool:
        age_s = time.monotonic() - self._started_at
        return age_s < self._cfg.cold_start_s

    def _format_load(self, phase: upstreams.UpstreamPhase) -> str:
        in_flight = self._faults.reported_in_flight
        if in_flight is None:
            in_flight = self._in_flight + self._job_runner.abandoned_count
        return headers.format_load(
            upstreams.LoadReport(
                in_flight=in_flight, slots=self._cfg.slots, phase=phase
            )
        )

    async def _get_load(self, req: web.Request) -> web.Response:
        del req
        await self._unfrozen.wait()
        phase = self._phase()
        if self._faults.report_ready:
            phase = upstreams.UpstreamPhase.READY
        return web.Response(headers={headers.LOAD: self._format_load(phase)})

    async def _get_runs(self, req: web.Request) -> web.Response:
        del req
        return json_responses.encode(dict(self._runs_by_key))

    async def _get_counts(self, req: web.Request) -> web.Response:
        del req
        return json_responses.encode(dict(self._job_runner.counts))

    async def _get_faults(self, req: web.Request) -> web.Response:
        del req
        return json_responses.encode(self._faults)

    async def _put_faults(self, req: web.Request) -> web.Response:
        self._faults = await json_responses.decode(req, faults.UpstreamFaults)
        if self._faults.freeze:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()
        return web.Response(status=204)

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        deadline = _deadline(req)
        self._in_flight += 1
        self._idle.clear()
        try:
            body = await req.read()
            await self._wait_until_unfrozen()
            if self._faults.fail_fast:
                return await self._send_response(
                    req, 500, {"error": "fail_fast"}
                )
            return await self._run(req, body, deadline)
        except simulated_work.NotRunError as exc:
            return await self._send_shed_response(req, str(exc))
        finally:
            self._last_request_id = _request_id(req)
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    async def _wait_until_unfrozen(self) -> None:
        try:
            await self._unfrozen.wait()
        except asyncio.CancelledError:
            self._job_runner.counts["cancelled_waiting"] += 1
            raise

    async def _run(
        self, req: web.Request, body: bytes, deadline: float | None
    ) -> web.StreamResponse:
        if self._faults.shed:
            self._job_runner.counts["shed_fault"] += 1
            raise simulated_work.NotRunError("the fault `shed` is set")
        call_class = simulated_work.call_class_of(
            self._cfg, method=req.method, path=req.path
        )
        if call_class is calls.CallClass.PULL:
            return await self._run_pull(req, deadline)
        key = req.headers.get(headers.IDEMPOTENCY_KEY, "")

        async def job() -> None:
            self._job_runner.counts[call_class.value] += 1
            if call_class is calls.CallClass.WRITE:
                self._runs_by_key[key] += 1
            await asyncio.sleep(self._service_time_s(call_class))

        await self._job_runner.run(job, deadline=deadline)
        if call_class is calls.CallClass.WRITE:
            fields = {"key": key, "body": body.decode(errors="replace")}
        else:
            fields = {"path": req.path}
        return await self._send_response(req, 200, fields)

    async def _run_pull(
        self, req: web.Request, deadline: float | None
    ) -> web.StreamResponse:
        resp: web.StreamResponse | None = None
        cfg = self._cfg

        async def chunks() -> AsyncIterator[bytes]:
            service_time_s = self._service_time_s(calls.CallClass.PULL)
            for _ in range(cfg.pull_chunks):
                await asyncio.sleep(service_time_s / cfg.pull_chunks)
                yield b"x" * cfg.pull_chunk_bytes

        async def job() -> None:
            nonlocal resp
            self._job_runner.counts[calls.CallClass.PULL.value] += 1
            await asyncio.sleep(self._faults.late_ms / 1000)
            resp = await faulty_responses.send(
                req,
                status=200,
                headers=self._headers(req),
                chunks=chunks(),
                length=cfg.pull_chunks * cfg.pull_chunk_bytes,
                faults=self._faults,
            )

        await self._job_runner.run(job, deadline=deadline)
        assert resp is not None
        return resp

    def _service_time_s(self, call_class: calls.CallClass) -> float:
        factor = self._faults.slow_factor
        if self._is_cold():
            factor *= self._cfg.cold_factor
        return self._service_times.draw_s(call_class, factor=factor)

    async def _send_shed_response(
        self, req: web.Request, message: str
    ) -> web.StreamResponse:
        return await self._send_response(
            req,
            503,
            {"error": message},
            {
                headers.OUTCOME: errors.Outcome.NOT_RUN.value,
                "Retry-After": _SHED_RETRY_AFTER_S,
            },
        )

    async def _send_response(
        self,
        req: web.Request,
        status: int,
        fields: dict[str, str],
        extra_headers: dict[str, str] | None = None,
    ) -> web.StreamResponse:
        fields["upstream"] = self._cfg.name
        fields["client_account"] = req.headers.get(headers.CLIENT_ACCOUNT, "")
        if self._cfg.padding_bytes:
            fields["padding"] = "x" * self._cfg.padding_bytes
        body = json.dumps(fields).encode()

        async def chunks() -> AsyncIterator[bytes]:
            yield body

        await asyncio.sleep(self._faults.late_ms / 1000)
        return await faulty_responses.send(
            req,
            status=status,
            headers=self._headers(req)
            | {"Content-Type": "application/json"}
            | (extra_headers or {}),
            chunks=chunks(),
            length=len(body),
            faults=self._faults,
        )

    def _headers(self, req: web.Request) -> dict[str, str]:
        request_id = _request_id(req)
        if self._faults.cross_replies:
            request_id = self._last_request_id
        return {
            headers.REQUEST_ID: request_id,
            headers.LOAD: self._format_load(self._phase()),
        }


class _ConnectionCloser(asyncio.Protocol):
    """Closes a connection that exceeds the limit."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


def _request_id(req: web.Request) -> str:
    return req.headers.get(headers.REQUEST_ID, "")


def _deadline(req: web.Request) -> float | None:
    """Returns the deadline as a time of the event loop; None if not set."""
    value = req.headers.get(headers.DEADLINE_MS)
    if value is None:
        return None
    if not value.isascii() or not value.isdigit():
        raise web.HTTPBadRequest(
            text=f"{headers.DEADLINE_MS}: is {value!r}; expected milliseconds"
        )
    return asyncio.get_running_loop().time() + int(value) / 1000
