"""Clock that also counts while the machine is suspended."""

import time


def now_s() -> float:
    """Returns seconds since the start of the machine.

    `time.monotonic` stops while the machine is suspended, so that a time-out
    that is measured with it would be too long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
