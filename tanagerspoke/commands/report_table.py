"""Prints a burn report as tables."""

from collections.abc import Sequence
import datetime

from rich import console as rich_console
from rich import markup
from rich import table

from tanagerspoke.state import burn

# Wide enough for all columns of the tables; used if the output is not a
# terminal.
_FALLBACK_WIDTH_CHARACTERS = 160


def show(*, report: burn.Report, windows_s: Sequence[float]) -> None:
    """Prints service levels, late and lost replies and unknown outcomes."""
    console = rich_console.Console()
    if not console.is_terminal:
        console = rich_console.Console(width=_FALLBACK_WIDTH_CHARACTERS)
    latest_at = datetime.datetime.fromtimestamp(report.at, tz=datetime.UTC)
    console.print(
        f"{len(report.gateways)} gateways, last scrape at "
        f"{latest_at.isoformat(sep=' ', timespec='seconds')}",
        highlight=False,
    )
    console.print(_levels_table(report, windows_s))
    if report.events:
        console.print(_events_table(report))
    else:
        console.print("no late or lost replies, no unknown outcomes")


def _levels_table(
    report: burn.Report, windows_s: Sequence[float]
) -> table.Table:
    output = table.Table(title="Service-level burn, worst first")
    for name in ("client account", "service", "class", "objective"):
        output.add_column(name, overflow="fold")
    for name in ("calls", "missed", "budget left"):
        output.add_column(name, justify="right")
    for window_s in sorted(windows_s):
        output.add_column(f"burn {format_duration(window_s)}", justify="right")
    for level in report.levels:
        rates = {w.window_s: w.burn_rate for w in level.windows}
        output.add_row(
            markup.escape(level.level.client_account) or "-",
            markup.escape(level.level.service),
            level.level.call_class,
            format_objective(level.objective),
            f"{level.calls:.0f}",
            f"{level.missed:.0f}",
            _format_percent(level.budget_left),
            *(
                _format_rate(rates.get(window_s))
                for window_s in sorted(windows_s)
            ),
        )
    return output


def _events_table(report: burn.Report) -> table.Table:
    output = table.Table(title="Late and lost replies, unknown outcomes")
    for name in ("kind", "client account", "service", "upstream"):
        output.add_column(name, overflow="fold")
    output.add_column("count", justify="right")
    for event in report.events:
        output.add_row(
            event.kind.value.replace("_", " "),
            markup.escape(event.client_account),
            markup.escape(event.service),
            markup.escape(event.upstream) or "-",
            f"{event.count:.0f}",
        )
    return output


def format_objective(objective: burn.Objective) -> str:
    """Returns an objective such as `99 % in 100 ms`."""
    share = f"{objective.ratio * 100:g} %"
    if objective.latency_s is None:
        return share
    return f"{share} in {objective.latency_s * 1000:g} ms"


def format_duration(seconds: float) -> str:
    """Returns a duration such as `5 min`."""
    for unit, unit_s in (("d", 86_400), ("h", 3600), ("min", 60)):
        if seconds >= unit_s:
            return f"{seconds / unit_s:g} {unit}"
    return f"{seconds:g} s"


def _format_percent(share: float | None) -> str:
    return "-" if share is None else f"{share * 100:.1f} %"


def _format_rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.2f}"
