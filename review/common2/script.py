"""Entry point of the scripts: record, exit code and time limit."""

import asyncio
from collections.abc import Awaitable, Callable
import os
import pathlib
import sys
import traceback

from review.common2 import fleet as fleets

_TIME_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def main(
    folder: str,
    case: Callable[[fleets.Fleet, bool], Awaitable[bool]],
    *,
    bounds: str = "",
) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: folder of the case, for `record.txt`.
        case: gets the deployment and whether to bring the disruption about;
            returns whether the rule held.
        bounds: see `fleets.Fleet`.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    path = pathlib.Path(folder) / "record.txt"
    with path.open("w") as record:
        sys.exit(asyncio.run(_run(record, case, trouble, bounds)))


async def _run(record, case, trouble: bool, bounds: str) -> int:
    fleet = fleets.Fleet(record=record, bounds=bounds)
    try:
        fleet.note("start", trouble=trouble)
        async with asyncio.timeout(_TIME_LIMIT_S):
            held = await case(fleet, trouble)
    except Exception:
        fleet.note("could not run", error=traceback.format_exc())
        traceback.print_exc()
        return NOT_RUN
    finally:
        await fleet.close()
    fleet.note("rule held" if held else "rule broken")
    fleet.say("rule held" if held else "rule broken")
    return HELD if held else BROKEN
