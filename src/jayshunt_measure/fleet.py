"""Measure buffer, moves, maintenance and job placement of a whole fleet."""

import json
import time
from typing import Annotated

import typer

from jayshunt.config.models import CapacityObjective
from jayshunt_measure.fleet_bound import (
    bound_buffer_vm_s,
    bound_met_ratio,
    bound_moves,
)
from jayshunt_measure.fleet_jobs import JobsRun
from jayshunt_measure.fleet_losses import compare_loss_plans
from jayshunt_measure.fleet_maintenance import FleetMaintenance
from jayshunt_measure.fleet_model import run_policy
from jayshunt_measure.fleet_policies import (
    PlannedPolicy,
    greedy_policy,
    static_policy,
)
from jayshunt_measure.fleet_script import DAY_S, FleetSize, Script, build_script

OBJECTIVE_OF_DEPLOYMENT = {
    "tetteh": CapacityObjective.BUFFER_COST,
    "tee": CapacityObjective.MOVES,
}
# From this number of workers on, the size expected in two years runs for four weeks,
# with steps of a minute and bursts of minutes.
LARGE_WORKERS = 200


def fleet(
    seed: Annotated[int, typer.Option(help="Seed of demand and failures.")] = 1,
    deployment: Annotated[str, typer.Option(help="tetteh or tee.")] = "tetteh",
    workers: Annotated[int, typer.Option(min=10, help="Workers of the fleet.")] = 40,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Simulate a fleet; compare the capacity plan with both baselines and the bound.

    The simulation covers capacity, maintenance, losses and jobs.
    """
    if deployment not in OBJECTIVE_OF_DEPLOYMENT:
        raise typer.BadParameter("deployment must be tetteh or tee")
    started_s = time.monotonic()
    size = fleet_size(deployment, workers)
    fields = measure(size, OBJECTIVE_OF_DEPLOYMENT[deployment], seed)
    fields["seconds"] = round(time.monotonic() - started_s, 1)
    for name, value in fields.items():
        typer.echo(f"{name:<32}{value:>14}")
    if as_json:
        typer.echo(json.dumps(fields))


def fleet_size(deployment: str, workers: int) -> FleetSize:
    """Return the size of a deployment; with many workers, that of two years ahead."""
    memory_gib = 256 if deployment == "tetteh" else 128
    if workers < LARGE_WORKERS:
        return FleetSize(4, 5, max(2, workers // 5), memory_gib, 120.0, DAY_S, 5)
    # 41 pools in 15 zones. Targets are longer, too, because a step is a minute.
    return FleetSize(15, 41, workers // 41, memory_gib, 1440.0, 28 * DAY_S, 60)


def measure(
    size: FleetSize, weigh_first: CapacityObjective, seed: int
) -> dict[str, float]:
    """Simulate maintenance, capacity and jobs, and return every field."""
    script = build_script(size, seed)
    maintenance = FleetMaintenance(script).run()
    is_large = size.pools > 5
    jobs = JobsRun(size, 260 if is_large else 20, 3800 if is_large else 0, seed).run(
        120.0 if is_large else 900.0
    )
    fields = {
        "budget_violations": maintenance.budget_violations,
        "double_owned": maintenance.double_owned,
        "jobs_lost": jobs.jobs_lost,
        "jobs_run_twice": jobs.jobs_run_twice,
    }
    losses = compare_loss_plans(script)
    fields.update(
        loss_plan_prepare_ms=round(losses.prepare_ms, 2),
        loss_moves=losses.moves,
        loss_moves_scratch=losses.moves_scratch,
        loss_reaction_p99_ms=round(losses.reaction_p99_ms, 4),
        loss_reaction_scratch_p99_ms=round(losses.reaction_scratch_p99_ms, 4),
    )
    outages = (*script.outages, *maintenance.outages)
    fields.update(_compare(script, weigh_first, outages))
    fields.update(
        maintained_ratio=round(maintenance.maintained_ratio, 4),
        urgent_start_p99_ms=round(quantile(jobs.urgent_waits_ms, 0.99), 1),
        plan_p99_ms=round(quantile(jobs.plan_ms, 0.99), 2),
        store_writes_per_s_peak=maintenance.store_writes_per_s_peak,
        unplaced_runnable_jobs=jobs.unplaced_runnable_jobs,
    )
    return fields


def _compare(
    script: Script, weigh_first: CapacityObjective, outages: tuple
) -> dict[str, float]:
    planned = PlannedPolicy(weigh_first)
    policies = {"": planned, "_static": static_policy, "_greedy": greedy_policy}
    fields: dict[str, float] = {}
    for suffix, policy in policies.items():
        result = run_policy(script, policy, script.pool_of, outages)
        # A VM has 64 cores.
        buffer = round(result.buffer_vm_s * 64 / 3600)
        fields[f"buffer_core_hours{suffix}"] = buffer
        fields[f"moves{suffix}"] = result.moves
        fields[f"target_met_ratio{suffix}"] = round(result.target_met_ratio, 4)
    fields["buffer_core_hours_bound"] = round(bound_buffer_vm_s(script) * 64 / 3600)
    fields["moves_bound"] = bound_moves(script)
    fields["target_met_ratio_bound"] = round(bound_met_ratio(script), 4)
    fields["capacity_plan_p99_ms"] = round(quantile(planned.plan_s, 0.99) * 1000, 2)
    return fields


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile, or 0 if there are no values; `fraction` is from 0 to 1."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )
