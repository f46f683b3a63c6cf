"""Describe an entry's dispatch state for the state dump."""

from dataclasses import asdict


def describe(node, config, election, link) -> dict:
    """Return this entry's view of the term, and its own dispatcher's state if any."""
    current = config.current()
    term = election.term
    dispatcher = link.own_dispatcher
    return {
        "entry": node.entry,
        "zone": node.zone,
        "config_version": None if current is None else current.version,
        "dispatcher": None if term is None else asdict(term),
        "is_dispatcher": election.own is not None,
        "dispatch": None if dispatcher is None else describe_dispatch(dispatcher),
    }


def describe_dispatch(dispatcher) -> dict:
    """Return the dispatcher's jobs, workspaces, workers with their VMs, and waves."""
    with dispatcher.lock:
        tracker = dispatcher.tracker
        return {
            "token": tracker.token,
            "jobs": len(tracker.jobs),
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
            "waves": {
                number: {"done": sorted(state.done), "completed": state.is_completed}
                for number, state in dispatcher.fleet.waves.states.items()
            },
        }
