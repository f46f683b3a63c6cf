"""Export the metrics of an entry to Prometheus."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from jayshunt.interference.diagnostics import metrics as interference_metrics
from jayshunt.overload.metrics import overload_metrics
from jayshunt.workspaces.models import RefusalReason
from jayshunt.workspaces.reporting import MAX_WORKSPACES, OTHERS, WorkspaceReport

# From an answer by a dispatcher on the same VM up to a caller's full timeout.
ANSWER_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)
# From an immediate start to a wait far beyond the objective of a job.
WAIT_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


METHODS = frozenset({"GET", "POST", "DELETE"})
OTHER_METHOD = "other"


class EntryMetrics:
    """Record the counters and histograms of one entry."""

    def __init__(self, store, link) -> None:
        """Register the metrics; dispatch state is read at each scrape."""
        self._registry = CollectorRegistry()
        self._answers = Counter(
            "jayshunt_answers",
            "Answers to callers.",
            ["method", "status"],
            registry=self._registry,
        )
        self._answer_s = Histogram(
            "jayshunt_answer_seconds",
            "Time from a caller's whole request to its answer.",
            ["method"],
            buckets=ANSWER_BUCKETS_S,
            registry=self._registry,
        )
        self._wait_s = Histogram(
            "jayshunt_task_wait_seconds",
            "Time from a task's turn to its start.",
            ["pool"],
            buckets=WAIT_BUCKETS_S,
            registry=self._registry,
        )
        self._key_refusals = Counter(
            "jayshunt_key_refusals",
            "Calls refused because of their key or of a job's owner.",
            ["reason"],
            registry=self._registry,
        )
        self._refusals = Counter(
            "jayshunt_workspace_refusals",
            "Jobs of a workspace that were refused, by code.",
            ["workspace", "code"],
            registry=self._registry,
        )
        self._refused_workspaces: set[str] = set()
        self.describe_servers: Callable[[], dict[str, dict]] = dict
        self._registry.register(_StateCollector(store, link))
        self._registry.register(_ServerCollector(lambda: self.describe_servers()))

    def observe_answer(self, method: str, status: int, took_s: float) -> None:
        """Count one answer to a caller, who may have sent any word as the method."""
        if method not in METHODS:
            method = OTHER_METHOD
        self._answers.labels(method, str(status)).inc()
        self._answer_s.labels(method).observe(took_s)

    def observe_task_wait(self, pool: str, waited_s: float) -> None:
        """Record how long a task waited for its start."""
        self._wait_s.labels(pool).observe(waited_s)

    def observe_key_refusal(self, reason: RefusalReason) -> None:
        """Count a call that was refused because of its key or of a job's owner."""
        self._key_refusals.labels(reason.value).inc()

    def observe_refusal(self, workspace: str, code: str) -> None:
        """Count a refused job; those of workspaces beyond the first 50 are summed."""
        if len(self._refused_workspaces) < MAX_WORKSPACES:
            self._refused_workspaces.add(workspace)
        if workspace not in self._refused_workspaces:
            workspace = OTHERS
        self._refusals.labels(workspace, code).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class _StateCollector(Collector):
    """Read the counts of the store and the dispatcher at each scrape."""

    def __init__(self, store, link) -> None:
        """Store the sources of the counts."""
        self._store = store
        self._link = link

    def collect(self):
        """Yield the store calls and, if this entry dispatches, the dispatch state."""
        calls = CounterMetricFamily(
            "jayshunt_store_calls", "Calls to the platform's store.", labels=["call"]
        )
        for call, count in sorted(self._store.calls.items()):
            calls.add_metric([call], count)
        yield calls
        dispatcher = self._link.own_dispatcher
        if dispatcher is None or not dispatcher.term_valid():
            return
        runs = CounterMetricFamily(
            "jayshunt_runs", "Runs of tasks by what became of them.", labels=["what"]
        )
        with dispatcher.lock:
            for what, count in sorted(dispatcher.tracker.counts.items()):
                runs.add_metric([what], count)
            yield runs
            yield from _pool_gauges(dispatcher)
            control = dispatcher.planner.interference
            if control is not None:
                yield from interference_metrics(control, dispatcher.tracker.workers)
            yield from _workspace_gauges(dispatcher.planner.workspaces.report())


class _ServerCollector(Collector):
    """Read the state of the servers at each scrape."""

    def __init__(self, describe: Callable[[], dict[str, dict]]) -> None:
        """Store the source, which returns the diagnostics by server."""
        self._describe = describe

    def collect(self):
        """Yield connections, held bytes and what was refused or closed."""
        state = GaugeMetricFamily(
            "jayshunt_server",
            "Open connections, threads, and held bytes of requests.",
            labels=["server", "what"],
        )
        refused = CounterMetricFamily(
            "jayshunt_server_refusals",
            "Refused requests and connections, by cause.",
            labels=["server", "cause"],
        )
        closed = CounterMetricFamily(
            "jayshunt_server_closed_for_others",
            "Connections closed for others, by what they did.",
            labels=["server", "activity"],
        )
        for server, fields in self._describe().items():
            for what in ("open_connections", "threads", "held_body_bytes"):
                state.add_metric([server, what], fields[what])
            for cause, count in fields["refused"].items():
                refused.add_metric([server, cause], count)
            for activity, count in fields["closed_for_others"].items():
                closed.add_metric([server, activity], count)
        yield state
        yield refused
        yield closed


def _workspace_gauges(reports: list[WorkspaceReport]):
    used = GaugeMetricFamily(
        "jayshunt_workspace_cores",
        "Cores that the tasks of a workspace may be using.",
        labels=["workspace"],
    )
    waiting = GaugeMetricFamily(
        "jayshunt_workspace_jobs_waiting",
        "Jobs of a workspace that wait, and steps or gangs that its limit holds.",
        labels=["workspace", "what"],
    )
    share = GaugeMetricFamily(
        "jayshunt_workspace_share",
        "Fraction of a short pool that a workspace uses or is entitled to.",
        labels=["workspace", "pool", "what"],
    )
    for report in reports:
        name = report.workspace
        used.add_metric([name], report.used.cpu_millicores / 1000)
        waiting.add_metric([name, "waiting"], report.waiting)
        waiting.add_metric([name, "held"], report.held)
        for pool, fraction in report.entitled.items():
            share.add_metric([name, pool, "entitled"], fraction)
            share.add_metric([name, pool, "used"], report.share[pool])
    yield used
    yield waiting
    yield share


def _pool_gauges(dispatcher):
    present = GaugeMetricFamily(
        "jayshunt_pool_vms", "VMs that serve a pool.", labels=["pool"]
    )
    needed = GaugeMetricFamily(
        "jayshunt_pool_vms_needed", "VMs that a pool needs.", labels=["pool"]
    )
    for need in dispatcher.fleet.sizer.needs.values():
        present.add_metric([need.pool], need.present)
        needed.add_metric([need.pool], need.needed)
    yield present
    yield needed
    active = GaugeMetricFamily("jayshunt_jobs_active", "Jobs that have not ended.")
    active.add_metric([], len(dispatcher.tracker.active))
    yield active
    yield from overload_metrics(dispatcher.planner)
