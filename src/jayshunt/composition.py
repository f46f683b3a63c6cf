"""Create and connect the components of an entry process."""

import logging
import random

from jayshunt import __version__
from jayshunt.admission.directory import BrokerDirectory
from jayshunt.admission.health_checks import HealthChecker
from jayshunt.admission.peer_service import AdmissionServicer
from jayshunt.clock import SystemClock
from jayshunt.config.checks import PoolCount, budget_check, target_check
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.gossip import ConfigGossip
from jayshunt.config.peer_service import ConfigurationServicer
from jayshunt.config.transport import GrpcConfigTransport
from jayshunt.config.watcher import StoreWatcher
from jayshunt.fleet_composition import FleetComponents
from jayshunt.idempotency.claims import ClaimStore, holder_gone_check
from jayshunt.idempotency.models import Holder
from jayshunt.ids import EntryId, PoolName, RegionName, WorkerId, ZoneName
from jayshunt.inventory.models import ListedState
from jayshunt.inventory.poller import InventoryPoller
from jayshunt.jobs.service import JobService
from jayshunt.membership.models import Member, MembershipView
from jayshunt.membership.peer_service import MembershipServicer
from jayshunt.membership.service import MembershipService
from jayshunt.operations.peer_service import OperationsServicer
from jayshunt.operations.sections import buffer_cores
from jayshunt.operations.service import OperationsService
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.server import PeerServer
from jayshunt.pools.models import Assignment, VmKind
from jayshunt.reports import add_reports
from jayshunt.routing.connections import UpstreamConnections
from jayshunt.routing.const import HEALTH_CONNECTIONS
from jayshunt.routing.router import Router
from jayshunt.serving.application import CallerApplication
from jayshunt.serving.http_server import HttpServer
from jayshunt.serving.limits import OPERATOR_LIMITS, caller_limits
from jayshunt.serving.tls import ReloadingTls
from jayshunt.settings.models import EntrySettings, ServerTlsFiles
from jayshunt.store.call_limiter import CallShare
from jayshunt.store.client import StoreClient
from jayshunt.store.documents import DocumentStore
from jayshunt.store.group_commit import GroupCommitter
from jayshunt.store.models import StoreState
from jayshunt.tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)


