"""Measure serving under load and faults, compared with baselines and a bound."""

import json
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Annotated

import typer

from jayshunt_measure.serving_baselines import (
    MetRatio,
    Outage,
    clairvoyant,
    fifo,
    static_split,
    upper_bound,
)
from jayshunt_measure.serving_cases import ENTRY_STOPPED, Case, FaultContext, all_cases
from jayshunt_measure.serving_counts import (
    Counts,
    UpstreamRecord,
    count,
    is_late_refusal,
    met_ratio,
    quantile,
)
from jayshunt_measure.serving_load import Callers, Sent
from jayshunt_measure.serving_shapes import (
    INSTANCES_PER_ZONE,
    SLOTS,
    TEE,
    TETTEH,
    TOTAL_SLOTS,
    ZONES,
    Arrival,
    burst_arrivals,
    steady_arrivals,
)
from jayshunt_measure.serving_testbed import ServingTestbed, document, instance_plans
from jayshunt_measure.testbed import EntryHandle

SHAPES = (TETTEH, TEE)
ENTRIES_PER_ZONE = 2
# Fractions of the run's length for each of three steady runs, each of ten bursts and
# the burst of each fault case. Entries start, stop and restart in the remaining time.
STEADY_FRACTION, BURST_FRACTION, FAULT_FRACTION = 0.03, 0.028, 0.032
FAULT_FROM, FAULT_UNTIL = 0.2, 0.8
MUST_BE_ZERO = ("refused_late", "false_not_run", "run_twice", "wrong_answer", "lost")


@dataclass
class CaseResult:
    """Hold the arrivals, requests, outages and cost of one case.

    `cpu_s` is 0 for a case with faults. `over_slots` counts the requests that
    exceeded the slots of their upstream.
    """

    case: Case
    arrivals: list[Arrival]
    sent: list[Sent]
    outages: tuple[Outage, ...]
    cpu_s: float = 0.0
    over_slots: int = 0

    def bound(self) -> MetRatio:
        """Return the upper bound of the met ratio for any schedule."""
        gone = {s.arrival.number for s in self.sent if s.cancelled}
        kept = [a for a in self.arrivals if a.number not in gone]
        return upper_bound(kept, TOTAL_SLOTS, self.outages)


class ServingRun:
    """Run the cases one after another on the same testbed."""

    def __init__(self, testbed: ServingTestbed, seed: int, seconds: float) -> None:
        """Initialize the run; the testbed must be ready."""
        self._testbed = testbed
        self._seed = seed
        self._seconds = seconds
        self.record = UpstreamRecord()

    def send_steadily(self, name: str, direct: bool = False) -> list[Sent]:
        """Send a constant load below capacity, through jayshunt or to the instances."""
        arrivals = steady_arrivals(TETTEH, STEADY_FRACTION * self._seconds, self._seed)
        case = Case(name, TETTEH)
        addresses = self._testbed.instances_of(TETTEH.pool) if direct else None
        return self._send(name, arrivals, case, 0, addresses)[0]

    def run_case(self, case: Case, turn: int) -> CaseResult:
        """Run one case; `turn` varies its arrivals and its failing instance."""
        fraction = BURST_FRACTION * case.turns if not case.faults else FAULT_FRACTION
        seconds = fraction * self._seconds
        arrivals = burst_arrivals(
            case.shape, seconds, self._seed + turn, turn, case.turns
        )
        before_s = self._testbed.cpu_s() if not case.faults else 0.0
        sent, faults_from_s, ended_s = self._send(case.name, arrivals, case, turn)
        used_s = self._testbed.cpu_s() - before_s if not case.faults else 0.0
        self._testbed.restart_ended()
        outages = tuple(
            Outage(fault.slots_lost, faults_from_s, ended_s) for fault in case.faults
        )
        before = self.record.slots_exceeded
        self.collect()
        over_slots = self.record.slots_exceeded - before
        return CaseResult(case, arrivals, sent, outages, used_s, over_slots)

    def collect(self) -> None:
        """Read the new records of all instances."""
        for vm in self._testbed.addresses:
            self.record.add(vm, self._testbed.read_runs(vm))

    def _send(
        self,
        name: str,
        arrivals: list[Arrival],
        case: Case,
        turn: int,
        entries: list[EntryHandle] | None = None,
    ) -> tuple[list[Sent], float, float]:
        entries_in_rotation = self._testbed.entries_in_rotation
        callers = Callers(
            name, (lambda: entries) if entries else entries_in_rotation, self._seed
        )
        context = FaultContext(self._testbed, case.shape, callers, turn)
        length_s = arrivals[-1].at_s
        with ThreadPoolExecutor(1) as executor:
            faults = executor.submit(_inject_faults, case, context, length_s)
            sent = callers.run(arrivals)
            faults_from_s, ended_s = faults.result()
        return sent, faults_from_s - callers.start_s, ended_s - callers.start_s


