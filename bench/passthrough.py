"""A plain aiohttp pass-through, the yardstick of the gateway's cost.

Started as `python -m bench.passthrough PORT UPSTREAM_PORT`.
"""

import asyncio
import sys

import aiohttp
from aiohttp import web
import uvloop

_HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "host")
)


async def serve(port: int, upstream_port: int) -> None:
    """Serves until the process is ended."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )

    async def handle(req: web.BaseRequest) -> web.Response:
        async with session.request(
            req.method,
            f"http://127.0.0.1:{upstream_port}{req.path_qs}",
            headers=_kept(req.headers),
            data=await req.read() if req.body_exists else None,
            allow_redirects=False,
        ) as resp:
            return web.Response(
                status=resp.status,
                headers=_kept(resp.headers),
                body=await resp.read(),
            )

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def _kept(received) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in received.items()
        if name.lower() not in _HOP_BY_HOP
    ]


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2])))
