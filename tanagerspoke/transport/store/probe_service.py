"""Probes the load endpoints of upstreams."""

import asyncio
from collections.abc import Callable, Iterable
import logging
import time

import aiohttp
import mode

from tanagerspoke import exceptions
from tanagerspoke.coordination import budget
from tanagerspoke.coordination import probing
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import headers
from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport import background_tasks
from tanagerspoke.transport.operations import supervision
from tanagerspoke.transport.store import control_meter

log = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.25
_PROBE_TIMEOUT_S = 1.0

# A probe of an unresponsive upstream takes the whole timeout. Running several
# probes at a time lets those of other upstreams continue meanwhile.
_MAX_RUNNING_PROBES = 4


class ProbeService(mode.Service):
    """Sends due probes within the control budget.

    Args:
        meter: control budget.
        on_load: called with each load report.
        rng: for the order of the probes.
    """

    def __init__(
        self,
        *,
        meter: control_meter.ControlMeter,
        on_load: Callable[[agent.ProbedLoad], None],
        rng: randomness.Random,
    ) -> None:
        super().__init__()
        self._meter = meter
        self._on_load = on_load
        self._prober = probing.Prober(rng=rng)
        self._probes = background_tasks.BackgroundTasks()
        self._session: aiohttp.ClientSession | None = None

    def set_upstreams(self, listed: Iterable[upstreams.Upstream]) -> None:
        """Sets the upstreams to probe."""
        self._prober.set_upstreams(listed)

    def record_reports(self, upstream_ids: Iterable[str]) -> None:
        """Records the upstreams whose responses carried a load report."""
        self._prober.record_reports(upstream_ids, now=time.monotonic())

    async def on_start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        )

    async def on_stop(self) -> None:
        """Cancels running probes and closes all connections."""
        self._probes.cancel()
        if self._session is not None:
            await self._session.close()

    @mode.Service.task
    @supervision.restarted
    async def _start_probes(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_TICK_INTERVAL_S)
            if len(self._probes) < _MAX_RUNNING_PROBES:
                self._start_probe()

    def _start_probe(self) -> None:
        upstream = self._prober.next_upstream(now=time.monotonic())
        if upstream is None:
            return
        grant = self._meter.request(
            budget.Kind.PROBE, budget.HTTP_OVERHEAD_BYTES
        )
        if grant is None:
            return
        self._prober.record_probe_start(
            upstream.upstream_id, now=time.monotonic()
        )
        self._probes.start(self._probe(upstream, grant))

    async def _probe(
        self, upstream: upstreams.Upstream, grant: budget.Grant
    ) -> None:
        load = None
        try:
            load = await self._read_load(upstream)
        finally:
            self._meter.settle(grant, budget.HTTP_OVERHEAD_BYTES)
        self._prober.record_probe_result(
            upstream.upstream_id, load, now=time.monotonic()
        )
        if load is not None:
            self._on_load(
                agent.ProbedLoad(upstream_id=upstream.upstream_id, load=load)
            )

    async def _read_load(
        self, upstream: upstreams.Upstream
    ) -> upstreams.LoadReport | None:
        assert self._session is not None
        url = f"http://{upstream.address}:{upstream.port}/load"
        try:
            async with self._session.get(url) as resp:
                if resp.status != 200:
                    return None
                return headers.parse_load(resp.headers.get(headers.LOAD))
        except exceptions.ProtocolError as exc:
            log.warning(
                "load_report_malformed",
                extra={"upstream": upstream.upstream_id, "error": str(exc)},
            )
            return None
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            log.debug(
                "probe_failed",
                extra={
                    "upstream": upstream.upstream_id,
                    "error": f"{type(exc).__name__}: {exc}",
                },
            )
            return None
