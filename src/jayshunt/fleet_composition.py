"""Create and connect the components that manage the assignments of a zone.

Every entry creates them; the controller of the zone runs their duties.
"""

from collections.abc import Callable

import grpc

from jayshunt.admission.diagnostics import ejected_instances, pool_demand
from jayshunt.admission.directory import BrokerDirectory
from jayshunt.clock import Clock
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.models import ConfigDocument
from jayshunt.ids import PoolName
from jayshunt.inventory.poller import InventoryPoller
from jayshunt.maintenance.permits import PermitLedger
from jayshunt.maintenance.probes import HealthProbes
from jayshunt.maintenance.reporting import ZoneReporter
from jayshunt.maintenance.runner import MaintenanceRunner
from jayshunt.membership.models import Member
from jayshunt.membership.service import MembershipService
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol.peer_pb2_grpc import add_AssignmentsServicer_to_server
from jayshunt.pools.capacity_control import CapacityControl
from jayshunt.pools.controller import ZoneController
from jayshunt.pools.loss_reaction import LossReaction
from jayshunt.pools.models import EntryRegistration
from jayshunt.pools.mover import Mover
from jayshunt.pools.peer_service import AssignmentsService, RecordPusher
from jayshunt.pools.registry import EntryRegistry
from jayshunt.store.client import StoreClient
from jayshunt.store.documents import DocumentStore


class FleetComponents:
    """Components for assignments, moves and maintenance of an entry's zone."""

    def __init__(
        self,
        own: Member,
        store: StoreClient,
        documents: DocumentStore,
        channels: PeerChannels,
        membership: MembershipService,
        config: ConfigCoordinator,
        inventory: InventoryPoller,
        get_brokers: Callable[[], BrokerDirectory],
        clock: Clock,
    ) -> None:
        """Create the components; the zone controller's task runs their duties."""
        self._config = config
        self.registry = EntryRegistry(
            own.zone, own.entry, own.incarnation, own.peer_address, store, clock
        )
        self._service = AssignmentsService(
            own.zone,
            self.registry.own,
            lambda record: self.controller.apply(record),
            lambda vm: get_brokers().in_flight(vm),
            lambda: ejected_instances(get_brokers()),
            lambda: pool_demand(get_brokers()),
        )
        self.controller = ZoneController(
            own.zone,
            own.entry,
            store,
            documents,
            lambda: inventory.current,
            clock,
            self.registry,
            RecordPusher(channels, self._service).push,
            lambda: [
                EntryRegistration(m.entry, m.incarnation, m.peer_address, 0.0)
                for m in membership.view().alive(own.zone)
            ],
        )
        ledger = PermitLedger(
            documents,
            lambda: inventory.current,
            self._min_available_ratio,
            lambda: self.controller.fencing_epoch,
            clock,
        )
        self._probes = HealthProbes()
        self.maintenance = MaintenanceRunner(
            own.zone,
            self.controller,
            ledger,
            ZoneReporter(own.zone, ledger, self.controller.ejected_vms, clock),
            self._current_document,
            inventory.request_vm_action,
            self._probes.check,
            clock,
        )
        mover = Mover(own.zone, self.controller, ledger.request, clock)
        self.loss_reaction = LossReaction(
            mover,
            self._current_document,
            lambda: inventory.current,
            self.controller.ejected_vms,
        )
        self.capacity = CapacityControl(
            mover, self._current_document, self.controller.demand, clock
        )
        for duty in (
            self.maintenance.step,
            self.loss_reaction.step,
            self.capacity.step,
        ):
            self.controller.add_duty(duty)

    def add_service(self, server: grpc.Server) -> None:
        """Register the service that receives the zone's assignment records."""
        add_AssignmentsServicer_to_server(self._service, server)

    def stop(self) -> None:
        """Stop the health probes in flight."""
        self._probes.stop()

    def _current_document(self) -> ConfigDocument:
        return self._config.current().document

    def _min_available_ratio(self, pool: PoolName) -> float:
        configured = self._current_document().pools.get(pool)
        # No VM of a pool that is not configured may be taken down.
        return 1.0 if configured is None else configured.min_available_ratio
