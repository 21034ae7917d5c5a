"""The subcommand `tanagerspoke-report scrape`."""

import pathlib

from tanagerspoke.commands import gateway_scrapes
from tanagerspoke.commands import program
from tanagerspoke.settings import options


def scrape(*, settings: pathlib.Path, out: pathlib.Path) -> None:
    """Saves the metrics of all gateways with a timestamp.

    Args:
        settings: JSON settings file.
        out: new file; existing files are not overwritten.
    """
    cfg = program.load_settings(path=settings, option_type=options.Report)
    saved = program.run_command(
        name="tanagerspoke-report",
        log_level=cfg.log_level,
        job=_fetch_and_save(cfg, out),
    )
    print(f"metrics of {len(saved.gateways)} gateways are saved in {out}")


async def _fetch_and_save(
    cfg: options.Report, out: pathlib.Path
) -> gateway_scrapes.SavedScrape:
    saved = await gateway_scrapes.fetch(cfg)
    gateway_scrapes.save(scrape=saved, path=out)
    return saved
