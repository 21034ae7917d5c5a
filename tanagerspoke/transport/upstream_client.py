"""HTTP client towards upstreams."""

import asyncio
from collections.abc import Callable
import dataclasses

import aiohttp
import multidict

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import upstreams

_HOP_BY_HOP = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
    )
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRequest:
    """A request as it goes to an upstream."""

    request_id: str
    client_account: str
    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A whole answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ended:
    """End of one exchange."""

    result: calls.AttemptResult
    load: upstreams.LoadReport | None = None
    answer: Answer | None = None


class Exchange:
    """One request to one upstream; `on_ended` is called exactly once."""

    def __init__(self, *, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Drops the exchange and its connection."""
        self._task.cancel()


class UpstreamClient:
    """Keeps connections to upstreams and runs exchanges on them."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def send(
        self,
        *,
        upstream: upstreams.Upstream,
        request: UpstreamRequest,
        attempt: int,
        timeout_s: float,
        on_ended: Callable[[Ended], None],
    ) -> Exchange:
        """Starts an exchange that ends within `timeout_s` seconds."""
        task = asyncio.get_running_loop().create_task(
            self._run(upstream, request, attempt, timeout_s, on_ended)
        )
        return Exchange(task=task)

    async def _run(
        self,
        upstream: upstreams.Upstream,
        request: UpstreamRequest,
        attempt: int,
        timeout_s: float,
        on_ended: Callable[[Ended], None],
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                ended = await self._exchange(upstream, request, attempt)
        except asyncio.CancelledError:
            ended = Ended(result=calls.Cancelled())
        except TimeoutError:
            ended = Ended(result=calls.TimedOut())
        except aiohttp.ClientConnectorError:
            ended = Ended(result=calls.NotSent())
        except (aiohttp.ClientError, OSError):
            ended = Ended(result=calls.Broken())
        on_ended(ended)

    async def _exchange(
        self,
        upstream: upstreams.Upstream,
        request: UpstreamRequest,
        attempt: int,
    ) -> Ended:
        assert self._session is not None
        sent = request.headers.copy()
        sent[headers.REQUEST_ID] = request.request_id
        sent[headers.CLIENT_ACCOUNT] = request.client_account
        sent[headers.ATTEMPT] = str(attempt)
        url = f"http://{upstream.address}:{upstream.port}{request.path}"
        async with self._session.request(
            request.method,
            url,
            headers=sent,
            data=request.body or None,
            allow_redirects=False,
        ) as resp:
            body = await resp.read()
            load = headers.parse_load(resp.headers.get(headers.LOAD))
            if resp.headers.get(headers.REQUEST_ID) != request.request_id:
                return Ended(result=calls.Crossed(), load=load)
            if _is_shed(resp):
                return Ended(result=calls.Shed(), load=load)
            return Ended(
                result=calls.Answered(
                    status=resp.status, failed=resp.status >= 500
                ),
                load=load,
                answer=Answer(
                    status=resp.status,
                    headers=end_to_end_headers(resp.headers),
                    body=body,
                ),
            )


def _is_shed(resp: aiohttp.ClientResponse) -> bool:
    return (
        resp.status == 503
        and resp.headers.get(headers.OUTCOME) == errors.Outcome.NOT_RUN
    )


def end_to_end_headers(
    received: multidict.CIMultiDictProxy[str],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that a proxy passes on (RFC 9110, 7.6.1)."""
    reserved = frozenset(name.lower() for name in headers.RESERVED)
    return tuple(
        (str(name), value)
        for name, value in received.items()
        if name.lower() not in _HOP_BY_HOP and name.lower() not in reserved
    )
