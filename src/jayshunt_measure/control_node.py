"""Run only the membership and the configuration of an entry."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from jayshunt import __version__
from jayshunt.clock import SystemClock
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.gossip import ConfigGossip
from jayshunt.config.models import ConfigDocument, ConfigEdit, ConfigSnapshot
from jayshunt.config.peer_service import ConfigurationServicer
from jayshunt.config.transport import GrpcConfigTransport
from jayshunt.config.watcher import StoreWatcher
from jayshunt.ids import ConfigVersion, EntryId, RegionName, ZoneName
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.membership.peer_service import MembershipServicer
from jayshunt.membership.service import MembershipService
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.server import PeerServer
from jayshunt.settings.models import TlsFiles
from jayshunt.store.call_limiter import CallShare
from jayshunt.store.client import StoreClient
from jayshunt.store.documents import DocumentStore
from jayshunt.tasks import TaskGroup

Report = Callable[[dict], None]


@dataclass(frozen=True)
class NodePlan:
    """Describe one node of a measurement."""

    entry: str
    zone: str
    region: str
    address: str
    seeds: tuple[str, ...]
    store_url: str
    certificate_file: str
    key_file: str
    authority_file: str
    # A baseline: the node receives versions only from its own watch of the store.
    watch_only: bool = False


class CuttableChannels(PeerChannels):
    """Connect to an address that never answers in place of each cut-off peer."""

    def __init__(self, tls: TlsFiles, black_hole_address: str) -> None:
        """Create channels with no peer cut off."""
        super().__init__(tls)
        self._black_hole_address = black_hole_address
        self._cut: frozenset[str] = frozenset()

    def cut(self, addresses: frozenset[str]) -> None:
        """Cut off exactly these peers; close the connections of changed ones."""
        changed = self._cut ^ addresses
        self._cut = addresses
        for address in changed:
            self.forget(address)

    def _open(self, peer_address: str):
        cut = peer_address in self._cut
        return super()._open(self._black_hole_address if cut else peer_address)


class ControlNode:
    """Connect the control components of one entry, as `composition` does."""

    def __init__(self, plan: NodePlan, report: Report, black_hole_address: str) -> None:
        """Create the components without starting them."""
        clock, rng = SystemClock(), random.Random()
        tls = TlsFiles(
            certificate_file=Path(plan.certificate_file),
            key_file=Path(plan.key_file),
            authority_file=Path(plan.authority_file),
        )
        self.plan = plan
        self._report = report
        self._states: dict[str, MemberState] = {}
        self._tasks = TaskGroup(plan.entry, 8)
        self.server = PeerServer(plan.address, tls)
        self.channels = CuttableChannels(tls, black_hole_address)
        own = Member(
            EntryId(plan.entry),
            ZoneName(plan.zone),
            plan.address,
            int(time.time() * 1000),
            program_version=__version__,
            region=RegionName(plan.region),
        )
        self.membership = MembershipService(own, plan.seeds, self.channels, clock, rng)
        self.store = StoreClient(plan.store_url, clock, rng)
        documents = DocumentStore(self.store, clock, rng)
        self.config = ConfigCoordinator(self.store, documents, clock, rng)
        self.config.add_listener(self._report_applied)
        self._watcher = StoreWatcher(
            own, self.config, self.store.watch, self._watch_view, clock, rng
        )
        self.server.add(MembershipServicer(self.membership).add_to)
        self.membership.add_listener(self._on_view_changed)
        if not plan.watch_only:
            self._wire_config_gossip(own, clock, rng)

    def start(self) -> None:
        """Start all components."""
        self.server.start()
        for task in (self.membership.run, self._watcher.run):
            self._tasks.start(task)
        if not self.plan.watch_only:
            self._tasks.start(self.config_gossip.run_fetches)

    def stop(self, graceful: bool) -> None:
        """Stop the node; if not `graceful`, peers get no notice, as in a crash."""
        if graceful:
            self.membership.leave()
        self._tasks.stop()
        if graceful:
            self.membership.stop()
        else:
            self.membership.node.simulate_crash()
            self.membership.stop()
        self.server.stop()
        self.channels.stop()

    def accept(self, name: str, quota_cores: float) -> ConfigSnapshot:
        """Set the quota of one team, as an operator does."""

        def change(document: ConfigDocument) -> ConfigDocument:
            content = document.model_dump(mode="json")
            content["teams"][name] = {"quota_cores": quota_cores}
            return ConfigDocument.model_validate(content)

        return self.config.accept(change, f"operator-{self.plan.entry}")

    def edit(self, base: int, name: str, quota_cores: float) -> ConfigSnapshot:
        """Set the quota of one team in the document of version `base`."""
        document = self.config.at_version(ConfigVersion(base)).document
        content = document.model_dump(mode="json")
        content["teams"][name] = {"quota_cores": quota_cores}
        edited = ConfigDocument.model_validate(content)
        author = f"operator-{self.plan.entry}"
        edit = ConfigEdit(edited, author, ConfigVersion(base))
        return self.config.accept_edit(edit)

    def load(self, document: dict) -> ConfigSnapshot:
        """Replace the whole configuration document."""
        loaded = ConfigDocument.model_validate(document)
        return self.config.accept(lambda _: loaded, "operator")

    def _wire_config_gossip(self, own: Member, clock, rng: random.Random) -> None:
        transport = GrpcConfigTransport(self.channels)
        self.config_gossip = ConfigGossip(
            own,
            self.config,
            transport,
            self.membership.view,
            self.membership.node.gossip_targets,
            clock,
            rng,
        )
        self.server.add(ConfigurationServicer(self.config, self.config_gossip).add_to)
        self.membership.add_version_listener(self.config_gossip.handle_version_report)
        self.config.add_listener(
            lambda snapshot: self.membership.set_config_version(snapshot.version)
        )

    def _watch_view(self) -> MembershipView:
        if self.plan.watch_only:
            return MembershipView(1, (self.membership.node.own,))
        return self.membership.view()

    def _report_applied(self, snapshot: ConfigSnapshot) -> None:
        self._report(
            {
                "event": "applied",
                "entry": self.plan.entry,
                "version": snapshot.version,
                "digest": snapshot.digest,
            }
        )

    def _on_view_changed(self, view: MembershipView) -> None:
        zones = len(view.zones())
        self.store.set_share(CallShare(len(view.members), zones))
        for member in view.members:
            if self._states.get(member.entry) is not member.state:
                self._states[member.entry] = member.state
                self._report(
                    {
                        "event": "state",
                        "entry": self.plan.entry,
                        "about": member.entry,
                        "state": member.state.value,
                    }
                )
