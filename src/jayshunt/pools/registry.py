"""Register the entries of a zone in the store."""

import json
import logging
from dataclasses import asdict

from jayshunt.clock import Clock
from jayshunt.ids import EntryId, Revision, ZoneName
from jayshunt.pools.const import REGISTRATION_CHECK_S, entries_prefix
from jayshunt.pools.models import EntryRegistration
from jayshunt.store.client import ABSENT, StoreClient

_LOGGER = logging.getLogger(__name__)


class EntryRegistry:
    """Keep this entry registered and read the registrations of the zone.

    An entry may act as broker only while it is registered, and only after it has
    read the assignment record since it registered, because a controller waits only
    for registered entries before it drains a VM.
    """

    def __init__(
        self,
        zone: ZoneName,
        entry: EntryId,
        incarnation: int,
        peer_address: str,
        store: StoreClient,
        clock: Clock,
    ) -> None:
        """Start unregistered."""
        self._prefix = entries_prefix(zone)
        self._store = store
        self._clock = clock
        self.own = EntryRegistration(entry, incarnation, peer_address, 0.0)
        self._checked_s: float | None = None

    @property
    def is_registered(self) -> bool:
        """Return whether the last check found or wrote this entry's registration."""
        return self._checked_s is not None

    def register(self) -> bool:
        """Write the registration if it is missing; return whether it is new.

        The registration of a later process with the same entry id is not replaced:
        this process is then the older one and must not act as broker.
        """
        now_s = self._clock.monotonic_s()
        if self._checked_s is not None:
            if now_s - self._checked_s < REGISTRATION_CHECK_S:
                return False
        key = self._prefix + self.own.entry
        stored = self._store.get(key)
        found = None if stored is None else json.loads(stored.value)["incarnation"]
        if found == self.own.incarnation:
            is_new = self._checked_s is None
            self._checked_s = now_s
            return is_new
        self._checked_s = None
        if found is not None and found > self.own.incarnation:
            _LOGGER.error("pools: a later process runs as %s", self.own.entry)
            return False
        registration = {**asdict(self.own), "registered_s": self._clock.now_s()}
        expected = ABSENT if stored is None else stored.revision
        self._store.put(key, json.dumps(registration), expected)
        self._checked_s = now_s
        return True

    def withdraw(self) -> None:
        """Delete this entry's registration at an orderly stop."""
        self._checked_s = None
        stored = self._store.get(self._prefix + self.own.entry)
        if stored is None:
            return
        if json.loads(stored.value)["incarnation"] == self.own.incarnation:
            self._store.delete(stored.key, stored.revision)

    def registered(self) -> list[tuple[EntryRegistration, Revision]]:
        """Return all registered entries of the zone with their revisions."""
        return [
            (_registration(json.loads(stored.value)), stored.revision)
            for stored in self._store.list(self._prefix)
        ]

    def remove(self, entry: EntryId, revision: Revision) -> None:
        """Delete a registration if it has not changed since it was read."""
        self._store.delete(self._prefix + entry, revision)
        _LOGGER.info("pools: removed the registration of %s, its VM is gone", entry)


def _registration(content: dict) -> EntryRegistration:
    return EntryRegistration(
        EntryId(content["entry"]),
        content["incarnation"],
        content["peer_address"],
        content["registered_s"],
    )
