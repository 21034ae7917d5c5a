"""Shares of memory and descriptors that callers may use."""

import dataclasses

# An edge holds 64 MB before it serves callers; the rest is for parsers,
# uncounted requests and the allocator. See docs/design/memory-of-callers.md
# for the figures.
_PROCESS_BYTES = 76_000_000
# Lower bound on the callers' share where the machine is very small.
_MIN_SHARE = 1 / 8
# Part of the callers' memory that only ordinary requests may use. The rest of
# the smallest machine's 76 MB holds one body of 67,108,864 bytes, the largest
# that the platform allows.
_ORDINARY_SHARE = 1 / 10
# Each running call may need a second descriptor, for its upstream; the rest is
# for peers, the store, and connections that are accepted at once.
_CONNECTIONS_PER_DESCRIPTOR = 1 / 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemoryLimits:
    """Bytes that all callers of a process may hold together.

    Attributes:
        total_bytes: limit on everything that is counted.
        large_bytes: limit that applies to requests that are not ordinary.
        ordinary_request_bytes: size up to which a request is ordinary. The
            largest ordinary body of any client has 360 KB.
        stalled_s: time without progress after which a request may be closed
            for another one.
    """

    total_bytes: int
    large_bytes: int
    ordinary_request_bytes: int = 1_048_576
    stalled_s: float = 2.0


def memory_limits(memory_bytes: int) -> MemoryLimits | None:
    """Returns the limits for a process, None if its memory is not known."""
    if memory_bytes == 0:
        return None
    total_bytes = max(
        memory_bytes - _PROCESS_BYTES, int(memory_bytes * _MIN_SHARE)
    )
    return MemoryLimits(
        total_bytes=total_bytes,
        large_bytes=int(total_bytes * (1 - _ORDINARY_SHARE)),
    )


def max_connections(max_descriptors: int) -> int | None:
    """Returns the limit on callers' connections, None if there is none."""
    if max_descriptors == 0:
        return None
    return max(1, int(max_descriptors * _CONNECTIONS_PER_DESCRIPTOR))