def _inject_faults(
    case: Case, context: FaultContext, length_s: float
) -> tuple[float, float]:
    if not case.faults:
        return 0.0, 0.0
    time.sleep(FAULT_FROM * length_s)
    faults_from_s = time.monotonic()
    for fault in case.faults:
        fault.begin(context)
    time.sleep((FAULT_UNTIL - FAULT_FROM) * length_s)
    for fault in case.faults:
        fault.end(context)
    return faults_from_s, time.monotonic()


def serving(
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    seconds: Annotated[int, typer.Option(min=20, help="Length of the run.")] = 34,
    only: Annotated[str, typer.Option(help="Run only cases with this name.")] = "",
    by_class: Annotated[bool, typer.Option(help="Also print each class.")] = False,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Measure targets met, refusals, faults and cost per request."""
    testbed = ServingTestbed(
        instance_plans(SHAPES), dict.fromkeys(ZONES, ENTRIES_PER_ZONE)
    ).start()
    try:
        testbed.configure(document(SHAPES))
        testbed.wait_members()
        run = ServingRun(testbed, seed, seconds)
        direct_sent = run.send_steadily("direct", direct=True)
        run.collect()
        run.record.end_direct()
        # Not measured: the first requests open connections and streams.
        run.send_steadily("warm-up")
        steady_sent = run.send_steadily("calm")
        results = [
            run.run_case(case, turn)
            for turn, case in enumerate(all_cases())
            if only in case.name
        ]
        time.sleep(0.5)
        run.collect()
    finally:
        testbed.stop()
    fields = _report(results, steady_sent, direct_sent, run.record)
    if by_class:
        _print_classes(results)
    for name, value in fields.items():
        shown = f"{value:.3f}" if isinstance(value, float) else str(value)
        typer.echo(f"{name:<36}{shown:>16}")
    if as_json:
        typer.echo(json.dumps(fields))


def _report(
    results: list[CaseResult],
    steady_sent: list[Sent],
    direct_sent: list[Sent],
    record: UpstreamRecord,
) -> dict[str, float | int | str]:
    total = Counts()
    header = f"{'case':<40}{'requests':>9}{'met':>7}{'bound':>7}{'of it':>7}"
    typer.echo(f"{header}{'worst':>7}{'refused':>8}{'unknown':>8}{'bad':>5}")
    worst_name, worst_ratio = "", 1e9
    for result in results:
        counts = count(result.sent, record, ENTRY_STOPPED in result.case.faults)
        total.add(counts)
        met, bound = met_ratio(result.sent), result.bound()
        of_bound = met.total / bound.total if bound.total else 1.0
        if of_bound < worst_ratio:
            worst_name, worst_ratio = result.case.name, of_bound
        bad = {n: v for n, v in vars(counts).items() if n in MUST_BE_ZERO and v}
        if result.over_slots:
            bad["slots_exceeded"] = result.over_slots
        late = Counter(s.code for s in result.sent if is_late_refusal(s))
        typer.echo(
            f"{result.case.name:<40}{counts.requests:>9}{met.total:>7.3f}"
            f"{bound.total:>7.3f}{of_bound:>7.3f}{_worst_of_bound(met, bound):>7.3f}"
            f"{counts.refused:>8}{counts.unknown:>8}{sum(bad.values()):>5}"
            f"  {bad or ''} {dict(late) or ''}"
        )
    through_jayshunt_ms = _overheads_ms(steady_sent, record)
    direct_ms = _overheads_ms(direct_sent, record)
    total.add(count(steady_sent, record, False))
    return {
        **_met_fields([r for r in results if not r.case.faults]),
        "worst_case": worst_name,
        "worst_case_of_bound": worst_ratio,
        **{name: value for name, value in vars(total).items()},
        "slots_exceeded": record.slots_exceeded,
        "leaving_last_new_work_ms": record.last_start_after_leaving_ms,
        "retry_amplification_ratio": sum(record.received.values())
        / max(1, len(record.received)),
        **{
            f"added_latency_p{fraction}_ms": quantile(
                through_jayshunt_ms, fraction / 100
            )
            - quantile(direct_ms, fraction / 100)
            for fraction in (50, 99)
        },
        "requests_per_cpu_s": sum(len(r.sent) for r in results if not r.case.faults)
        / max(0.01, sum(r.cpu_s for r in results)),
    }


def _overheads_ms(sent: list[Sent], record: UpstreamRecord) -> list[float]:
    """Return the latency of each answer minus its run time, in milliseconds."""
    return [
        item.latency_ms - record.durations_ms[item.request]
        for item in sent
        if item.status == 200 and item.request in record.durations_ms
    ]


def _print_classes(results: list[CaseResult]) -> None:
    """Print the met ratios and results of the requests by case and class."""
    for result in results:
        met, bound = met_ratio(result.sent), result.bound()
        for name in sorted(met.by_class):
            kinds = Counter(
                "met" if s.met else s.code or s.broken_by or "late"
                for s in result.sent
                if s.arrival.work_class == name
            )
            typer.echo(
                f"{result.case.name} {name}: {met.by_class[name]:.3f} of"
                f" {bound.by_class[name]:.3f} {dict(kinds)}"
            )


def _worst_of_bound(met: MetRatio, bound: MetRatio) -> float:
    return min(
        (met.by_class[name] / bound.by_class[name] for name in met.by_class),
        default=1.0,
    )


def _met_fields(results: list[CaseResult]) -> dict[str, float]:
    """Return the met ratios of the cases without faults, weighted by requests."""
    if not results:
        return {}
    instances = len(ZONES) * INSTANCES_PER_ZONE
    rows = {
        "": [met_ratio(r.sent) for r in results],
        "_fifo": [fifo(r.arrivals, instances, SLOTS) for r in results],
        "_static": [static_split(r.arrivals, TOTAL_SLOTS) for r in results],
        "_bound": [r.bound() for r in results],
    }
    sizes = [len(r.sent) for r in results]
    fields: dict[str, float] = {}
    for suffix, ratios in rows.items():
        weighted = sum(r.total * n for r, n in zip(ratios, sizes, strict=True))
        fields[f"target_met_ratio{suffix}"] = weighted / max(1, sum(sizes))
        worst = min(r.worst_class for r in ratios)
        fields[f"target_met_ratio{suffix}_worst_class"] = worst
    fields["target_met_ratio_clairvoyant"] = sum(
        clairvoyant(r.arrivals, TOTAL_SLOTS) * n
        for r, n in zip(results, sizes, strict=True)
    ) / max(1, sum(sizes))
    pairs = zip(rows[""], rows["_bound"], strict=True)
    fields["target_met_of_bound"] = (
        fields["target_met_ratio"] / fields["target_met_ratio_bound"]
    )
    fields["worst_class_of_bound"] = min(_worst_of_bound(m, b) for m, b in pairs)
    return fields
