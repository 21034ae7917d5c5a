"""Frames of the zone feed: length, then compressed MessagePack."""

import asyncio
from collections.abc import AsyncIterator, Callable
import struct
import zlib

import aiohttp
import msgspec

from tanagerspoke import exceptions
from tanagerspoke.protocol import zone_feed

# Path of the stream of updates on a node's peer port.
FEED_PATH = "/news"
# Query parameter of the stream: a `reader_choice.FeedLevel`.
LEVEL_PARAMETER = "level"
# Path of a node's state. Unlike the feed, it ends after the last update and is
# also served by a node whose state is out of date.
STATE_PATH = "/state"
# Path of the evacuated zones alone, which a node without the store asks for.
ZONES_PATH = "/zones"
# Path to which a follower sends what it has learned from its own calls.
REPORT_PATH = "/report"
# Path to which a node sends the list of nodes at the first start of the fleet.
# Nodes of earlier versions do not have it and read the store.
NODES_PATH = "/nodes"
# Path at which a node states how recent its configuration is.
FRESHNESS_PATH = "/freshness"
# Also bounds the list of nodes: 170 of them take 2.3 KB.
MAX_REPORT_BYTES = 65_536
_FRAME_LENGTH = struct.Struct("!I")
# A routing table of thousands of routes stays well below this.
_MAX_FRAME_BYTES = 16_777_216
# Bounds the memory that a small frame can expand to.
_MAX_MESSAGE_BYTES = 67_108_864
_update_decoder = msgspec.msgpack.Decoder(zone_feed.ZoneUpdate)


def encode_frame(update: zone_feed.ZoneUpdate) -> bytes:
    """Returns the frame of an update."""
    data = encode_update(update)
    return _FRAME_LENGTH.pack(len(data)) + data


def encode_update(update: zone_feed.ZoneUpdate) -> bytes:
    """Returns the compressed content of an update's frame."""
    return zlib.compress(msgspec.msgpack.encode(update))


async def read_updates(
    stream: aiohttp.StreamReader,
    *,
    on_bytes: Callable[[int], None] = lambda size_bytes: None,
) -> AsyncIterator[zone_feed.ZoneUpdate]:
    """Yields the updates of a stream; ignores a partial frame at its end.

    Args:
        stream: body of a response.
        on_bytes: called with the size of each whole frame.

    Raises:
        ProtocolError: a frame is too long or malformed.
    """
    while True:
        try:
            header = await stream.readexactly(_FRAME_LENGTH.size)
            (length,) = _FRAME_LENGTH.unpack(header)
            if length > _MAX_FRAME_BYTES:
                raise exceptions.ProtocolError(
                    f"frame of {length} bytes is too long"
                )
            data = await stream.readexactly(length)
        except asyncio.IncompleteReadError:
            return
        on_bytes(_FRAME_LENGTH.size + length)
        yield decode_update(data)


def decode_update(data: bytes) -> zone_feed.ZoneUpdate:
    """Returns the update in a frame's compressed content.

    Raises:
        ProtocolError: the content is malformed, too long or nested too deeply,
            or a value is outside its range.
    """
    try:
        decompressor = zlib.decompressobj()
        message = decompressor.decompress(data, _MAX_MESSAGE_BYTES)
        if not decompressor.eof:
            raise exceptions.ProtocolError(
                "the content of a frame is incomplete or too long"
            )
        return _update_decoder.decode(message)
    except (
        zlib.error,
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as exc:
        raise exceptions.ProtocolError(f"malformed frame: {exc}") from exc
