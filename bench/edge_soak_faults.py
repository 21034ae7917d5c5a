"""Random faults of the edge soak test, drawn from a seed."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Mapping
import dataclasses
import math
import random
import signal
import time
from typing import Any, TypeAlias

from bench import edge_fleet
from bench import edge_soak_bounds
from bench import soak_faults
from tests import tcp_link

_STORE_FAULTS: tuple[dict[str, Any], ...] = (
    {"down": True},
    {"silent": True},
    {"resets": True},
    {"delay_ms": 300},
    {"delay_ms": 1500},
    {"lose_answers": True},
    {"lose_answers": True, "delay_ms": 200},
    {"late_writes_ms": 3000},
)
_WORKER_FAULTS: tuple[dict[str, Any], ...] = (
    {"slow_factor": 20},
    {"shed": 0.5},
    {"lost": 0.3},
    {"truncated": 0.3},
    {"doubled": 0.3},
    {"shed": 0.5, "late_copies": 0.3},
    {"unhealthy": 0.5, "late_copies": 0.3},
    {"unsigned": 0.3},
    {"mute": 0.3},
)
_LINK_DELAY_S = 0.2
# Links to workers are named after them.
_WORKER_LINK_PREFIX = "to-"
_MAX_OPERATION_PAUSE_S = 2.0
# More than half, because evacuations are skipped during faults of the store.
_EVACUATION_SHARE = 0.6
# The operations last longer than the bound that they test.
_MIN_EVACUATION_S = edge_fleet.EVACUATE_S + 1.5
_MAX_EVACUATION_S = edge_fleet.EVACUATE_S + 4.0
_MIN_REVOCATION_S = edge_fleet.REVOKE_S + 1.0
_MAX_REVOCATION_S = edge_fleet.REVOKE_S + 3.0
_PAUSES: tuple[dict[str, Any], ...] = (
    {"shed": 0.5, "pause_s": 1.0},
    {"shed": 0.2, "pause_s": 1.5},
    {"shed": 0.2, "pause_s": 3.0},
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Restart:
    """Sends SIGTERM; starts the process again after it has ended."""

    program: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reload:
    """Sends SIGHUP, which makes an edge reload its settings."""

    program: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Compaction:
    """Makes the store drop its change history."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkFault:
    """Disturbs a link.

    Attributes:
        effect: `cut`, `stall`, `stall_answers` or `delay`.
    """

    link: str
    effect: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evacuation:
    """Evacuates a zone, and returns it to service at the end.

    Its target is the store, so it does not overlap with faults of the store:
    an operator whose write was confirmed had reached the store.
    """

    zone: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Revocation:
    """Revokes a key while an edge is cut off from the store.

    Attributes:
        link: link of the edge to the store.
        effect: effect on the link; see `LinkFault`.
    """

    link: str
    effect: str


