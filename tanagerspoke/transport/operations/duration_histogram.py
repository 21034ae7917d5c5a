"""Histogram of call durations with a cheap update."""

import bisect
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import utils


class DurationChild:
    """Counts of one set of label values.

    `prometheus_client.Histogram` takes two locks and a linear search for each
    value; all updates here come from the event loop's thread.
    """

    __slots__ = ("_bounds_s", "counts", "sum_s")

    def __init__(self, *, bounds_s: tuple[float, ...]) -> None:
        self._bounds_s = bounds_s
        self.counts = [0] * (len(bounds_s) + 1)
        self.sum_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Takes one duration."""
        self.counts[bisect.bisect_left(self._bounds_s, duration_s)] += 1
        self.sum_s += duration_s


class DurationHistogram:
    """Registered collector of a histogram; its children are bound once."""

    def __init__(
        self,
        *,
        name: str,
        documentation: str,
        labels: tuple[str, ...],
        bounds_s: tuple[float, ...],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._labels = labels
        self._bounds_s = bounds_s
        self._children: dict[tuple[str, ...], DurationChild] = {}
        registry.register(self)

    def labels(self, *values: str) -> DurationChild:
        """Returns the child of these label values."""
        child = self._children.get(values)
        if child is None:
            child = DurationChild(bounds_s=self._bounds_s)
            self._children[values] = child
        return child

    def describe(self) -> list[core.Metric]:
        """Returns the metric without samples, for the registry."""
        return [self._family()]

    def collect(self) -> Iterator[core.Metric]:
        """Returns the metric with its samples."""
        family = self._family()
        names = [*map(utils.floatToGoString, self._bounds_s), "+Inf"]
        for values, child in list(self._children.items()):
            total = 0
            buckets = []
            for name, count in zip(names, child.counts, strict=True):
                total += count
                buckets.append((name, float(total)))
            family.add_metric(list(values), buckets, child.sum_s)
        yield family

    def _family(self) -> core.HistogramMetricFamily:
        return core.HistogramMetricFamily(
            self._name, self._documentation, labels=self._labels
        )
