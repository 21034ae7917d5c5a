"""Body of a request, held so that it costs little more than its bytes."""

import mmap

# Larger bodies get a memory mapping of their own. It is returned to the
# operating system at once, and growing it copies nothing; in a `bytearray`,
# bodies of 8 MB cost up to 1.4 times their size after some were freed.
_MAX_HEAP_BYTES = 65_536
_GROWTH_FACTOR = 1.25


class RequestBody:
    """Collects the parts of a body."""

    __slots__ = ("_map", "_small", "size_bytes")

    def __init__(self) -> None:
        self.size_bytes = 0
        # `bytes` while there is one part, which is then not copied.
        self._small: bytes | bytearray = b""
        self._map: mmap.mmap | None = None

    def append(self, data: bytes, announced_bytes: int) -> None:
        """Adds a part.

        Args:
            data: the part.
            announced_bytes: size of the whole body, 0 if it is not known.
        """
        end = self.size_bytes + len(data)
        if end <= _MAX_HEAP_BYTES:
            if not self._small:
                self._small = data
            elif isinstance(self._small, bytearray):
                self._small += data
            else:
                self._small = bytearray(self._small)
                self._small += data
        else:
            # Pages that were not written to cost nothing.
            if self._map is None:
                self._map = mmap.mmap(
                    -1,
                    max(end, announced_bytes),
                    flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS,
                )
                self._map[: self.size_bytes] = self._small
                self._small = b""
            elif end > len(self._map):
                self._map.resize(int(end * _GROWTH_FACTOR))
            self._map[self.size_bytes : end] = data
        self.size_bytes = end

    def take(self) -> bytes | memoryview:
        """Returns the whole body; this object is empty afterwards."""
        if self._map is not None:
            body: bytes | memoryview = memoryview(self._map)[: self.size_bytes]
        else:
            body = bytes(self._small)
        self.clear()
        return body

    def clear(self) -> None:
        """Frees all parts."""
        self.size_bytes = 0
        self._small = b""
        self._map = None
