"""Limits the bytes of a connection that are neither body nor a whole head."""

from aiohttp import streams

# Separators of 128 header lines and of the request line, with some spaces.
_SEPARATOR_BYTES = 1024


class FramingLimit:
    """Counts bytes since the last head that was complete, or body byte.

    Empty lines, heads without end, and the extensions and trailers of chunked
    bodies count. The read that completes a head or contains body bytes does
    not count, so the limit acts up to one read late.
    """

    __slots__ = ("_body_state", "_payload", "size_bytes")

    def __init__(self, *, payload: streams.StreamReader | None) -> None:
        """Starts the count.

        Args:
            payload: body of the last complete head, None if there was none.
        """
        self.size_bytes = 0
        self._payload = payload
        self._body_state: tuple[int, bool] | None = None

    @property
    def is_in_body(self) -> bool:
        """Whether the body of the last head is not complete."""
        return self._payload is not None and not self._payload.is_eof()

    def add(self, size_bytes: int) -> None:
        """Counts a read that completed no head."""
        payload = self._payload
        if payload is not None and payload is not streams.EMPTY_PAYLOAD:
            state = (payload.total_bytes, payload.is_eof())
            if state != self._body_state:
                self._body_state = state
                self.size_bytes = 0
                return
        self.size_bytes += size_bytes

    def is_exceeded(self, max_header_bytes: int) -> bool:
        """Whether no head, and no headers within the limits, is this long."""
        return self.size_bytes > 2 * max_header_bytes + _SEPARATOR_BYTES