class EntryProcess:
    """Components of one entry; each `start` is followed by one `stop`."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create the components without starting them."""
        self.settings = settings
        clock = SystemClock()
        rng = random.Random()
        self.clock = clock
        self._entry = EntryId(settings.identity.entry)
        zone = ZoneName(settings.identity.zone)
        self._tasks = TaskGroup("entry")
        self.store = StoreClient(settings.platform.store_url, clock, rng)
        documents = DocumentStore(self.store, clock, rng)
        self.peer_server = PeerServer(settings.listen.peers, settings.tls.peers)
        self.channels = PeerChannels(settings.tls.peers)
        own = self._build_own_member()
        self.membership = MembershipService(
            own, settings.seeds, self.channels, clock, rng
        )
        self.peer_server.add(MembershipServicer(self.membership).add_to)
        self.membership.add_listener(self._update_store_share)
        self.inventory = InventoryPoller(settings.platform.inventory_url, clock)
        self.inventory.add_listener(
            lambda listed: self.membership.add_seeds(listed.entries)
        )
        self.config = ConfigCoordinator(self.store, documents, clock, rng)
        self.config_gossip = ConfigGossip(
            own,
            self.config,
            GrpcConfigTransport(self.channels),
            self.membership.view,
            self.membership.node.gossip_targets,
            clock,
            rng,
        )
        self.config_watcher = StoreWatcher(
            own, self.config, self.store.watch, self.membership.view, clock, rng
        )
        self.peer_server.add(
            ConfigurationServicer(self.config, self.config_gossip).add_to
        )
        self.membership.add_version_listener(self.config_gossip.handle_version_report)
        self.config.add_listener(
            lambda snapshot: self.membership.set_config_version(snapshot.version)
        )
        self.fleet = FleetComponents(
            own,
            self.store,
            documents,
            self.channels,
            self.membership,
            self.config,
            self.inventory,
            lambda: self.brokers,
            clock,
        )
        self.peer_server.add(self.fleet.add_service)
        self.controller = self.fleet.controller
        self.operations = OperationsService(
            self._entry,
            self.config,
            self.membership.view,
            self.channels,
            self._buffer_cores,
            clock,
        )
        self.peer_server.add(OperationsServicer(self.operations.reporter).add_to)
        self.config.add_check(budget_check(self._count_vms))
        self.config.add_check(target_check(self.operations.statistics.fastest_ms))
        self.controller.add_listener(self.operations.samples.record_moves)
        self.brokers = BrokerDirectory(
            self._entry,
            zone,
            clock,
            self.membership.view,
            self.channels,
            self._serving_upstreams,
            self._slots_per_instance,
        )
        self.health = HealthChecker(self.brokers.brokers, clock)
        service = AdmissionServicer(
            self.brokers.get_or_create_broker, self.brokers.recover
        )
        self.peer_server.add(service.add_to)
        self.controller.add_listener(lambda _: self.brokers.apply_assignments())
        self.connections = UpstreamConnections(clock, self._max_idle_connections)
        self.commits = GroupCommitter(documents, clock, self._is_store_up)
        holder = Holder(self._entry, own.incarnation)
        self.claims = ClaimStore(
            holder, self.commits, holder_gone_check(self.membership.view), clock
        )
        self.router = Router(
            self._entry,
            clock,
            self.config.current,
            self.brokers,
            self.connections,
            rng,
            self.claims,
        )
        # The first step of a new zone controller raises its share of the store's rate.
        self.controller.add_duty(
            lambda _: self._update_store_share(self.membership.view())
        )
        self.jobs = JobService(
            own,
            documents,
            self.commits,
            self.config.current,
            lambda: self.controller.record,
            lambda: self.controller.term,
            self.membership.view,
            self.channels,
            clock,
            rng,
        )
        self.peer_server.add(self.jobs.servicer.add_to)
        self.controller.add_drain_check(
            lambda vm: self.jobs.scheduler.remaining_jobs(WorkerId(vm))
        )
        self.callers = self._build_caller_server(settings)
        self.operators = self._build_operator_server(settings)
        add_reports(self)

    def start(self) -> None:
        """Start every component, the callers' server last."""
        self.peer_server.start()
        for task in (
            self.membership.run,
            self.inventory.run,
            self.config_watcher.run,
            self.config_gossip.run_fetches,
            self.controller.run,
            *self.jobs.tasks,
            self.claims.run,
        ):
            self._tasks.start(task)
        for task in (self.brokers.run, self.health.run, self.operations.samples.run):
            self._tasks.start(task)
        self.operators.start()
        self.callers.start()
        _LOGGER.info(
            "entry: %s of zone %s serves callers on %s",
            self._entry,
            self.settings.identity.zone,
            self.settings.listen.callers,
        )

    def stop(self) -> None:
        """Finish accepted requests, then stop every component."""
        _LOGGER.info("entry: stopping after requests in flight have ended")
        self.membership.leave()
        self.callers.stop()
        self.operators.stop()
        self.brokers.stop()
        self._tasks.stop()
        self.connections.stop()
        self.commits.stop()
        self.fleet.stop()
        self.membership.stop()
        self.peer_server.stop()
        self.channels.stop()

    def _count_vms(self, pool: PoolName) -> PoolCount:
        """Count a pool's VMs in all zones from the platform's list."""
        listed = [
            vm for vm in self.inventory.current.vms.values() if vm.initial_pool == pool
        ]
        live = sum(vm.state is ListedState.LIVE for vm in listed)
        return PoolCount(len(listed), live)

    def _update_store_share(self, view: MembershipView) -> None:
        """Divide the store's rate among all entries that may be alive.

        Lost members count until the membership removes them, because they may still
        run on the other side of a partition.
        """
        share = CallShare(
            len(view.members), len(view.zones()), self.controller.holds_lease
        )
        self.store.set_share(share)

    def _build_own_member(self) -> Member:
        identity = self.settings.identity
        host, _ = split_address(self.settings.listen.peers)
        return Member(
            entry=self._entry,
            zone=ZoneName(identity.zone),
            region=RegionName(identity.region),
            peer_address=f"{host}:{self.peer_server.port}",
            # Based on wall time, so that it increases when the process is restarted.
            incarnation=int(self.clock.now_s() * 1000),
            program_version=__version__,
        )

    def _build_caller_server(self, settings: EntrySettings) -> HttpServer:
        application = CallerApplication(
            self.operations.instrument(self.router.send),
            self.jobs.application.answer,
            lambda request: self.router.cancel(request.request),
        )
        host, port = split_address(settings.listen.callers)
        return HttpServer(
            host,
            port,
            application,
            caller_limits(settings.limits),
            self._build_tls(settings.tls.callers),
            self.clock,
        )

    def _build_operator_server(self, settings: EntrySettings) -> HttpServer:
        application = self.operations.application(
            settings.operators.token_file.read_text().strip(), self.is_ready
        )
        host, port = split_address(settings.listen.operators)
        return HttpServer(
            host,
            port,
            application,
            OPERATOR_LIMITS,
            self._build_tls(settings.tls.operators),
            self.clock,
        )

    def _build_tls(self, files: ServerTlsFiles | None) -> ReloadingTls | None:
        return None if files is None else ReloadingTls(files, self.clock)

    def _slots_per_instance(self, pool: PoolName) -> int:
        settings = self.config.current().document.pools.get(pool)
        if settings is None:
            return 0
        return min(settings.slots_per_instance, settings.connections_per_instance)

    def _max_idle_connections(self) -> int:
        """Return this entry's share of the upstream connections beyond the slots."""
        pools = self.config.current().document.pools.values()
        spare = min(
            (p.connections_per_instance - p.slots_per_instance for p in pools),
            default=0,
        )
        entries = len(self.membership.view().alive())
        return max(0, spare - HEALTH_CONNECTIONS) // max(1, entries)

    def _serving_upstreams(self, pool: PoolName) -> tuple[Assignment, ...]:
        if not self.controller.may_broker:
            return ()
        return self.controller.record.serving(pool, VmKind.UPSTREAM)

    def _is_store_up(self) -> bool:
        return self.store.health.state is StoreState.UP

    def is_ready(self) -> bool:
        """Return whether this entry can serve callers; False once it is stopping.

        An entry that may not be a broker yet serves through the other entries of its
        zone.
        """
        is_loaded = self.config.current().version and self.controller.record.epoch
        zone = ZoneName(self.settings.identity.zone)
        others = len(self.membership.view().alive(zone)) > 1
        has_broker = self.controller.may_broker or others
        return bool(is_loaded and has_broker) and not self.callers.draining

    def _buffer_cores(self) -> float:
        return buffer_cores(
            self.config.current(), self.controller.record, self.inventory.current
        )


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a `HOST:PORT` address, without IPv6 brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
