"""Stand-in of a worker of the platform that the edge calls."""

import asyncio
from collections.abc import Callable
import hashlib
import json
import logging
import pathlib
import random
import time
from typing import Annotated, Any

import aiohttp
from aiohttp import web
import msgspec

from tanagerspoke.platform import headers
from tanagerspoke.platform import wire
from tanagerspoke.settings import edge_standins
from tanagerspoke.standins import faulty_responses
from tanagerspoke.standins import json_responses

log = logging.getLogger(__name__)

HEALTH_PATH = "/healthy"
# Id and start of the process that sent a response.
PROCESS_HEADER = "X-Standin-Process"
_STORE_TIMEOUT_S = 1.0
# In percent of the usual work time.
_REPORTED_WORK_TIME_PERCENT = 100
_CHUNK_BYTES = 512
# Share of planned stops in which a worker removes its entry at once.
_REMOVAL_SHARE = 0.5
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class WorkerFaults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Simulated faults of a worker.

    Except for `slow_factor` and `pause_s`, each value is the share of requests
    with the fault.

    Attributes:
        slow_factor: factor on the work time.
        unhealthy: the health request gets 503.
        shed: the request is refused and not run.
        pause_s: pause that the refusal of such a request asks for, in seconds;
            0 for none.
        lost: the request is run, then the connection is reset without a
            response.
        truncated: the request is run, then the connection closes before the
            end of the response body.
        doubled: a second response follows the first one.
        late_copies: the response is sent again when the next request arrives
            on the connection, before the response to that request.
        unsigned: the request is run and the response has no signature.
        mute: the request is run and never gets a response.
    """

    slow_factor: float = 1.0
    unhealthy: _Share = 0.0
    shed: _Share = 0.0
    pause_s: Annotated[float, msgspec.Meta(ge=0, le=300)] = 0.0
    lost: _Share = 0.0
    truncated: _Share = 0.0
    doubled: _Share = 0.0
    late_copies: _Share = 0.0
    unsigned: _Share = 0.0
    mute: _Share = 0.0


class ColdPeriod(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Makes a running worker cold again.

    Attributes:
        for_s: time for which it stays cold from now on.
    """

    for_s: Annotated[float, msgspec.Meta(ge=0)]


def signature(*, request_id: str, body: bytes) -> str:
    """Returns the signature of a response, over its request id and body."""
    return digest(request_id.encode() + body)


def digest(body: bytes) -> str:
    """Returns a short hash of a body."""
    return hashlib.sha256(body).hexdigest()[:16]


def refusal_log_path(run_log: pathlib.Path) -> pathlib.Path:
    """Returns the path of the log of refused requests beside a run log."""
    return run_log.with_suffix(".refusals")


class RoutedWorkerStandin:
    """HTTP server of one worker, which registers in the metadata store."""

    def __init__(self, *, cfg: edge_standins.StandinWorker) -> None:
        self._cfg = cfg
        self._faults = WorkerFaults()
        self._rng = random.Random(cfg.seed)
        self._slots = asyncio.Semaphore(cfg.slots)
        self._running = 0
        self._waiting = 0
        self._sequence_number = 0
        self._started_at_ms = int(time.time() * 1000)
        self._cold_until = time.monotonic() + cfg.cold_start_s
        self._stopping = False
        # Responses that are sent again, by the peer of their connection.
        self._late_copies: dict[Any, bytes] = {}
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the port and starts the heartbeats to the store."""
        app = web.Application(middlewares=[self._send_copies])
        app.router.add_get(HEALTH_PATH, self._get_health)
        app.router.add_put("/control/faults", self._put_faults)
        app.router.add_put("/control/cold", self._put_cold)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.0,
            handler_cancellation=True,
        )
        await self._runner.setup()
        listen = self._cfg.listen
        await web.TCPSite(
            self._runner, listen.address, listen.port, reuse_address=True
        ).start()
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_STORE_TIMEOUT_S)
        )
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Reports that the worker is leaving and closes the port.

        It reports the state `draining` or removes its entry. If the store
        accepts that, the worker serves for another `drain_s` seconds first.
        """
        self._stopping = True
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._rng.random() < _REMOVAL_SHARE:
            removal = wire.Transaction(remove=(self._entry_row(),))
            accepted = await self._transact(removal)
        else:
            accepted = await self._send_heartbeat()
        if accepted:
            self._append_to_log(self._cfg.run_log, {"event": "leaving"})
            await asyncio.sleep(self._cfg.drain_s)
        await self._transact(wire.Transaction(remove=(self._entry_row(),)))
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(self._cfg.heartbeat_s)

    async def _send_heartbeat(self) -> bool:
        self._sequence_number += 1
        listen = self._cfg.advertised
        entry = wire.WorkerEntry(
            service=self._cfg.service,
            address=f"{listen.address}:{listen.port}",
            zone=self._cfg.availability_zone,
            slots=self._cfg.slots,
            state="draining" if self._stopping else "ready",
            seq_no=self._sequence_number,
            born=self._started_at_ms,
            cold_left_s=msgspec.Raw(msgspec.json.encode(self._cold_left_s)),
        )
        row = self._entry_row(value=msgspec.json.encode(entry))
        return await self._transact(wire.Transaction(set_keys=(row,)))

    def _entry_row(self, *, value: bytes = b"") -> wire.TransactionRow:
        return wire.TransactionRow(
            table=wire.WORKERS_TABLE, key=self._cfg.name, value=value
        )

    async def _transact(self, transaction: wire.Transaction) -> bool:
        assert self._session is not None
        store = self._cfg.store
        url = f"http://{store.address}:{store.port}/rows-tx"
        data = msgspec.json.encode(transaction)
        try:
            async with self._session.post(url, data=data) as resp:
                return resp.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            log.warning("report_failed", extra={"error": repr(exc)})
            return False

    @property
    def _cold_left_s(self) -> float:
        return max(0.0, self._cold_until - time.monotonic())

    async def _put_cold(self, req: web.Request) -> web.Response:
        period = await json_responses.decode(req, ColdPeriod)
        self._cold_until = time.monotonic() + period.for_s
        return web.Response(status=204)

    async def _put_faults(self, req: web.Request) -> web.Response:
        self._faults = await json_responses.decode(req, WorkerFaults)
        self._late_copies.clear()
        return web.Response(status=204)

    @web.middleware
    async def _send_copies(
        self, req: web.Request, handler: Callable[[web.Request], Any]
    ) -> web.StreamResponse:
        """Sends late copies of responses; see `WorkerFaults`."""
        transport = req.transport
        assert transport is not None
        peer = transport.get_extra_info("peername")
        copy = self._late_copies.pop(peer, None)
        if copy is not None:
            transport.write(copy)
        resp = await handler(req)
        if self._fault_occurs(self._faults.late_copies):
            self._late_copies[peer] = faulty_responses.encode_response(
                status=resp.status,
                headers=resp.headers,
                body=getattr(resp, "body", None) or b"",
            )
        return resp

    def _usual_headers(self) -> dict[str, str]:
        """Returns the headers of all responses."""
        usual = {
            PROCESS_HEADER: f"{self._cfg.name}/{self._started_at_ms}",
            headers.LOAD: self._format_load(),
        }
        if self._stopping:
            usual[headers.LEAVING] = "1"
        return usual

    def _format_load(self) -> str:
        return (
            f"{self._running},{self._waiting},{self._cfg.slots},"
            f"{_REPORTED_WORK_TIME_PERCENT}"
        )

    async def _get_health(self, req: web.Request) -> web.Response:
        del req
        response_headers = self._usual_headers() | {
            headers.RESPONDER: self._cfg.name,
            headers.COLD_MS: str(int(self._cold_left_s * 1000)),
        }
        failing = self._stopping or self._fault_occurs(self._faults.unhealthy)
        return web.Response(
            status=503 if failing else 200, headers=response_headers
        )

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        request_id = req.headers.get(headers.REQUEST_ID)
        if request_id is None:
            return web.Response(status=400, headers={headers.NOT_RUN: "1"})
        arrived_at = time.monotonic()
        echoed_headers = {headers.REQUEST_ID: request_id}
        if req.headers.get(headers.EXPECTED_UPSTREAM) != self._cfg.name:
            return web.Response(status=421, headers=echoed_headers)
        request_body = await req.read()
        queue_full = (
            self._slots.locked() and self._waiting >= self._cfg.queue_length
        )
        if queue_full or self._fault_occurs(self._faults.shed):
            return self._refuse(req, echoed_headers, arrived_at)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self._log_run(req, request_id, request_body, arrived_at)
            await self._work()
        finally:
            self._running -= 1
            self._slots.release()
        return await self._send_response(
            req, echoed_headers, request_id, request_body
        )

    def _refuse(
        self,
        req: web.Request,
        echoed_headers: dict[str, str],
        arrived_at: float,
    ) -> web.Response:
        pause_s = self._faults.pause_s
        refusal = {
            "event": "refused",
            "id": echoed_headers[headers.REQUEST_ID],
            "arrived_at": arrived_at,
            "cold": arrived_at < self._cold_until,
            "pause_s": pause_s,
        }
        self._append_to_log(refusal_log_path(self._cfg.run_log), refusal)
        shed_headers = echoed_headers | {headers.NOT_RUN: "1"}
        shed_headers |= self._usual_headers()
        if pause_s:
            shed_headers["Retry-After"] = f"{pause_s:.3f}"
        return web.Response(status=503, headers=shed_headers)

    async def _work(self) -> None:
        work_s = self._rng.expovariate(1000 / self._cfg.work_ms)
        if self._cold_left_s > 0.0:
            work_s *= self._cfg.cold_factor
        await asyncio.sleep(work_s * self._faults.slow_factor)

    def _log_run(
        self,
        req: web.Request,
        request_id: str,
        request_body: bytes,
        arrived_at: float,
    ) -> None:
        self._append_to_log(
            self._cfg.run_log,
            {
                "event": "run",
                "id": request_id,
                "method": req.method,
                "path": req.raw_path,
                "body": digest(request_body),
                "arrived_at": arrived_at,
                "cold": arrived_at < self._cold_until,
                "account": req.headers.get(headers.CLIENT_ACCOUNT, ""),
                "has_key": headers.API_KEY in req.headers,
            },
        )

    def _append_to_log(self, path: pathlib.Path, event: dict[str, Any]) -> None:
        """Appends to a log, which survives a kill of the process.

        `at` is comparable between processes, since the processes of one
        machine share the monotonic clock.
        """
        record = event | {
            "born_ms": self._started_at_ms,
            "at": time.monotonic(),
        }
        with path.open("a") as file:
            file.write(json.dumps(record) + "\n")

    async def _send_response(
        self,
        req: web.Request,
        echoed_headers: dict[str, str],
        request_id: str,
        request_body: bytes,
    ) -> web.StreamResponse:
        faults = self._faults
        response_body = (
            f"{self._cfg.service}:{req.raw_path}:".encode() + request_body
        )
        response_headers = echoed_headers | self._usual_headers()
        if not self._fault_occurs(faults.unsigned):
            response_headers[headers.SIGNATURE] = signature(
                request_id=request_id, body=response_body
            )
        if self._stopping:
            response_headers["Connection"] = "close"
        if self._fault_occurs(faults.mute):
            await asyncio.Event().wait()
        if req.transport is not None and self._fault_occurs(faults.lost):
            req.transport.abort()
        resp = web.StreamResponse(headers=response_headers)
        resp.content_length = len(response_body)
        await resp.prepare(req)
        if self._fault_occurs(faults.truncated):
            await resp.write(response_body[:-1])
            if req.transport is not None:
                req.transport.close()
            return resp
        for start in range(0, len(response_body), _CHUNK_BYTES):
            await resp.write(response_body[start : start + _CHUNK_BYTES])
        await resp.write_eof()
        if req.transport is not None and self._fault_occurs(faults.doubled):
            lines = [
                f"{name}: {value}" for name, value in response_headers.items()
            ]
            lines = ["HTTP/1.1 200 OK", *lines, "Content-Length: 1"]
            req.transport.write("\r\n".join([*lines, "", "x"]).encode())
        return resp

    def _fault_occurs(self, share: float) -> bool:
        return self._rng.random() < share
