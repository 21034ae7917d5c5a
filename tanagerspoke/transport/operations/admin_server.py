"""HTTP server for metrics and health checks."""

from collections.abc import Awaitable, Callable, Mapping
import types

from aiohttp import web
import prometheus_client

from tanagerspoke.settings import options


class AdminServer:
    """Serves `/metrics`, `/healthz` and the readiness check.

    Args:
        is_ready: returns whether the readiness check succeeds; it responds
            with status 503 otherwise.
        ready_path: path of the readiness check.
        handlers: handlers of further paths.
    """

    def __init__(
        self,
        *,
        listen: options.Endpoint,
        registry: prometheus_client.CollectorRegistry,
        is_ready: Callable[[], bool],
        ready_path: str = "/readyz",
        handlers: Mapping[
            str, Callable[[web.Request], Awaitable[web.Response]]
        ] = types.MappingProxyType({}),
    ) -> None:
        self._listen = listen
        self._registry = registry
        self._is_ready = is_ready
        self._ready_path = ready_path
        self._handlers = handlers
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application()
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get(self._ready_path, self._serve_readiness)
        for path, handler in self._handlers.items():
            app.router.add_get(path, handler)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self._listen.address, self._listen.port
        ).start()

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _serve_metrics(self, req: web.Request) -> web.Response:
        del req
        return web.Response(
            body=prometheus_client.generate_latest(self._registry),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )

    async def _serve_health(self, req: web.Request) -> web.Response:
        del req
        return web.Response(text="ok\n")

    async def _serve_readiness(self, req: web.Request) -> web.Response:
        del req
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")
