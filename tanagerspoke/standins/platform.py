"""Stand-in of the platform: table, object store and host list."""

import time

from aiohttp import web
import msgspec

from tanagerspoke.protocol import platform
from tanagerspoke.settings import options


class Table:
    """Rows with versions; transactions are atomic."""

    def __init__(self) -> None:
        self._rows: dict[str, platform.Row] = {}
        self._expiry: dict[str, float] = {}
        self._version = 0

    def get(self, key: str, *, now: float) -> platform.Row | None:
        """Returns the row unless it is absent or expired."""
        if self._expiry.get(key, now + 1) <= now:
            self._rows.pop(key, None)
            self._expiry.pop(key, None)
        return self._rows.get(key)

    def scan(
        self, *, prefix: str, after: str, limit: int, now: float
    ) -> platform.ScanReply:
        """Returns rows of a prefix in key order."""
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        rows = [self.get(key, now=now) for key in keys[:limit]]
        return platform.ScanReply(
            rows=tuple(row for row in rows if row is not None),
            more=len(keys) > limit,
        )

    def transact(
        self, transaction: platform.Transaction, *, now: float
    ) -> platform.TransactionReply:
        """Applies all operations, or none where a condition fails."""
        conflicts = []
        for operation in transaction.operations:
            row = self.get(operation.key, now=now)
            if not _holds(operation.condition, row):
                conflicts.append(platform.Conflict(key=operation.key, row=row))
        if conflicts:
            return platform.Rejected(conflicts=tuple(conflicts))
        self._version += 1
        for operation in transaction.operations:
            self._write(operation, now=now)
        return platform.Committed(version=self._version)

    def _write(self, operation: platform.Operation, *, now: float) -> None:
        match operation.write:
            case platform.Put(value=value, ttl_s=ttl_s):
                self._rows[operation.key] = platform.Row(
                    key=operation.key, value=value, version=self._version
                )
                self._expiry.pop(operation.key, None)
                if ttl_s is not None:
                    self._expiry[operation.key] = now + ttl_s
            case platform.Delete():
                self._rows.pop(operation.key, None)
                self._expiry.pop(operation.key, None)
            case platform.Check():
                pass


def _holds(condition: platform.Condition, row: platform.Row | None) -> bool:
    match condition:
        case platform.Absent():
            return row is None
        case platform.VersionIs(version=version):
            return row is not None and row.version == version
        case platform.Always():
            return True


class PlatformStandin:
    """HTTP server of the stand-in."""

    def __init__(self, *, cfg: options.StandinPlatform) -> None:
        self._cfg = cfg
        self._table = Table()
        self._objects: dict[str, bytes] = {}
        self._hosts: dict[str, platform.HostEntry] = {}
        self._hosts_version = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/table/transact", self._transact)
        app.router.add_get("/table/row", self._row)
        app.router.add_get("/table/scan", self._scan)
        app.router.add_put("/objects/{key:.+}", self._put_object)
        app.router.add_get("/objects/{key:.+}", self._get_object)
        app.router.add_get("/hosts", self._get_hosts)
        app.router.add_put("/control/hosts/{name}", self._put_host)
        app.router.add_delete("/control/hosts/{name}", self._delete_host)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        listen = self._cfg.listen
        await web.TCPSite(self._runner, listen.address, listen.port).start()

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _transact(self, req: web.Request) -> web.Response:
        transaction = msgspec.json.decode(
            await req.read(), type=platform.Transaction
        )
        reply = self._table.transact(transaction, now=time.monotonic())
        status = 200 if isinstance(reply, platform.Committed) else 409
        return _json(reply, status=status)

    async def _row(self, req: web.Request) -> web.Response:
        row = self._table.get(req.query["key"], now=time.monotonic())
        if row is None:
            return web.Response(status=404)
        return _json(row)

    async def _scan(self, req: web.Request) -> web.Response:
        reply = self._table.scan(
            prefix=req.query["prefix"],
            after=req.query.get("after", ""),
            limit=int(req.query.get("limit", "500")),
            now=time.monotonic(),
        )
        return _json(reply)

    async def _put_object(self, req: web.Request) -> web.Response:
        key = req.match_info["key"]
        if key in self._objects and req.headers.get("If-None-Match") == "*":
            return web.Response(status=412)
        self._objects[key] = await req.read()
        return web.Response(status=201)

    async def _get_object(self, req: web.Request) -> web.Response:
        data = self._objects.get(req.match_info["key"])
        if data is None:
            return web.Response(status=404)
        return web.Response(body=data)

    async def _get_hosts(self, req: web.Request) -> web.Response:
        if int(req.query.get("known_version", "-1")) == self._hosts_version:
            return web.Response(status=304)
        return _json(
            platform.HostList(
                version=self._hosts_version,
                hosts=tuple(self._hosts.values()),
            )
        )

    async def _put_host(self, req: web.Request) -> web.Response:
        entry = msgspec.json.decode(await req.read(), type=platform.HostEntry)
        self._hosts[entry.name] = entry
        self._hosts_version += 1
        return web.Response(status=204)

    async def _delete_host(self, req: web.Request) -> web.Response:
        self._hosts.pop(req.match_info["name"], None)
        self._hosts_version += 1
        return web.Response(status=204)


def _json(message: msgspec.Struct, *, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(message),
        content_type="application/json",
    )
