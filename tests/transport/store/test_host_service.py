"""Polls of the host list and the drain rows that share one budget."""

import random

from tanagerspoke.protocol import platform
from tanagerspoke.transport.store import host_service
from tanagerspoke.transport.store import metered_platform
from tests import stack as stacks


class _Platform:
    """A platform with a budget that only short reads fit into at first.

    Attributes:
        reads: names of the reads that were tried, in order.
    """

    def __init__(self, *, deferrals: int) -> None:
        self._deferrals = deferrals
        self.reads: list[str] = []

    async def has_read_both(self) -> bool:
        return "drains" in self.reads and (
            self.reads.count("hosts") > self._deferrals
        )

    async def hosts(self, *, known_version: int) -> None:
        del known_version
        self.reads.append("hosts")
        if self.reads.count("hosts") <= self._deferrals:
            raise metered_platform.DeferredError("deferred")

    async def scan(self, **params: object) -> platform.ScanReply:
        del params
        self.reads.append("drains")
        return platform.ScanReply(rows=(), more=False)


async def test_short_read_does_not_overtake_a_deferred_one() -> None:
    """Guards against a host list that waits for longer than a drain may take.

    Each read of the drain rows would use the bytes that it waits for.
    """
    fake = _Platform(deferrals=5)
    service = host_service.HostService(
        poll_interval_s=1.0,
        platform=fake,
        on_hosts=lambda host_list: None,
        on_draining=lambda upstream_id: None,
        rng=random.Random(1),
    )
    await service.start()
    try:
        await stacks.wait_until(fake.has_read_both, "both reads")
    finally:
        await service.stop()
    first = fake.reads.index("hosts")
    assert fake.reads[first : first + 6] == ["hosts"] * 6
