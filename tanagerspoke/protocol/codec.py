"""MessagePack codec of the messages between processes of this system."""

from typing import Any, TypeVar

import msgspec

from tanagerspoke import exceptions

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()


def encode(message: Any) -> bytes:
    """Returns the MessagePack encoding of a message."""
    return _encoder.encode(message)


class Decoder:
    """Decodes and validates messages of one type."""

    def __init__(self, *, message_type: Any) -> None:
        self._decoder = msgspec.msgpack.Decoder(message_type)

    def decode(self, data: bytes) -> Any:
        """Returns the message.

        Raises:
            ProtocolError: the data is not a valid message of the type.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise exceptions.ProtocolError(f"malformed message: {exc}") from exc
