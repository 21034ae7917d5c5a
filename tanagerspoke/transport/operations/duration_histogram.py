"""Prometheus histogram of durations with fast updates."""

import bisect
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import utils


class DurationChild:
    """Bucket counts for one set of label values.

    `prometheus_client.Histogram` takes two locks and searches the buckets
    linearly for each value. No lock is needed here, since all updates come from
    the event loop's thread.

    Attributes:
        bucket_counts: number of durations by bucket, not cumulative; the last
            bucket has no upper bound.
        sum_s: sum of all durations.
    """

    __slots__ = ("_bounds_s", "bucket_counts", "sum_s")

    def __init__(self, *, bounds_s: tuple[float, ...]) -> None:
        self._bounds_s = bounds_s
        self.bucket_counts = [0] * (len(bounds_s) + 1)
        self.sum_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Adds a duration to its bucket and to the sum."""
        self.bucket_counts[bisect.bisect_left(self._bounds_s, duration_s)] += 1
        self.sum_s += duration_s


class DurationHistogram:
    """Collector of a histogram with a child for each set of label values.

    A child that `labels` returned can be kept and used for later updates.

    Args:
        bounds_s: inclusive upper bounds of the buckets, in ascending order.
        registry: registry that the collector is added to.
    """

    def __init__(
        self,
        *,
        name: str,
        documentation: str,
        label_names: tuple[str, ...],
        bounds_s: tuple[float, ...],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._label_names = label_names
        self._bounds_s = bounds_s
        self._children: dict[tuple[str, ...], DurationChild] = {}
        registry.register(self)

    def labels(self, *label_values: str) -> DurationChild:
        """Returns the child for the label values, created if needed."""
        child = self._children.get(label_values)
        if child is None:
            child = DurationChild(bounds_s=self._bounds_s)
            self._children[label_values] = child
        return child

    def describe(self) -> list[core.Metric]:
        """Returns the metric without samples, for the registry."""
        return [self._new_family()]

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric with its samples."""
        family = self._new_family()
        bound_names = [*map(utils.floatToGoString, self._bounds_s), "+Inf"]
        for label_values, child in list(self._children.items()):
            cumulative_count = 0
            buckets = []
            for bound_name, count in zip(
                bound_names, child.bucket_counts, strict=True
            ):
                cumulative_count += count
                buckets.append((bound_name, float(cumulative_count)))
            family.add_metric(list(label_values), buckets, child.sum_s)
        yield family

    def _new_family(self) -> core.HistogramMetricFamily:
        return core.HistogramMetricFamily(
            self._name, self._documentation, labels=self._label_names
        )
