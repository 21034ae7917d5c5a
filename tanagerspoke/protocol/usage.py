"""Datagrams in which nodes ask for tokens of client accounts.

The decoder checks the ranges. Messages are encoded as arrays, because most
nodes send one for nearly each call.
"""

import enum
import math
from typing import Annotated, TypeAlias

import msgspec

from tanagerspoke.protocol import ranges

# A request holds an account's name of at most 200 bytes and few numbers.
MAX_DATAGRAM_BYTES = 256
# Largest number of calls that one request states as waiting, and of further
# tokens that it asks for. Another request asks for the rest.
MAX_TOKENS = 1000
REQUEST_IDS = 2**32
_MAX_MS = 3_600_000

_RequestId = Annotated[int, msgspec.Meta(ge=0, lt=REQUEST_IDS)]
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
_Granted = Annotated[int, msgspec.Meta(ge=0, le=2 * MAX_TOKENS)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=_MAX_MS)]


class Result(enum.IntEnum):
    """How a node answered a request for tokens.

    GRANTED: all calls that wait got a token.
    OVER_LIMIT: the owner has no more tokens.
    POOL_EMPTY: the backup owner has no more tokens.
    NOT_OWNER: the node is neither, by its own list of nodes.
    """

    GRANTED = 0
    OVER_LIMIT = 1
    POOL_EMPTY = 2
    NOT_OWNER = 3


class TokenRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=1
):
    """Asks for tokens of an account.

    Attributes:
        request_id: number of the request at its sender.
        waiting: calls that wait for a token; with 0 and nothing extra, the
            request only checks that the node answers.
        extra: further tokens, for calls that are expected soon. Without calls
            that wait, they are for callers that return after a refusal.
    """

    request_id: _RequestId
    account: ranges.Name
    waiting: _Tokens
    extra: _Tokens = 0

    @property
    def is_for_retries(self) -> bool:
        """Whether the tokens are for callers that return."""
        return not self.waiting and self.extra > 0


class TokenReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=2
):
    """Answers a request.

    Attributes:
        granted: number of tokens; also where `result` is not `GRANTED`.
        next_token_ms: time until the node has a token at all.
        retry_after_ms: time after which the first call without a token should
            come back; it takes into account what others were told.
    """

    request_id: _RequestId
    result: Result
    granted: _Granted = 0
    next_token_ms: _Milliseconds = 0
    retry_after_ms: _Milliseconds = 0


Message: TypeAlias = TokenRequest | TokenReply


def to_ms(seconds: float) -> int:
    """Returns a duration in ms, rounded up, within the range of messages."""
    return math.ceil(min(max(0.0, seconds) * 1000.0, _MAX_MS))
