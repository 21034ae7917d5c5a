"""Reply of a node to a query for the freshness of its configuration."""

from typing import Annotated

import msgspec


class FreshnessReply(msgspec.Struct, frozen=True, kw_only=True):
    """How long ago a version of the configuration was known to be the newest.

    Attributes:
        version: version in force at the replying node, None before the first.
        age_s: time since the node's version, or an older one, was the newest
            of the store; None where the node has no proof.
    """

    version: int | None
    age_s: Annotated[float, msgspec.Meta(ge=0)] | None


def encode(reply: FreshnessReply) -> bytes:
    """Returns the JSON document of a reply."""
    return msgspec.json.encode(reply)


def decode(data: bytes) -> FreshnessReply:
    """Returns the reply in a JSON document.

    Raises:
        msgspec.DecodeError: the document is malformed, or the age negative or
            not finite.
    """
    return msgspec.json.decode(data, type=FreshnessReply)
