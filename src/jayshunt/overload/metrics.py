"""Export the decisions under overload; the labels are queues and fixed words."""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily


def overload_metrics(planner):
    """Yield the metrics of the parts that are on."""
    if planner.service_order is not None:
        prospects = GaugeMetricFamily(
            "jayshunt_jobs_waiting",
            "Jobs with a waiting task by how they can still end.",
            labels=["prospect"],
        )
        for prospect, count in planner.service_order.prospects.items():
            prospects.add_metric([prospect.name.lower()], count)
        yield prospects
    if planner.admission is not None:
        waits = GaugeMetricFamily(
            "jayshunt_queue_late_wait_seconds",
            "Predicted wait of a new job that cannot be in time.",
            labels=["queue"],
        )
        for outlook in planner.admission.outlooks.values():
            waits.add_metric([outlook.queue], outlook.late_wait_s)
        yield waits
        answers = CounterMetricFamily(
            "jayshunt_refused_callers",
            "Callers of queues that were behind, by the answer.",
            labels=["answer"],
        )
        for answer, count in planner.admission.book_of_returns.counts.items():
            answers.add_metric([answer], count)
        yield answers
