"""Plots a burn report."""

from collections.abc import Sequence
import datetime
import pathlib

from tanagerspoke.state import burn

# More lines are hard to distinguish in a plot.
_MAX_PLOTTED_LEVELS = 10


def draw(
    *,
    scrapes: Sequence[burn.Scrape],
    client_account: str | None,
    path: pathlib.Path,
) -> None:
    """Writes a plot of the error budget left and the burn rate over time."""
    # The import takes most of a second, and only plots need it.
    import matplotlib.figure

    report = burn.report(scrapes, client_account=client_account)
    worst_levels = report.levels[:_MAX_PLOTTED_LEVELS]
    figure = matplotlib.figure.Figure(figsize=(14, 6), layout="constrained")
    budget_axes, burn_axes = figure.subplots(1, 2)
    labels = [_level_label(level.level) for level in worst_levels]
    budget_axes.barh(
        labels, [100 * (level.budget_left or 0.0) for level in worst_levels]
    )
    budget_axes.invert_yaxis()
    budget_axes.set_xlabel("error budget left (%)")
    for level, label in zip(worst_levels, labels, strict=True):
        points = burn.burn_history(scrapes, level=level.level)
        burn_axes.plot(
            [
                datetime.datetime.fromtimestamp(point.at, tz=datetime.UTC)
                for point in points
            ],
            [point.burn_rate for point in points],
            marker=".",
            label=label,
        )
    burn_axes.axhline(1.0, color="grey", linestyle=":")
    burn_axes.set_ylabel("burn rate between scrapes")
    burn_axes.tick_params(axis="x", rotation=30)
    if worst_levels:
        burn_axes.legend(fontsize="small")
    figure.savefig(path)


def _level_label(level: burn.ServiceLevel) -> str:
    return f"{level.client_account} {level.service} {level.call_class}"
