"""Expose the state of an entry as Prometheus metrics.

To bound their number, label values come from the configuration, from enums and from
bounded sets of codes, never from callers.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from jayshunt.operations.class_statistics import (
    ClassStatistics,
    Totals,
    bucket_upper_bound_ms,
)
from jayshunt.operations.const import METRIC_BOUNDS_S


@dataclass(frozen=True)
class Metric:
    """A gauge or counter whose values are read at each scrape.

    `read` returns a number for each label value, or for "" if there is no label.
    """

    name: str
    help: str
    read: Callable[[], dict[str, float]]
    label: str = ""
    is_counter: bool = False


class EntryMetrics:
    """Prometheus collector that reads this entry's metrics at each scrape."""

    def __init__(self, statistics: ClassStatistics) -> None:
        """Initialize with the statistics that the class metrics are read from."""
        self._statistics = statistics
        self._metrics: list[Metric] = []
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def add(self, metric: Metric) -> None:
        """Add a metric to the exposition."""
        self._metrics.append(metric)

    def describe_metrics(self) -> list[tuple[str, str, str, str]]:
        """Return name, type, labels and help of each metric for the reference page."""
        own = [
            ("jayshunt_requests_total", "counter", "class, result", REQUESTS_HELP),
            ("jayshunt_request_duration_seconds", "histogram", "class", DURATION_HELP),
        ]
        added = [
            (m.name, "counter" if m.is_counter else "gauge", m.label, m.help)
            for m in self._metrics
        ]
        return [*own, *added]

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[object]:
        """Yield each metric family; called by the registry at a scrape."""
        yield from _class_metrics(self._statistics.totals())
        for metric in self._metrics:
            family = CounterMetricFamily if metric.is_counter else GaugeMetricFamily
            labels = [metric.label] if metric.label else []
            result = family(metric.name, metric.help, labels=labels)
            for label, value in sorted(metric.read().items()):
                result.add_metric([label] if labels else [], value)
            yield result


REQUESTS_HELP = "Requests by class and result: met, late, or the code of the refusal."
DURATION_HELP = "Time from a request's arrival to its answer."


def _class_metrics(totals: dict[str, Totals]) -> Iterator[object]:
    requests = CounterMetricFamily(
        "jayshunt_requests_total", REQUESTS_HELP, labels=["class", "result"]
    )
    durations = HistogramMetricFamily(
        "jayshunt_request_duration_seconds", DURATION_HELP, labels=["class"]
    )
    for name, total in sorted(totals.items()):
        refused = sum(total.refused.values())
        requests.add_metric([name, "met"], total.met)
        requests.add_metric([name, "late"], total.requests - refused - total.met)
        for code, count in sorted(total.refused.items()):
            requests.add_metric([name, code], count)
        durations.add_metric([name], _cumulative(total), total.sum_ms / 1000)
    yield requests
    yield durations


def _cumulative(total: Totals) -> list[tuple[str, float]]:
    buckets = []
    for bound_s in METRIC_BOUNDS_S:
        count = sum(
            number
            for bucket, number in total.buckets.items()
            if bucket_upper_bound_ms(bucket) <= bound_s * 1000
        )
        buckets.append((str(bound_s), float(count)))
    return [*buckets, ("+Inf", float(sum(total.buckets.values())))]
