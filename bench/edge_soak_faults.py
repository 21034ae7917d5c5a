"""Random faults of the edge soak test, drawn from a seed."""

import asyncio
from collections.abc import Mapping
import dataclasses
import random
import signal
from typing import Any, TypeAlias

from bench import edge_fleet
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


Fault: TypeAlias = (
    soak_faults.Kill
    | soak_faults.Freeze
    | soak_faults.StandinFault
    | Restart
    | Reload
    | Compaction
    | LinkFault
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
    """Injects faults into edges, workers, the store and links."""

    def __init__(
        self,
        *,
        fleet: edge_fleet.EdgeFleet,
        links: Mapping[str, tcp_link.TcpLink],
    ) -> None:
        super().__init__()
        self._fleet = fleet
        self._links = links

    def target_of(self, fault: Fault) -> str:
        """Implements `FaultInjector`."""
        match fault:
            case (
                soak_faults.Kill() | soak_faults.Freeze() | Restart() | Reload()
            ):
                return fault.program
            case soak_faults.StandinFault(name=name):
                return name
            case LinkFault(link=link):
                return link
        return "store"

    async def begin(self, fault: Fault) -> None:
        """Implements `FaultInjector`."""
        match fault:
            case soak_faults.Kill(program=program):
                self._fleet.kill(program)
            case soak_faults.Freeze(program=program):
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
                _apply_link_fault(self._links[link], effect)

    async def end(self, fault: Fault) -> None:
        """Implements `FaultInjector`."""
        match fault:
            case soak_faults.Kill(program=program):
                self._fleet.restart(program)
            case soak_faults.Freeze(program=program):
                self._fleet[program].resume()
            case Restart(program=program):
                await asyncio.to_thread(self._fleet[program].wait)
                self._fleet.restart(program)
            case soak_faults.StandinFault(name=name):
                await self._fleet.set_faults(name)
            case LinkFault(link=link):
                self._links[link].restore()
            case Reload() | Compaction():
                pass


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
