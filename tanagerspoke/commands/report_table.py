"""Shows a burn report as tables in the terminal."""

from collections.abc import Sequence
import datetime

from rich import console as rich_console
from rich import markup
from rich import table

from tanagerspoke.state import burn

# Wide enough for all columns where the output is no terminal.
_WIDTH = 160


def show(*, report: burn.Report, windows_s: Sequence[float]) -> None:
    """Prints the tables."""
    console = rich_console.Console()
    if not console.is_terminal:
        console = rich_console.Console(width=_WIDTH)
    at = datetime.datetime.fromtimestamp(report.at, tz=datetime.UTC)
    console.print(
        f"{len(report.gateways)} gateways, up to "
        f"{at.isoformat(sep=' ', timespec='seconds')}",
        highlight=False,
    )
    console.print(_levels(report, windows_s))
    if report.events:
        console.print(_events(report))
    else:
        console.print("no late or lost reply, no unknown outcome")


def _levels(report: burn.Report, windows_s: Sequence[float]) -> table.Table:
    shown = table.Table(title="Service-level burn, worst first")
    for name in ("client account", "service", "class", "objective"):
        shown.add_column(name, overflow="fold")
    for name in ("calls", "missed", "budget left"):
        shown.add_column(name, justify="right")
    for window_s in sorted(windows_s):
        shown.add_column(f"burn {duration(window_s)}", justify="right")
    for level in report.levels:
        rates = {w.window_s: w.burn_rate for w in level.windows}
        shown.add_row(
            markup.escape(level.level.client_account) or "-",
            markup.escape(level.level.service),
            level.level.call_class,
            objective(level.objective),
            f"{level.calls:.0f}",
            f"{level.missed:.0f}",
            _percent(level.budget_left),
            *(_rate(rates.get(window_s)) for window_s in sorted(windows_s)),
        )
    return shown


def _events(report: burn.Report) -> table.Table:
    shown = table.Table(title="Late and lost replies, unknown outcomes")
    for name in ("kind", "client account", "service", "upstream"):
        shown.add_column(name, overflow="fold")
    shown.add_column("count", justify="right")
    for event in report.events:
        shown.add_row(
            event.kind.value.replace("_", " "),
            markup.escape(event.client_account),
            markup.escape(event.service),
            markup.escape(event.upstream) or "-",
            f"{event.count:.0f}",
        )
    return shown


def objective(value: burn.Objective) -> str:
    """Returns an objective such as `99 % in 100 ms`."""
    share = f"{value.ratio * 100:g} %"
    if value.latency_s is None:
        return share
    return f"{share} in {value.latency_s * 1000:g} ms"


def duration(seconds: float) -> str:
    """Returns a duration such as `5 min`."""
    for unit, unit_s in (("d", 86_400), ("h", 3600), ("min", 60)):
        if seconds >= unit_s:
            return f"{seconds / unit_s:g} {unit}"
    return f"{seconds:g} s"


def _percent(share: float | None) -> str:
    return "-" if share is None else f"{share * 100:.1f} %"


def _rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.2f}"
