"""Binary codec of the messages between our own processes."""

from typing import Any, TypeVar

import msgspec

from tanagerspoke import exceptions

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()


def encode(message: Any) -> bytes:
    """Returns the MessagePack form of a message."""
    return _encoder.encode(message)


class Decoder:
    """Checked decoder of one message type."""

    def __init__(self, *, message_type: Any) -> None:
        self._decoder = msgspec.msgpack.Decoder(message_type)

    def decode(self, data: bytes) -> Any:
        """Returns the message.

        Raises:
            ProtocolError: the data does not hold a valid message.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise exceptions.ProtocolError(f"malformed message: {exc}") from exc
