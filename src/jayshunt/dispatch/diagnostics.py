"""Report the state of the dispatch for the state dump."""

from dataclasses import asdict


def describe(node, config, keeper, link) -> dict:
    """Return what this entry knows."""
    current = config.current()
    term = keeper.term
    dispatcher = link.own_dispatcher
    return {
        "entry": node.entry,
        "zone": node.zone,
        "config_version": None if current is None else current.version,
        "dispatcher": None if term is None else asdict(term),
        "is_dispatcher": keeper.own is not None,
        "dispatch": None if dispatcher is None else describe_dispatch(dispatcher),
    }


def describe_dispatch(dispatcher) -> dict:
    """Return jobs, workers and VMs as the dispatcher knows them."""
    with dispatcher.lock:
        tracker = dispatcher.tracker
        return {
            "token": tracker.token,
            "jobs": len(tracker.jobs),
            "active": sorted(tracker.active),
            "counts": dict(tracker.counts),
            "workers": [
                {
                    "worker": view.worker.worker,
                    "vm": view.worker.vm,
                    "pool": view.worker.pool,
                    "tasks": [task.key.name for task in view.tasks.values()],
                    "strays": len(view.strays),
                    "lease_end_s": view.lease_end_s,
                    "duty": None if view.duty is None else str(view.duty),
                }
                for view in tracker.workers.values()
            ],
            "waves": {
                number: {"done": sorted(state.done), "completed": state.is_completed}
                for number, state in dispatcher.fleet.waves.states.items()
            },
        }
