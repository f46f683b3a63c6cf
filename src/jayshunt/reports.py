"""Register the sections of all packages for status, dump and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jayshunt import __version__
from jayshunt.admission import diagnostics as admission
from jayshunt.config import diagnostics as config
from jayshunt.idempotency import diagnostics as idempotency
from jayshunt.inventory import diagnostics as inventory
from jayshunt.jobs import diagnostics as jobs
from jayshunt.maintenance import diagnostics as maintenance
from jayshunt.membership import diagnostics as membership
from jayshunt.membership.models import MemberState
from jayshunt.operations.metrics import Metric
from jayshunt.operations.reporter import memory_bytes
from jayshunt.operations.sections import job_class_rows, pool_rows, vm_counts, wave_rows
from jayshunt.peers import diagnostics as peers
from jayshunt.pools import diagnostics as pools
from jayshunt.routing import diagnostics as routing
from jayshunt.store import diagnostics as store
from jayshunt.store.models import StoreState

if TYPE_CHECKING:
    from jayshunt.composition import EntryProcess


def add_reports(entry: EntryProcess) -> None:
    """Register the status, dump and metrics that operators read from an entry."""
    _add_status(entry)
    _add_dump(entry)
    _add_metrics(entry)


def _add_status(entry: EntryProcess) -> None:
    reporter = entry.operations.reporter
    reporter.add_status("process", lambda: _describe_process(entry))
    reporter.add_status(
        "classes",
        lambda: [
            vars(counts)
            for counts in entry.operations.statistics.counts(entry.config.current())
        ],
    )
    reporter.add_status(
        "pools",
        lambda: pool_rows(entry.config.current(), entry.controller.record),
    )
    reporter.add_status(
        "waves",
        lambda: wave_rows(
            entry.settings.identity.zone,
            entry.controller.record.epoch,
            entry.fleet.maintenance.statuses if entry.controller.holds_lease else (),
        ),
    )
    reporter.add_status("job_classes", lambda: _describe_job_classes(entry))
    reporter.add_status(
        "planned_stops",
        lambda: {
            name: stop.model_dump(mode="json")
            for name, stop in entry.config.current().document.planned_stops.items()
        },
    )
    # Only the zone controller runs waves. Unlike the status above, this one does not
    # check for the controller's lease.
    reporter.add_status(
        "waves",
        lambda: [
            maintenance.wave_row(wave) for wave in entry.fleet.maintenance.statuses
        ],
    )


def _add_dump(entry: EntryProcess) -> None:
    reporter = entry.operations.reporter
    reporter.add_dump(
        "settings", lambda: entry.settings.model_dump(mode="json", exclude_unset=True)
    )
    reporter.add_dump(
        "config", lambda: config.describe(entry.config, entry.config_watcher)
    )
    reporter.add_dump(
        "document",
        lambda: entry.config.current().document.model_dump(mode="json"),
    )
    reporter.add_dump(
        "inventory",
        lambda: inventory.describe(entry.inventory, entry.clock.now_s()),
    )
    reporter.add_dump("membership", lambda: membership.describe(entry.membership))
    reporter.add_dump("peers", lambda: peers.describe(entry.channels))
    reporter.add_dump("store", lambda: store.describe(entry.store))
    reporter.add_dump(
        "pools", lambda: pools.describe(entry.controller, entry.fleet.capacity)
    )
    reporter.add_dump(
        "maintenance", lambda: maintenance.describe(entry.fleet.maintenance)
    )
    reporter.add_dump("jobs", lambda: jobs.describe(entry.jobs.scheduler))
    reporter.add_dump("idempotency", lambda: idempotency.describe(entry.claims))
    reporter.add_dump("admission", lambda: admission.describe_admission(entry.brokers))
    reporter.add_dump(
        "routing",
        lambda: routing.describe_routing(entry.router, entry.connections),
    )
    reporter.add_dump("callers", entry.callers.diagnostics)
    reporter.add_dump("operators", entry.operators.diagnostics)
    reporter.add_dump("assignments", lambda: _describe_assignments(entry))


def _add_metrics(entry: EntryProcess) -> None:
    for metric in entry_metrics(entry):
        entry.operations.metrics.add(metric)


def entry_metrics(entry: EntryProcess) -> tuple[Metric, ...]:
    """Return the metrics except the request statistics of the classes."""
    return (
        Metric(
            "jayshunt_info",
            "Version of the running program; the value is always 1.",
            lambda: {__version__: 1.0},
            "version",
        ),
        Metric(
            "jayshunt_ready",
            "Whether this entry can serve callers.",
            lambda: {"": float(entry.is_ready())},
        ),
        Metric(
            "jayshunt_memory_bytes",
            "Resident memory of this process.",
            lambda: {"": float(memory_bytes())},
        ),
        Metric(
            "jayshunt_class_target_seconds",
            "Target time for answers of a class.",
            lambda: _targets(entry),
            "class",
        ),
        Metric(
            "jayshunt_connections",
            "Open connections of callers.",
            lambda: {"": float(entry.callers.open_connections)},
        ),
        Metric(
            "jayshunt_connections_accepted_total",
            "Callers' connections by result: accepted, or the code of the refusal.",
            lambda: {name: float(n) for name, n in entry.callers.counts.items()},
            "result",
            is_counter=True,
        ),
        Metric(
            "jayshunt_config_version",
            "Version of the configuration in force on this entry.",
            lambda: {"": float(entry.config.current().version)},
        ),
        Metric(
            "jayshunt_config_accepted_timestamp_seconds",
            "Time at which the version in force was accepted.",
            lambda: {"": entry.config.current().accepted_s},
        ),
        Metric(
            "jayshunt_members",
            "Entries that this entry knows, by state.",
            lambda: _members(entry),
            "state",
        ),
        Metric(
            "jayshunt_store_up",
            "Whether the platform's store answered the last call.",
            lambda: {"": float(entry.store.health.state is StoreState.UP)},
        ),
        Metric(
            "jayshunt_store_calls_total",
            "Calls to the platform's store, by kind.",
            lambda: {
                "read": float(entry.store.calls - entry.store.writes),
                "write": float(entry.store.writes),
            },
            "kind",
            is_counter=True,
        ),
        Metric(
            "jayshunt_inventory_age_seconds",
            "Age of the platform's list of VMs.",
            lambda: {"": entry.clock.now_s() - entry.inventory.current.as_of_s},
        ),
        Metric(
            "jayshunt_zone_controller",
            "Whether this entry is the controller of its zone.",
            lambda: {"": float(entry.controller.holds_lease)},
        ),
        Metric(
            "jayshunt_zone_vms",
            "VMs of this entry's zone, by state.",
            lambda: vm_counts(entry.controller.record),
            "state",
        ),
        Metric(
            "jayshunt_moves_total",
            "VMs of the zone moved to another pool since this entry started.",
            lambda: {"": float(entry.operations.samples.move_count)},
            is_counter=True,
        ),
    )


def _describe_job_classes(entry: EntryProcess) -> list[dict]:
    view = entry.jobs.scheduler.view()
    return job_class_rows(
        entry.config.current(),
        entry.settings.identity.zone,
        view.epoch,
        view.open_jobs,
        view.waiting_reasons,
        entry.clock.now_s(),
    )


def _describe_process(entry: EntryProcess) -> dict:
    callers = entry.callers.diagnostics()
    return {
        "zone": entry.settings.identity.zone,
        "region": entry.settings.identity.region,
        "program_version": __version__,
        "config_version": entry.config.current().version,
        "store": entry.store.health.state.value,
        "ready": entry.is_ready(),
        "draining": callers["draining"],
        "is_controller": entry.controller.holds_lease,
        "memory_bytes": memory_bytes(),
        "open_connections": callers["open_connections"],
        "members": _members(entry),
    }


def _describe_assignments(entry: EntryProcess) -> dict:
    record = entry.controller.record
    return {
        "epoch": record.epoch,
        "vms": {
            vm: {"pool": a.pool, "state": a.state.value, "reason": a.reason}
            for vm, a in record.assignments.items()
        },
    }


def _members(entry: EntryProcess) -> dict[str, float]:
    counts = {state.value: 0.0 for state in MemberState}
    for member in entry.membership.view().members:
        counts[member.state.value] += 1
    return counts


def _targets(entry: EntryProcess) -> dict[str, float]:
    classes = entry.config.current().document.classes
    return {
        name: work_class.target_ms / 1000
        for name, work_class in classes.items()
        if work_class.target_ms is not None
    }
