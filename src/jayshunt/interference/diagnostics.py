"""Report what was learned of interference: metrics and the worst pairs."""

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.ids import WorkerId
from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.model import is_harmful, is_known

WORST_PAIRS = 20


def metrics(
    control: InterferenceControl, workers: dict[WorkerId, WorkerView]
) -> Iterator[Metric]:
    """Yield the metrics of the dispatcher; no label depends on images or workers."""
    estimates = [control.model.expect(p, control.now_s) for p in control.model.pairs]
    pairs = GaugeMetricFamily(
        "jayshunt_interference_pairs",
        "Pairs of images by what is known of them: seen, known, harmful.",
        labels=["state"],
    )
    pairs.add_metric(["seen"], len(estimates))
    pairs.add_metric(["known"], sum(map(is_known, estimates)))
    pairs.add_metric(["harmful"], sum(map(is_harmful, estimates)))
    yield pairs
    placements = CounterMetricFamily(
        "jayshunt_interference_placements",
        "Placements for which a harmful pair mattered: avoided, accepted, moved.",
        labels=["what"],
    )
    for what in ("avoided", "accepted", "moved"):
        placements.add_metric([what], control.counts[what])
    yield placements
    changes = CounterMetricFamily(
        "jayshunt_interference_paces",
        "Decisions about paces: tasks throttled and recovered, workers with all "
        "filling tasks stopped.",
        labels=["what"],
    )
    for what in ("throttled", "recovered", "stopped"):
        changes.add_metric([what], control.pacer.counts[what])
    yield changes
    throttled = GaugeMetricFamily(
        "jayshunt_interference_throttled_tasks", "Filling tasks below full pace."
    )
    throttled.add_metric(
        [],
        sum(
            task.pace < 100
            for view in workers.values()
            if view.load.filling
            for task in view.tasks.values()
            if task.spec.fills
        ),
    )
    yield throttled


def describe(control: InterferenceControl | None) -> dict | None:
    """Return counts and the worst pairs with evidence and age, None if it is off.

    Effects are fractions of the target's latency by one task at full pace, as of the
    last decision; ages are in seconds.
    """
    if control is None:
        return None
    now_s = control.now_s
    rows = [
        (control.model.expect(pair, now_s), pair, now_s - found.updated_s)
        for pair, found in control.model.pairs.items()
    ]
    rows.sort(key=lambda row: -row[0].mean)
    return {
        "observations": control.model.observations,
        "pairs": len(rows),
        "placements": dict(control.counts),
        "paces": dict(control.pacer.counts),
        "worst_pairs": [
            {
                "aggressor": pair.aggressor,
                "fills": pair.is_filling,
                "victim": pair.victim,
                "effect": round(estimate.mean, 3),
                "sd": round(estimate.sd, 3),
                "evidence": round(estimate.evidence, 1),
                "age_s": round(max(0.0, age_s), 1),
                "harmful": is_harmful(estimate),
            }
            for estimate, pair, age_s in rows[:WORST_PAIRS]
        ],
    }
