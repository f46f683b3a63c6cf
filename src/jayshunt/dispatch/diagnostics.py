"""Describe an entry's dispatch state for the state dump."""

from dataclasses import asdict

from jayshunt.interference.diagnostics import describe as describe_interference
from jayshunt.overload.diagnostics import describe_order


def describe(node, config, election, link, authenticator) -> dict:
    """Return this entry's view of term and keys, and its own dispatcher's state."""
    current = config.current()
    term = election.term
    dispatcher = link.own_dispatcher
    return {
        "entry": node.entry,
        "zone": node.zone,
        "config_version": None if current is None else current.version,
        "keys": authenticator.describe(),
        "dispatcher": None if term is None else asdict(term),
        "is_dispatcher": election.own is not None,
        "dispatch": None if dispatcher is None else describe_dispatch(dispatcher),
    }


def describe_dispatch(dispatcher) -> dict:
    """Return jobs, workspaces, workers with their VMs, interference and waves."""
    with dispatcher.lock:
        tracker = dispatcher.tracker
        return {
            "token": tracker.token,
            "jobs": len(tracker.jobs),
            "ended_jobs": len(tracker.ended),
            "jobs_bytes": tracker.memory.held_bytes,
            "active": sorted(tracker.active),
            "counts": dict(tracker.counts),
            "workspaces": [
                {
                    **asdict(report),
                    "limit": dispatcher.planner.workspaces.limits.get(report.workspace),
                }
                for report in dispatcher.planner.workspaces.report()
            ],
            "workers": [
                {
                    "worker": view.worker.worker,
                    "vm": view.worker.vm,
                    "pool": view.worker.pool,
                    "tasks": [task.key.name for task in view.tasks.values()],
                    "strays": len(view.strays),
                    "lease_end_s": view.lease_end_s,
                    "duty": (
                        None
                        if view.evacuation_reason is None
                        else str(view.evacuation_reason)
                    ),
                }
                for view in tracker.workers.values()
            ],
            "admission": (
                None
                if dispatcher.planner.admission is None
                else dispatcher.planner.admission.describe()
            ),
            "service_order": describe_order(dispatcher.planner.service_order),
            "interference": describe_interference(dispatcher.planner.interference),
            "waves": {
                number: {
                    "done": sorted(state.done),
                    "due": state.due(),
                    "completed": state.is_completed,
                }
                for number, state in dispatcher.fleet.waves.states.items()
            },
        }
