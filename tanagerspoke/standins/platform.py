"""Stand-in of the platform: table, object store and host list."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import time

from aiohttp import web

from tanagerspoke.protocol import platform
from tanagerspoke.settings import options
from tanagerspoke.standins import faults
from tanagerspoke.standins import host_list
from tanagerspoke.standins import json_responses
from tanagerspoke.standins import rate_limit
from tanagerspoke.standins import table

_STORE_RETRY_AFTER_S = "1"
_MAX_KEY_BYTES = 1024
_TRANSACT_PATH = "/table/transact"


class PlatformStandin:
    """HTTP server of the stand-in; see docs/protocols.md for the protocol."""

    def __init__(self, *, cfg: options.StandinPlatform) -> None:
        self._cfg = cfg
        self._faults = faults.PlatformFaults()
        self._table = table.Table()
        self._objects: dict[str, bytes] = {}
        self._hosts = host_list.HostList()
        self._table_limits = _RateLimits(cfg=cfg)
        self._object_limits = _RateLimits(cfg=cfg)
        self._counts: collections.Counter[str] = collections.Counter()
        # Number of delayed transactions by key.
        self._delayed_keys: collections.Counter[str] = collections.Counter()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application(
            client_max_size=self._cfg.max_body_bytes,
            middlewares=[json_responses.errors_as_json],
        )
        self._add_routes(app.router)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        listen = self._cfg.listen
        await web.TCPSite(self._runner, listen.address, listen.port).start()

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post(_TRANSACT_PATH, self._with_table_faults(self._transact))
        router.add_get("/table/row", self._with_table_faults(self._get_row))
        router.add_get("/table/scan", self._with_table_faults(self._scan_rows))
        router.add_put("/objects/{key:.+}", self._put_object)
        router.add_get("/objects/{key:.+}", self._get_object)
        router.add_get("/hosts", self._get_hosts)
        router.add_get("/control/faults", self._get_faults)
        router.add_put("/control/faults", self._put_faults)
        router.add_get("/control/counts", self._get_counts)
        router.add_get("/control/held", self._get_delayed_keys)
        router.add_get("/control/hosts", self._get_current_hosts)
        router.add_put("/control/hosts", self._put_hosts)
        router.add_put("/control/hosts/{name}", self._put_host)
        router.add_delete("/control/hosts/{name}", self._delete_host)

    def _with_table_faults(
        self, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Returns the handler wrapped with the faults of the table."""

        async def handle(req: web.Request) -> web.Response:
            if self._faults.table_down:
                return self._unavailable_response("table")
            # aiohttp drops the body if the client disconnects before the read.
            await req.read()
            if req.path == _TRANSACT_PATH:
                await self._delay_transaction(req)
            else:
                await asyncio.sleep(self._faults.table_delay_ms / 1000)
            return await handler(req)

        return handle

    async def _delay_transaction(self, req: web.Request) -> None:
        """Delays a transaction; `GET /control/held` lists its keys."""
        transaction = await json_responses.decode(req, platform.Transaction)
        keys = [operation.key for operation in transaction.operations]
        self._delayed_keys.update(keys)
        await asyncio.sleep(self._faults.table_delay_ms / 1000)
        self._delayed_keys.subtract(keys)

    async def _get_delayed_keys(self, req: web.Request) -> web.Response:
        del req
        return json_responses.encode(sorted(+self._delayed_keys))

    async def _transact(self, req: web.Request) -> web.Response:
        transaction = await json_responses.decode(req, platform.Transaction)
        self._check_transaction(transaction)
        now = time.monotonic()
        row_count = len(transaction.operations)
        cost = row_count if self._cfg.count_writes == "row" else 1
        if not self._table_limits.writes.try_acquire(cost=cost, now=now):
            return self._rate_limit_response("table_writes")
        reply = self._table.transact(transaction, now=now)
        self._counts["table_writes"] += 1
        self._counts["table_rows_written"] += row_count
        if self._faults.lose_table_answers and req.transport is not None:
            self._counts["table_answers_lost"] += 1
            req.transport.abort()
        committed = isinstance(reply, platform.Committed)
        return json_responses.encode(reply, status=200 if committed else 409)

    def _check_transaction(self, transaction: platform.Transaction) -> None:
        """Raises HTTPBadRequest if a transaction exceeds the limits."""
        operations = transaction.operations
        max_operations = self._cfg.max_operations
        if not 1 <= len(operations) <= max_operations:
            raise web.HTTPBadRequest(
                text=f"$.operations: has {len(operations)} operations; "
                f"expected 1 to {max_operations}"
            )
        checked_keys = set()
        for index, operation in enumerate(operations):
            location = f"$.operations[{index}]"
            _check_key(operation.key, location=f"{location}.key")
            if operation.key in checked_keys:
                raise web.HTTPBadRequest(
                    text=f"{location}.key: {operation.key!r} occurs twice; "
                    "expected one operation for each row"
                )
            checked_keys.add(operation.key)
            self._check_write(operation.write, location=f"{location}.write")

    def _check_write(self, write: platform.Write, *, location: str) -> None:
        if not isinstance(write, platform.Put):
            return
        size_bytes = len(write.value.encode())
        if size_bytes > self._cfg.max_row_bytes:
            raise web.HTTPBadRequest(
                text=f"{location}.value: has {size_bytes} bytes; expected at "
                f"most {self._cfg.max_row_bytes}"
            )
        if write.ttl_s is not None and write.ttl_s <= 0:
            raise web.HTTPBadRequest(
                text=f"{location}.ttl_s: is {write.ttl_s}; expected more than 0"
            )

    async def _get_row(self, req: web.Request) -> web.Response:
        key = _required_parameter(req, "key")
        _check_key(key, location="query parameter key")
        now = time.monotonic()
        if not self._table_limits.reads.try_acquire(cost=1, now=now):
            return self._rate_limit_response("table_reads")
        self._counts["table_reads"] += 1
        row = self._table.get(key, at=now - self._faults.stale_reads_s)
        if row is None:
            return json_responses.error_response(
                404, f"row {key!r} does not exist"
            )
        return json_responses.encode(row)

    async def _scan_rows(self, req: web.Request) -> web.Response:
        prefix = _required_parameter(req, "prefix")
        limit = _int_parameter(req, "limit", default=500)
        if not 1 <= limit <= self._cfg.max_scan_rows:
            raise web.HTTPBadRequest(
                text=f"query parameter limit: is {limit}; expected 1 to "
                f"{self._cfg.max_scan_rows}"
            )
        now = time.monotonic()
        if not self._table_limits.reads.try_acquire(cost=1, now=now):
            return self._rate_limit_response("table_reads")
        self._counts["table_reads"] += 1
        reply = self._table.scan(
            prefix=prefix,
            after=req.query.get("after", ""),
            limit=limit,
            at=now - self._faults.stale_reads_s,
        )
        return json_responses.encode(reply)

    async def _put_object(self, req: web.Request) -> web.Response:
        if self._faults.objects_down:
            return self._unavailable_response("object store")
        data = await req.read()
        rate_limiter = self._object_limits.writes
        if not rate_limiter.try_acquire(cost=1, now=time.monotonic()):
            return self._rate_limit_response("object_writes")
        self._counts["object_writes"] += 1
        key = req.match_info["key"]
        if key in self._objects and req.headers.get("If-None-Match") == "*":
            return json_responses.error_response(412, f"object {key!r} exists")
        self._objects[key] = data
        return web.Response(status=201)

    async def _get_object(self, req: web.Request) -> web.Response:
        if self._faults.objects_down:
            return self._unavailable_response("object store")
        rate_limiter = self._object_limits.reads
        if not rate_limiter.try_acquire(cost=1, now=time.monotonic()):
            return self._rate_limit_response("object_reads")
        self._counts["object_reads"] += 1
        key = req.match_info["key"]
        data = self._objects.get(key)
        if data is None:
            return json_responses.error_response(
                404, f"object {key!r} does not exist"
            )
        return web.Response(body=data)

    async def _get_hosts(self, req: web.Request) -> web.Response:
        known_version = _int_parameter(req, "known_version", default=-1)
        if self._faults.hosts_down:
            return self._unavailable_response("host list")
        self._counts["host_list_reads"] += 1
        lag_s = self._faults.hosts_lag_s
        if lag_s is None:
            lag_s = self._cfg.hosts_lag_s
        now = time.monotonic()
        if known_version == self._hosts.version(now=now, lag_s=lag_s):
            return web.Response(status=304)
        return json_responses.encode(self._hosts.shown(now=now, lag_s=lag_s))

    def _unavailable_response(self, component: str) -> web.Response:
        self._counts["refused_down"] += 1
        return json_responses.error_response(503, f"the {component} is down")

    def _rate_limit_response(self, operations: str) -> web.Response:
        self._counts[f"{operations}_refused"] += 1
        return json_responses.error_response(
            429,
            f"the rate limit of {operations} is exceeded",
            {"Retry-After": _STORE_RETRY_AFTER_S},
        )

    async def _get_faults(self, req: web.Request) -> web.Response:
        del req
        return json_responses.encode(self._faults)

    async def _put_faults(self, req: web.Request) -> web.Response:
        self._faults = await json_responses.decode(req, faults.PlatformFaults)
        return web.Response(status=204)

    async def _get_counts(self, req: web.Request) -> web.Response:
        del req
        return json_responses.encode(
            dict(self._counts) | {"rows": len(self._table)}
        )

    async def _get_current_hosts(self, req: web.Request) -> web.Response:
        del req
        return json_responses.encode(self._hosts.current())

    async def _put_hosts(self, req: web.Request) -> web.Response:
        entries = await json_responses.decode(
            req, tuple[platform.HostEntry, ...]
        )
        self._hosts.replace(entries, now=time.monotonic())
        return web.Response(status=204)

    async def _put_host(self, req: web.Request) -> web.Response:
        entry = await json_responses.decode(req, platform.HostEntry)
        name = req.match_info["name"]
        if entry.name != name:
            raise web.HTTPBadRequest(
                text=f"$.name: is {entry.name!r}; expected {name!r} as in "
                "the path"
            )
        self._hosts.put(entry, now=time.monotonic())
        return web.Response(status=204)

    async def _delete_host(self, req: web.Request) -> web.Response:
        self._hosts.delete(req.match_info["name"], now=time.monotonic())
        return web.Response(status=204)


class _RateLimits:
    """Rate limits for writes and reads of the table or the object store."""

    def __init__(self, *, cfg: options.StandinPlatform) -> None:
        self.writes = rate_limit.RateLimit(
            rate_per_s=cfg.writes_per_s, burst_s=cfg.burst_s
        )
        self.reads = rate_limit.RateLimit(
            rate_per_s=cfg.reads_per_s, burst_s=cfg.burst_s
        )


def _check_key(key: str, *, location: str) -> None:
    if not 1 <= len(key.encode()) <= _MAX_KEY_BYTES:
        raise web.HTTPBadRequest(
            text=f"{location}: has {len(key.encode())} bytes; expected 1 to "
            f"{_MAX_KEY_BYTES}"
        )


def _required_parameter(req: web.Request, name: str) -> str:
    value = req.query.get(name)
    if value is None:
        raise web.HTTPBadRequest(text=f"query parameter {name}: is missing")
    return value


def _int_parameter(req: web.Request, name: str, *, default: int) -> int:
    value = req.query.get(name, str(default))
    try:
        return int(value)
    except ValueError as exc:
        raise web.HTTPBadRequest(
            text=f"query parameter {name}: is {value!r}; expected an integer"
        ) from exc
