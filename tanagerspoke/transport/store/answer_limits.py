"""Bounds on the answers of the platform's store.

A larger answer is a fault of the store or of what was written to it. It counts
as a failed read, so that it neither fills the memory of the process nor takes
the place of what was read before.
"""

import re

import aiohttp

from tanagerspoke import exceptions

# The same as of a frame of the zone feed, which carries the same state. A
# manifest of 5,000 routes with long names takes 1.8 MB, base64 included.
MAX_ANSWER_BYTES = 16_777_216
# Rows of one read, in all of its answers. The largest documented deployment
# has 170 nodes and 141 upstreams; a feed may repeat each change of a row. With
# 50,000 rows, a read raised the memory of the process by 65 MB.
MAX_READ_ROWS = 20_000
# The documented answers have three levels; newer ones may have more.
_MAX_NESTING = 32
_MAX_ERROR_CHARS = 300

# Strings, also without an end. Possessive, so that the time stays linear.
_STRINGS = re.compile(rb'"[^"\\]*+(?:\\.?[^"\\]*+)*+"?', re.DOTALL)
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


async def read_body(
    resp: aiohttp.ClientResponse, *, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Returns the body of a response, decompressed.

    Raises:
        AnswerRejectedError: the body is larger than `max_bytes`. What follows
            is not read, and the connection closes.
    """
    source = f"{resp.method} {resp.url.path}"
    if resp.content_length is not None and resp.content_length > max_bytes:
        resp.close()
        raise exceptions.AnswerRejectedError(
            f"{source}: {resp.content_length} bytes, more than {max_bytes}"
        )
    body = bytearray()
    async for part in resp.content.iter_any():
        body += part
        if len(body) > max_bytes:
            resp.close()
            raise exceptions.AnswerRejectedError(
                f"{source}: more than {max_bytes} bytes"
            )
    return bytes(body)


def check_structure(body: bytes, *, max_rows: int = MAX_READ_ROWS) -> None:
    """Checks nesting and the number of rows before a document is decoded.

    The decoder would allocate all rows before it could count them.

    Args:
        body: JSON document.
        max_rows: number of objects and arrays, `_MAX_NESTING` more for what
            encloses the rows.

    Raises:
        AnswerRejectedError: the document has more levels or rows.
    """
    if _opening_count(body) <= _MAX_NESTING:
        return
    brackets = _STRINGS.sub(b"", body).translate(None, _NOT_BRACKETS)
    if _opening_count(brackets) > max_rows + _MAX_NESTING:
        raise exceptions.AnswerRejectedError(f"more than {max_rows} rows")
    # Each round removes the innermost level.
    for _ in range(_MAX_NESTING):
        size = len(brackets)
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
        if len(brackets) == size:
            break
    if brackets:
        raise exceptions.AnswerRejectedError(
            f"not well-formed within {_MAX_NESTING} levels of nesting"
        )


def _opening_count(document: bytes) -> int:
    return document.count(b"{") + document.count(b"[")


def error_text(exc: Exception) -> str:
    """Returns an exception's type and text, short enough for a log line.

    The text may quote what the store sent.
    """
    return f"{type(exc).__name__}: {exc}"[:_MAX_ERROR_CHARS]
