"""The program `tanagerspoke-report`."""

import pathlib
import sys

import cyclopts
import msgspec

import tanagerspoke
from tanagerspoke import exceptions
from tanagerspoke.commands import explain
from tanagerspoke.commands import gateway_scrapes
from tanagerspoke.commands import program
from tanagerspoke.commands import report_plot
from tanagerspoke.commands import report_table
from tanagerspoke.commands import scrape
from tanagerspoke.settings import options
from tanagerspoke.state import burn

_NAME = "tanagerspoke-report"

app = cyclopts.App(name=_NAME, version=tanagerspoke.__version__)
app.command(scrape.scrape)
app.command(explain.explain)


@app.default
def report(
    *saved: pathlib.Path,
    settings: pathlib.Path | None = None,
    client_account: str | None = None,
    json: bool = False,
    plot: pathlib.Path | None = None,
) -> None:
    """Reports error budget burn by client account, service and call class.

    Burn rates need at least two scrapes; windows that the scrapes do
    not cover are omitted.

    Args:
        saved: files that `tanagerspoke-report scrape` wrote.
        settings: JSON settings file; its gateways are scraped now.
        client_account: limits the output to one client account.
        json: print JSON instead of tables.
        plot: SVG or PNG file to which a plot is written.
    """
    if settings is None and not saved:
        print("give --settings, saved scrapes or both", file=sys.stderr)
        raise SystemExit(program.EXIT_INVALID)
    if plot is not None and plot.suffix not in (".svg", ".png"):
        print(f"{plot}: expected a .svg or .png file", file=sys.stderr)
        raise SystemExit(program.EXIT_INVALID)
    cfg = options.Report(gateways=[])
    if settings is not None:
        cfg = program.load_settings(path=settings, option_type=options.Report)
    all_scrapes = program.run_command(
        name=_NAME, log_level=cfg.log_level, job=_collect_scrapes(cfg, saved)
    )
    burn_report = burn.report(
        all_scrapes, windows_s=cfg.windows_s, client_account=client_account
    )
    if json:
        print(msgspec.json.format(msgspec.json.encode(burn_report)).decode())
    else:
        report_table.show(report=burn_report, windows_s=cfg.windows_s)
    if plot is not None:
        report_plot.draw(
            scrapes=all_scrapes, client_account=client_account, path=plot
        )


async def _collect_scrapes(
    cfg: options.Report, saved: tuple[pathlib.Path, ...]
) -> tuple[burn.Scrape, ...]:
    all_scrapes = []
    for path in saved:
        all_scrapes.extend(gateway_scrapes.parse(gateway_scrapes.load(path)))
    if cfg.gateways:
        all_scrapes.extend(
            gateway_scrapes.parse(await gateway_scrapes.fetch(cfg))
        )
    if not all_scrapes:
        raise exceptions.ProtocolError("no gateway was scraped")
    return tuple(all_scrapes)


def main() -> None:
    """Entry point."""
    app()
