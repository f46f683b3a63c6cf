"""Exchange member records with other entries, periodically and on changes."""

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from jayshunt.ids import ConfigVersion, EntryId
from jayshunt.membership.const import (
    EXCHANGE_INTERVAL_S,
    GOSSIP_FAN_OUT,
    JOIN_INTERVAL_S,
    RECONTACT_INTERVAL_S,
    REGION_FAILURE_THRESHOLD,
)
from jayshunt.membership.messages import Exchange
from jayshunt.membership.models import Member, MemberState
from jayshunt.membership.ring import RING_STATES
from jayshunt.membership.table import MemberTable
from jayshunt.membership.transport import MembershipTransport

# Merges records, with a flag whether losses count as suspicions, and returns the
# records that the sender lacks.
Merge = Callable[[tuple[Member, ...], bool], tuple[Member, ...]]


class RecordExchanger:
    """Send member records and merge the replies.

    Callers hold `lock`; replies take it themselves. `config_version` is sent with each
    message, and `on_version` is called with the one in a reply.
    """

    def __init__(
        self,
        table: MemberTable,
        seeds: Iterable[str],
        transport: MembershipTransport,
        rng: random.Random,
        lock: threading.RLock,
        merge: Merge,
        now_s: float,
    ) -> None:
        """Start without contacts; the first exchange is due at `now_s`."""
        self._table = table
        self._seeds = [seed for seed in seeds if seed != table.own.peer_address]
        self._transport = transport
        self._rng = rng
        self._lock = lock
        self._merge = merge
        self._failures: dict[str, int] = {}
        self._next_exchange_s = now_s
        self._next_recontact_s = now_s
        self.contacts: list[Member] = []
        self.config_version = ConfigVersion(0)
        self.on_version: Callable[[EntryId, ConfigVersion], None] = lambda *_: None

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses at which other members may be reached."""
        known = {*self._seeds, self._table.own.peer_address}
        self._seeds += [a for a in dict.fromkeys(addresses) if a not in known]

    def set_contacts(self, contacts: list[Member]) -> None:
        """Replace the members of the periodic exchanges."""
        self.contacts = contacts
        addresses = {member.peer_address for member in contacts}
        self._failures = {a: n for a, n in self._failures.items() if a in addresses}

    def sample_contacts(self, count: int) -> list[Member]:
        """Return up to `count` random contacts."""
        return self._sample(self.contacts, count)

    def exchange_soon(self, now_s: float) -> None:
        """Make the next periodic exchange due at `now_s`."""
        self._next_exchange_s = now_s

    def exchange_when_due(self, now_s: float) -> None:
        """Send the periodic exchange with a contact, or with seeds while joining."""
        if now_s < self._next_exchange_s:
            return
        addresses = [m.peer_address for m in self.contacts] or self._seeds
        joined = bool(self.contacts) or not self._seeds
        # Jitter keeps entries that started together from exchanging in step.
        interval_s = EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        self._next_exchange_s = now_s + (interval_s if joined else JOIN_INTERVAL_S)
        for address in self._sample(addresses, 1 if joined else GOSSIP_FAN_OUT):
            self.exchange_with(address, self._record_failure)

    def recontact_when_due(self, now_s: float) -> None:
        """Try a member that was lost, or a seed that is no member."""
        if now_s < self._next_recontact_s:
            return
        jitter = self._rng.uniform(0.8, 1.2)
        self._next_recontact_s = now_s + RECONTACT_INTERVAL_S * jitter
        known = {m.peer_address for m in self._table.others(*RING_STATES)}
        lost = {m.peer_address for m in self._table.others(MemberState.LOST)}
        addresses = sorted((lost | set(self._seeds)) - known)
        if addresses:
            self.exchange_with(self._rng.choice(addresses))

    def exchange_with(
        self, address: str, on_failure: Callable[[str], None] = lambda _: None
    ) -> None:
        """Compare digests with a peer, and send all records if they still differ."""

        def handle_reply(reply: Exchange | None) -> None:
            if reply is None:
                on_failure(address)
                return
            with self._lock:
                self._failures.pop(address, None)
                missing = self._merge(reply.members, True)
                if reply.complete and reply.digest != self._table.digest():
                    complete = self._complete_exchange(missing)
                    self._transport.exchange(address, complete, self._merge_corrections)
            self.on_version(reply.entry, reply.config_version)

        message = replace(self._empty_exchange(), digest=self._table.digest())
        self._transport.exchange(address, message, handle_reply)

    def send_updates(self, address: str, updates: tuple[Member, ...]) -> None:
        """Send records to a peer and merge its corrections."""
        message = replace(self._empty_exchange(), members=updates)
        self._transport.exchange(address, message, self._merge_corrections)

    def answer(self, message: Exchange) -> Exchange:
        """Merge a peer's records and return those that it lacks."""
        corrections = self._merge(message.members, message.complete)
        if message.digest not in (0, self._table.digest()):
            return self._complete_exchange(corrections)
        return replace(self._empty_exchange(), members=corrections)

    def _record_failure(self, address: str) -> None:
        """Suspect a member of another region after repeated failed exchanges.

        All its monitors are in its own region and may be lost with it. Every member
        that receives the suspicion notifies the suspect, which can then refute it,
        so that one broken network path does not get the member declared lost.
        """
        with self._lock:
            self._failures[address] = self._failures.get(address, 0) + 1
            if self._failures[address] < REGION_FAILURE_THRESHOLD:
                return
            for member in self._table.others(MemberState.ALIVE):
                is_other_region = member.region != self._table.own.region
                if member.peer_address == address and is_other_region:
                    del self._failures[address]
                    self._merge((replace(member, state=MemberState.SUSPECT),), False)

    def _merge_corrections(self, reply: Exchange | None) -> None:
        if reply is not None:
            with self._lock:
                self._merge(reply.members, True)

    def _empty_exchange(self) -> Exchange:
        return Exchange(self._table.own.entry, (), self.config_version)

    def _complete_exchange(self, more: tuple[Member, ...]) -> Exchange:
        return replace(
            self._empty_exchange(),
            members=(*self._table.members(), *more),
            complete=True,
            digest=self._table.digest(),
        )

    def _sample(self, items: list, count: int) -> list:
        return self._rng.sample(items, min(count, len(items)))
