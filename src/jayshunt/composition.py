"""Wire the parts of an entry process."""

import logging
import random
import threading
from dataclasses import asdict

from jayshunt import __version__
from jayshunt.admission.broker import Broker
from jayshunt.clock import SystemClock
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.ids import EntryId, PoolName, ZoneName
from jayshunt.inventory.poller import InventoryPoller
from jayshunt.jobs.application import JobApplication
from jayshunt.jobs.intake import JobIntake
from jayshunt.jobs.scheduler import JobScheduler
from jayshunt.jobs.shards import ZoneJobs
from jayshunt.jobs.worker_client import WorkerClient
from jayshunt.jobs.workers import WorkerTable
from jayshunt.operations.application import OperatorApplication
from jayshunt.operations.class_statistics import ClassStatistics
from jayshunt.pools.controller import ZoneController
from jayshunt.pools.models import Assignment, VmKind
from jayshunt.routing.connections import UpstreamConnections
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.routing.router import Router
from jayshunt.serving.application import CallerApplication
from jayshunt.serving.http_server import HttpServer
from jayshunt.settings.models import EntrySettings
from jayshunt.store.client import StoreClient
from jayshunt.store.documents import DocumentStore
from jayshunt.store.group_commit import GroupCommitter
from jayshunt.store.models import StoreState
from jayshunt.tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)


class EntryProcess:
    """Hold every part of one entry; `start` and `stop` are a pair."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create the parts; nothing runs yet."""
        self._settings = settings
        clock = SystemClock()
        rng = random.Random()
        self._clock = clock
        self._entry = EntryId(settings.identity.entry)
        zone = ZoneName(settings.identity.zone)
        self._tasks = TaskGroup("entry")
        self.store = StoreClient(settings.platform.store_url, clock, rng)
        documents = DocumentStore(self.store, clock, rng)
        self.inventory = InventoryPoller(settings.platform.inventory_url, clock)
        self.config = ConfigCoordinator(self.store, documents, clock, rng)
        self.controller = ZoneController(
            zone,
            self._entry,
            self.store,
            documents,
            lambda: self.inventory.current,
            clock,
        )
        self._brokers: dict[PoolName, Broker] = {}
        self._brokers_lock = threading.Lock()
        self.statistics = ClassStatistics(clock)
        self.connections = UpstreamConnections(clock)
        self.router = Router(
            self._entry, clock, self.config.current, self._broker_of, self.connections
        )
        self.commits = GroupCommitter(documents, clock, self._is_store_up)
        self.scheduler = self._job_scheduler(zone, documents)
        intake = JobIntake(
            zone,
            documents,
            self.commits,
            self.config.current,
            clock,
            rng,
            lambda _zone, shards: self.scheduler.notice(shards),
        )
        self.callers = self._caller_server(settings, JobApplication(intake))
        self.operators = self._operator_server(settings)

    def start(self) -> None:
        """Start every part; callers are served last."""
        for task in (
            self.inventory.run,
            self.config.run,
            self.controller.run,
            self.scheduler.run,
        ):
            self._tasks.start(task)
        self.operators.start()
        self.callers.start()
        _LOGGER.info(
            "entry: %s of zone %s serves callers on %s",
            self._entry,
            self._settings.identity.zone,
            self._settings.listen.callers,
        )

    def stop(self) -> None:
        """Serve what was accepted to its end, then stop every part."""
        _LOGGER.info("entry: stopping, requests in flight end first")
        self.callers.stop()
        self.operators.stop()
        self._tasks.stop()
        self.connections.stop()
        self.commits.stop()

    def _job_scheduler(self, zone: ZoneName, documents: DocumentStore) -> JobScheduler:
        wake = threading.Event()
        return JobScheduler(
            ZoneJobs(zone, documents, self.commits, self._clock),
            WorkerTable(WorkerClient(), self._clock, wake.set),
            self.config.current,
            lambda: self.controller.record,
            lambda: self.controller.term,
            self._clock,
            wake,
        )

    def _caller_server(
        self, settings: EntrySettings, jobs: JobApplication
    ) -> HttpServer:
        application = CallerApplication(
            self._send, jobs.answer, settings.limits.max_body_bytes
        )
        host, port = split_address(settings.listen.callers)
        return HttpServer(
            host,
            port,
            application,
            settings.limits.max_connections,
            settings.limits.read_timeout_ms / 1000,
        )

    def _operator_server(self, settings: EntrySettings) -> HttpServer:
        application = OperatorApplication(
            settings.operators.token_file.read_text().strip(),
            self.config,
            self._status,
            self._dump,
            self._is_ready,
        )
        host, port = split_address(settings.listen.operators)
        return HttpServer(host, port, application, 32, 10.0)

    def _send(self, request: CallerRequest) -> CallerAnswer:
        started_s = self._clock.monotonic_s()
        answered = False
        try:
            answer = self.router.send(request)
            answered = answer.status < 500
            return answer
        finally:
            duration_ms = (self._clock.monotonic_s() - started_s) * 1000
            if request.work_class in self.config.current().document.classes:
                self.statistics.record(request.work_class, duration_ms, answered)

    def _broker_of(self, pool: PoolName) -> Broker:
        with self._brokers_lock:
            broker = self._brokers.get(pool)
            if broker is None:
                broker = Broker(
                    pool,
                    self._entry,
                    self._clock,
                    lambda: self._instances(pool),
                    lambda: self.config.current()
                    .document.pools[pool]
                    .slots_per_instance,
                )
                self._brokers[pool] = broker
            return broker

    def _instances(self, pool: PoolName) -> tuple[Assignment, ...]:
        return self.controller.record.serving(pool, VmKind.UPSTREAM)

    def _is_store_up(self) -> bool:
        return self.store.health.state is StoreState.UP

    def _is_ready(self) -> bool:
        return bool(self.config.current().version and self.controller.record.epoch)

    def _status(self) -> dict:
        config = self.config.current()
        return {
            "entry": self._entry,
            "zone": self._settings.identity.zone,
            "program_version": __version__,
            "config_version": config.version,
            "store": self.store.health.state.value,
            "is_controller": self.controller.holds_lease,
            "classes": [
                {**asdict(status), "is_met": status.is_met}
                for status in self.statistics.status(config)
            ],
            "planned_stops": {
                name: stop.model_dump(mode="json")
                for name, stop in config.document.planned_stops.items()
            },
        }

    def _dump(self) -> dict:
        record = self.controller.record
        return {
            "status": self._status(),
            "config": self.config.current().model_dump(mode="json"),
            "assignments": {
                vm: {"pool": a.pool, "state": a.state.value, "reason": a.reason}
                for vm, a in record.assignments.items()
            },
            "held_permits": {
                pool: [asdict(permit) for permit in broker.held_permits()]
                for pool, broker in self._brokers.items()
            },
        }


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
