"""Requests of commands to the operators' address of a running edge."""

import sys
from typing import TypeVar

import aiohttp
import msgspec

from tanagerspoke import exceptions
from tanagerspoke.commands import program
from tanagerspoke.transport.store import answer_limits

T = TypeVar("T")

_TIMEOUT_S = 5.0
# An edge bounds its answers far below this; a larger one is of another program.
_MAX_ANSWER_BYTES = 8 * 1024 * 1024


def ask(
    *, url: str, path: str, params: dict[str, str], answer_type: type[T]
) -> tuple[bytes, T]:
    """Returns the body of an edge's answer, and what it holds.

    Prints an error and exits with 1 if the edge can't be reached or gives no
    valid answer, and with 2 if it rejects the arguments.
    """
    status, body = program.run_command(
        name="tanagerspokectl",
        log_level="WARNING",
        job=_fetch(url.rstrip("/") + path, params),
    )
    if status == 400:
        print(_error_message(body), file=sys.stderr)
        raise SystemExit(program.EXIT_INVALID)
    try:
        if status != 200:
            raise ValueError(f"status {status}")
        return body, msgspec.json.decode(body, type=answer_type)
    except (ValueError, RecursionError) as exc:
        print(f"{url}: not an answer of an edge: {exc}", file=sys.stderr)
        raise SystemExit(program.EXIT_FAILED) from exc


async def _fetch(url: str, params: dict[str, str]) -> tuple[int, bytes]:
    """Returns status and body of the edge's answer.

    Raises:
        ProtocolError: the edge can't be reached, or its answer is too large.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, params=params) as resp,
        ):
            return resp.status, await answer_limits.read_body(
                resp, max_bytes=_MAX_ANSWER_BYTES
            )
    except exceptions.AnswerRejectedError as exc:
        message = f"{url}: not an answer of an edge: too large"
        raise exceptions.ProtocolError(message) from exc
    except TimeoutError as exc:
        message = f"{url}: no answer within {_TIMEOUT_S:g} s"
        raise exceptions.ProtocolError(message) from exc
    except (aiohttp.ClientError, ValueError) as exc:
        message = f"{url}: the edge can't be reached: {exc}"
        raise exceptions.ProtocolError(message) from exc


def _error_message(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=dict[str, str])["error"]
    except (ValueError, KeyError):
        return body.decode(errors="replace")
