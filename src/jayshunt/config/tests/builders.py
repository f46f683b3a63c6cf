"""Build coordinators on a fake store and networks of entries."""

import random
from collections.abc import Callable

from jayshunt.clock import ManualClock
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.gossip import ConfigGossip
from jayshunt.config.messages import Notice
from jayshunt.config.models import ConfigDocument, ConfigEdit
from jayshunt.errors import JayshuntError
from jayshunt.ids import ConfigVersion
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.membership.tests.builders import build_member
from jayshunt.store.documents import DocumentStore
from jayshunt.store.tests.builders import FakeStore


def build_document(**targets_ms: int) -> ConfigDocument:
    """Return a document with a request class and target per keyword."""
    return ConfigDocument.model_validate(
        {
            "pools": {"desk": {}},
            "classes": {
                name: {"pool": "desk", "target_ms": target_ms}
                for name, target_ms in targets_ms.items()
            },
        }
    )


def build_coordinator(store: FakeStore, seed: int = 1) -> ConfigCoordinator:
    """Return a coordinator on a fake store."""
    clock, rng = ManualClock(), random.Random(seed)
    return ConfigCoordinator(store, DocumentStore(store, clock, rng), clock, rng)


def build_edit(
    document: ConfigDocument, base: int | None = None, author: str = "ama"
) -> ConfigEdit:
    """Return an edit of a document; `base` is its base version."""
    version = None if base is None else ConfigVersion(base)
    return ConfigEdit(document, author, version)


def add_class(name: str) -> Callable[[ConfigDocument], ConfigDocument]:
    """Return a function that adds one class to a document."""

    def change(document: ConfigDocument) -> ConfigDocument:
        content = document.model_dump(mode="json")
        content["pools"].setdefault("desk", {})
        content["classes"][name] = {"pool": "desk", "target_ms": 100}
        return ConfigDocument.model_validate(content)

    return change


class FakePeers:
    """Connect ConfigGossip instances of several entries without a network.

    Members in `unreachable` neither send nor answer. Members in `missing_notices`
    are reachable, but receive no notices.
    """

    def __init__(self, count: int, store: FakeStore, seed: int = 1) -> None:
        """Create members on one store that all know each other."""
        rng = self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.unreachable: set[str] = set()
        self.missing_notices: set[str] = set()
        self.members = [build_member(f"e{number:02}") for number in range(count)]
        self.coordinators: dict[str, ConfigCoordinator] = {}
        self.config_gossips: dict[str, ConfigGossip] = {}
        for member in self.members:
            coordinator = build_coordinator(store, rng.getrandbits(32))
            self.coordinators[member.entry] = coordinator
            self.config_gossips[member.entry] = ConfigGossip(
                member, coordinator, self, self.view, self.choose, self.clock, rng
            )

    def view(self) -> MembershipView:
        """Return a view in which all members are alive."""
        return MembershipView(1, tuple(self.members))

    def choose(self, count: int) -> list[Member]:
        """Return random members as targets of a notice."""
        return self.rng.sample(self.members, count)

    def notify(self, address: str, notice: Notice, on_reply: Callable) -> None:
        """Deliver a notice to a member and its reply to the sender."""
        if address in self.unreachable or address in self.missing_notices:
            on_reply(None)
            return
        on_reply(self.config_gossips[address].handle_notice(notice))

    def fetch(self, address: str, notice: Notice) -> bytes:
        """Return the packed version of a reachable member."""
        if address in self.unreachable:
            raise JayshuntError("peer_unreachable", step="config.fetch", peer=address)
        return self.coordinators[address].pack_current()[1]

    def fetch_until_settled(self) -> None:
        """Let the members fetch announced versions, one round per member."""
        for _ in range(len(self.members)):
            for entry, config_gossip in self.config_gossips.items():
                if entry not in self.unreachable:
                    config_gossip.fetch_pending()

    def exchange_heartbeats(self) -> None:
        """Let every member report its version to the next one, then fetch."""
        for number, member in enumerate(self.members):
            monitor = self.members[(number + 1) % len(self.members)]
            if member.entry in self.unreachable or monitor.entry in self.unreachable:
                continue
            version = self.coordinators[member.entry].current().version
            self.config_gossips[monitor.entry].handle_version_report(
                member.entry, version
            )
        self.clock.advance(1.0)
        self.fetch_until_settled()

    def versions(self) -> set[int]:
        """Return the set of versions in force on reachable members."""
        return {
            coordinator.current().version
            for entry, coordinator in self.coordinators.items()
            if entry not in self.unreachable
        }

    def disconnect(self, member: Member) -> None:
        """Make a member unreachable while the others still see it as alive."""
        self.unreachable.add(member.entry)
        assert member.state is MemberState.ALIVE
