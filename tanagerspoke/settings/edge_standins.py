"""Options of the stand-ins that the edge runs against."""

import pathlib
from typing import Annotated

import pydantic
from pydantic import dataclasses

from tanagerspoke.settings import options

_CONFIG = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class StandinStore:
    """Options of the stand-in of the metadata store.

    Attributes:
        lapse_s: time without a report after which a worker's entry is
            removed.
        page_rows: maximum number of rows in a reply.
    """

    listen: options.Endpoint
    page_rows: Annotated[int, pydantic.Field(ge=1)] = 500
    lapse_s: options.PositiveSeconds = 1.5
    log_level: options.LogLevel = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True, config=_CONFIG)
class StandinWorker:
    """Options of the stand-in of a worker that the edge calls.

    Attributes:
        advertised: endpoint in its entry; differs from `listen` if calls pass
            through a simulated link.
        store: endpoint of the store that holds its entry.
        run_log: file with one JSON line for each request that it ran.
        queue_length: maximum number of requests that wait for a slot; further
            ones are shed.
        work_ms: mean work time of a request.
        heartbeat_s: interval between reports of its entry.
        drain_s: time for which it keeps serving after it reported that it is
            draining.
        cold_start_s: time after the start in which it works slowly.
        cold_factor: factor on the work time while it is cold.
    """

    name: str
    service: str
    availability_zone: str
    listen: options.Endpoint
    advertised: options.Endpoint
    store: options.Endpoint
    run_log: pathlib.Path
    slots: Annotated[int, pydantic.Field(ge=1)] = 3
    queue_length: Annotated[int, pydantic.Field(ge=0)] = 6
    work_ms: Annotated[float, pydantic.Field(gt=0)] = 20.0
    heartbeat_s: options.PositiveSeconds = 0.5
    drain_s: Annotated[float, pydantic.Field(ge=0)] = 2.0
    cold_start_s: Annotated[float, pydantic.Field(ge=0)] = 0.0
    cold_factor: Annotated[float, pydantic.Field(ge=1)] = 2.0
    seed: int = 0
    log_level: options.LogLevel = "INFO"