Fault: TypeAlias = (
    soak_faults.Kill
    | soak_faults.Freeze
    | soak_faults.StandinFault
    | Restart
    | Reload
    | Compaction
    | LinkFault
    | Evacuation
    | Revocation
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Targets:
    """Names of the processes and links that faults may affect."""

    edges: tuple[str, ...]
    workers: tuple[str, ...]
    links: tuple[str, ...]


def draw_schedules(
    *, seed: int, seconds: float, targets: Targets, planned_only: bool
) -> tuple[tuple[soak_faults.ScheduledFault[Fault], ...], ...]:
    """Returns schedules of faults, which are the same for the same seed.

    Args:
        seed: seed of all random choices.
        seconds: faults start within this time.
        targets: processes and links that faults may affect.
        planned_only: whether to draw only planned operations (restarts and
            reloads), during which no call may be lost.
    """
    rng = random.Random(seed)
    draw_fault = _draw_planned_operation if planned_only else _draw_any_fault
    return soak_faults.build_schedules(
        rng=rng, seconds=seconds, draw_fault=lambda: draw_fault(rng, targets)
    )


def draw_operations(
    *, seed: int, seconds: float, targets: Targets, planned_only: bool
) -> tuple[tuple[soak_faults.ScheduledFault[Fault], ...], ...]:
    """Returns schedules of what concerns accounts, workers' starts and zones.

    One has evacuations and revocations, the other has pauses and new starts of
    workers, which are cold then. They are the same for the same seed.

    Args:
        seed: seed of all random choices.
        seconds: the operations start within this time.
        targets: processes that operations may affect.
        planned_only: whether to draw only evacuations and planned restarts.
    """
    rng = random.Random(f"{seed}-operations")
    operations = _draw_operations(rng, seconds, targets.edges, planned_only)
    draw_start = _draw_planned_start if planned_only else _draw_start_or_pause
    starts_and_pauses, *_ = soak_faults.build_schedules(
        rng=rng, seconds=seconds, draw_fault=lambda: draw_start(rng, targets)
    )
    return (tuple(operations), starts_and_pauses)


def _draw_planned_start(rng: random.Random, targets: Targets) -> Fault:
    return Restart(program=rng.choice(targets.workers))


def _draw_start_or_pause(rng: random.Random, targets: Targets) -> Fault:
    worker = rng.choice(targets.workers)
    match rng.randrange(4):
        case 0:
            return Restart(program=worker)
        case 1:
            return soak_faults.Kill(program=worker)
    return soak_faults.StandinFault(name=worker, faults=rng.choice(_PAUSES))


def _draw_operations(
    rng: random.Random,
    seconds: float,
    edges: tuple[str, ...],
    planned_only: bool,
) -> Iterator[soak_faults.ScheduledFault[Fault]]:
    end_s = 0.0
    while True:
        start_s = end_s + rng.uniform(0.0, _MAX_OPERATION_PAUSE_S)
        if start_s >= seconds:
            return
        operation: Fault
        if planned_only or rng.random() < _EVACUATION_SHARE:
            operation = Evacuation(zone=rng.choice(edge_fleet.ZONES))
            end_s = start_s + rng.uniform(_MIN_EVACUATION_S, _MAX_EVACUATION_S)
        else:
            operation = Revocation(
                link=f"{rng.choice(edges)}-store",
                effect=rng.choice(("cut", "stall", "stall_answers")),
            )
            end_s = start_s + rng.uniform(_MIN_REVOCATION_S, _MAX_REVOCATION_S)
        yield soak_faults.ScheduledFault(
            start_s=start_s, end_s=min(end_s, seconds), fault=operation
        )


def _draw_planned_operation(rng: random.Random, targets: Targets) -> Fault:
    match rng.randrange(3):
        case 0:
            return Restart(program=rng.choice(targets.edges))
        case 1:
            return Restart(program=rng.choice(targets.workers))
    return Reload(program=rng.choice(targets.edges))


def _draw_any_fault(rng: random.Random, targets: Targets) -> Fault:
    programs = targets.edges + targets.workers
    match rng.randrange(8):
        case 0:
            return soak_faults.Kill(program=rng.choice(programs))
        case 1:
            return soak_faults.Freeze(program=rng.choice(programs))
        case 2:
            return _draw_planned_operation(rng, targets)
        case 3:
            return Compaction()
        case 4:
            return soak_faults.StandinFault(
                name="store", faults=rng.choice(_STORE_FAULTS)
            )
        case 5:
            return soak_faults.StandinFault(
                name=rng.choice(targets.workers),
                faults=rng.choice(_WORKER_FAULTS),
            )
    return LinkFault(
        link=rng.choice(targets.links),
        effect=rng.choice(("cut", "stall", "stall_answers", "delay")),
    )


class EdgeFaultInjector(soak_faults.FaultInjector):
    """Injects faults into edges, workers, the store and links.

    Attributes:
        evacuations: evacuations so far.
        delays: freezes and disturbances of links to workers so far.
    """

    def __init__(
        self,
        *,
        fleet: edge_fleet.EdgeFleet,
        links: Mapping[str, tcp_link.TcpLink],
        revoke_key: Callable[[], Awaitable[None]],
    ) -> None:
        """Creates an injector.

        Args:
            fleet: processes that faults affect.
            links: links by name.
            revoke_key: writes a manifest without one of the keys.
        """
        super().__init__()
        self._fleet = fleet
        self._links = links
        self._revoke_key = revoke_key
        self.evacuations: list[edge_soak_bounds.Evacuation] = []
        self.delays: list[edge_soak_bounds.Delay] = []

    def target_of(self, fault: Fault) -> str:
        """Implements `FaultInjector`."""
        match fault:
            case (
                soak_faults.Kill() | soak_faults.Freeze() | Restart() | Reload()
            ):
                return fault.program
            case soak_faults.StandinFault(name=name):
                return name
            case LinkFault(link=link) | Revocation(link=link):
                return link
        return "store"

    async def begin(self, fault: Fault) -> None:
        """Implements `FaultInjector`."""
        match fault:
            case soak_faults.Kill(program=program):
                self._fleet.kill(program)
            case soak_faults.Freeze(program=program):
                self._begin_delay(program, holds_requests=True)
                self._fleet[program].freeze()
            case Restart(program=program):
                self._fleet[program].send_signal(signal.SIGTERM)
            case Reload(program=program):
                self._fleet[program].send_signal(signal.SIGHUP)
            case soak_faults.StandinFault(name=name, faults=faults):
                await self._fleet.set_faults(name, **faults)
            case Compaction():
                await self._fleet.compact_store()
            case LinkFault(link=link, effect=effect):
                self._begin_delay(
                    link.removeprefix(_WORKER_LINK_PREFIX),
                    holds_requests=effect in ("stall", "delay"),
                )
                _apply_link_fault(self._links[link], effect)
            case Evacuation(zone=zone):
                self.evacuations.append(
                    edge_soak_bounds.Evacuation(
                        zone=zone,
                        confirmed_at=await self._fleet.set_evacuated(
                            zone, evacuated=True
                        ),
                    )
                )
            case Revocation(link=link, effect=effect):
                _apply_link_fault(self._links[link], effect)
                await self._revoke_key()

    async def end(self, fault: Fault) -> None:
        """Implements `FaultInjector`."""
        match fault:
            case soak_faults.Kill(program=program):
                self._fleet.restart(program)
            case soak_faults.Freeze(program=program):
                self._fleet[program].resume()
                self._end_delay(program)
            case Restart(program=program):
                await asyncio.to_thread(self._fleet[program].wait)
                self._fleet.restart(program)
            case soak_faults.StandinFault(name=name):
                await self._fleet.set_faults(name)
            case LinkFault(link=link):
                self._links[link].restore()
                self._end_delay(link.removeprefix(_WORKER_LINK_PREFIX))
            case Revocation(link=link):
                self._links[link].restore()
            case Evacuation(zone=zone):
                if self.evacuations:
                    self.evacuations[-1].removal_sent_at = time.monotonic()
                await self._fleet.set_evacuated(zone, evacuated=False)
            case Reload() | Compaction():
                pass

    def _begin_delay(self, name: str, *, holds_requests: bool) -> None:
        self.delays.append(
            edge_soak_bounds.Delay(
                name=name,
                holds_requests=holds_requests,
                started_at=time.monotonic(),
            )
        )

    def _end_delay(self, name: str) -> None:
        """Ends the last delay of the name; `math.inf` marks open ones."""
        for delay in reversed(self.delays):
            if delay.name == name and delay.ended_at == math.inf:
                delay.ended_at = time.monotonic()
                return


def _apply_link_fault(link: tcp_link.TcpLink, effect: str) -> None:
    match effect:
        case "cut":
            link.cut()
        case "stall":
            link.stall()
        case "stall_answers":
            link.stall_answers()
        case "delay":
            link.delay_s = _LINK_DELAY_S
