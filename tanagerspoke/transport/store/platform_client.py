"""HTTP client of the platform's table, object store and host list."""

from typing import Any

import aiohttp
import msgspec

from tanagerspoke import exceptions
from tanagerspoke.protocol import platform
from tanagerspoke.settings import options
from tanagerspoke.transport.store import answer_limits

_transaction_reply_decoder = msgspec.json.Decoder(platform.TransactionReply)
_row_decoder = msgspec.json.Decoder(platform.Row)
_scan_reply_decoder = msgspec.json.Decoder(platform.ScanReply)
_host_list_decoder = msgspec.json.Decoder(platform.HostList)


class PlatformClient:
    """Calls the platform; each call ends after `timeout_s` at the latest.

    Every call raises `PlatformUnavailableError` if there is no valid reply, and
    its subclass `AnswerRejectedError` if the reply exceeds a bound. It is
    unknown then whether a transaction took effect.
    """

    def __init__(self, *, endpoint: options.Endpoint, timeout_s: float) -> None:
        self._base_url = f"http://{endpoint.address}:{endpoint.port}"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def transact(
        self, transaction: platform.Transaction
    ) -> platform.TransactionReply:
        """Commits a transaction, or returns the conditions that failed."""
        status, body = await self._call(
            "POST", "/table/transact", data=msgspec.json.encode(transaction)
        )
        _check_status(status, (200, 409))
        return _decode(_transaction_reply_decoder, body)

    async def get(self, key: str) -> platform.Row | None:
        """Returns a row, or None if it does not exist."""
        status, body = await self._call(
            "GET", "/table/row", params={"key": key}
        )
        _check_status(status, (200, 404))
        return None if status == 404 else _decode(_row_decoder, body)

    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 500
    ) -> platform.ScanReply:
        """Returns rows of a prefix in key order, after the key `after`."""
        status, body = await self._call(
            "GET",
            "/table/scan",
            params={"prefix": prefix, "after": after, "limit": str(limit)},
        )
        _check_status(status, (200,))
        return _decode(_scan_reply_decoder, body)

    async def put_object(self, *, key: str, data: bytes) -> bool:
        """Stores an object; returns False if the key exists already."""
        status, _ = await self._call(
            "PUT",
            f"/objects/{key}",
            data=data,
            headers={"If-None-Match": "*"},
        )
        _check_status(status, (201, 412))
        return status == 201

    async def get_object(self, key: str) -> bytes | None:
        """Returns an object, or None if it does not exist."""
        status, body = await self._call("GET", f"/objects/{key}")
        _check_status(status, (200, 404))
        return None if status == 404 else body

    async def hosts(
        self, *, known_version: int = -1
    ) -> platform.HostList | None:
        """Returns the host list, or None if it still has the known version."""
        status, body = await self._call(
            "GET", "/hosts", params={"known_version": str(known_version)}
        )
        _check_status(status, (200, 304))
        return None if status == 304 else _decode(_host_list_decoder, body)

    async def _call(
        self, method: str, path: str, **kwargs: Any
    ) -> tuple[int, bytes]:
        if self._session is None:
            raise exceptions.PlatformUnavailableError("client is closed")
        try:
            async with self._session.request(
                method, self._base_url + path, **kwargs
            ) as resp:
                return resp.status, await answer_limits.read_body(resp)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise exceptions.PlatformUnavailableError(
                f"{method} {path}: {answer_limits.error_text(exc)}"
            ) from exc


def _check_status(status: int, accepted: tuple[int, ...]) -> None:
    if status not in accepted:
        raise exceptions.PlatformUnavailableError(
            f"the platform replied with status {status}"
        )


def _decode(decoder: msgspec.json.Decoder, body: bytes) -> Any:
    answer_limits.check_structure(body)
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise exceptions.PlatformUnavailableError(
            f"malformed reply from the platform: {exc}"
        ) from exc
