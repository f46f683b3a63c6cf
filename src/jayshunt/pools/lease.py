"""Acquire and renew the lease that makes an entry the controller of its zone."""

import json
import logging

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, LeaseId, ZoneName
from jayshunt.pools.const import CONTROLLER_LEASE_S, controller_key
from jayshunt.store.client import ABSENT, StoreClient
from jayshunt.store.errors import RevisionConflict, StoreOutcomeUnknown

_LOGGER = logging.getLogger(__name__)


class ControllerLease:
    """Acquire and renew the lease; it counts as held only until its local deadline.

    The deadline is computed from the time before the call that granted or renewed
    the lease, so the lease ends here before it ends in the store. A process that
    pauses after the check could still write later; the fencing epoch of the record
    prevents that.
    """

    def __init__(
        self, zone: ZoneName, entry: EntryId, store: StoreClient, clock: Clock
    ) -> None:
        """Start without the lease."""
        self._zone = zone
        self._entry = entry
        self._store = store
        self._clock = clock
        self._lease: LeaseId | None = None
        self._unconfirmed: LeaseId | None = None
        self._ends_s = 0.0

    @property
    def is_held(self) -> bool:
        """Return whether the lease is held and has not expired."""
        return self._lease is not None and self._clock.monotonic_s() < self._ends_s

    def acquire_or_renew(self) -> bool:
        """Renew the lease, or acquire it if it is free; return whether it is held."""
        if self._lease is not None and self._renew():
            return True
        return self._acquire()

    def abandon(self) -> None:
        """Treat the lease as lost, without ending it in the store."""
        self._lease = None

    def release(self) -> None:
        """End the lease, so that another entry can acquire it at once."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            self._store.end_lease(lease)
        except JayshuntError as error:
            _LOGGER.warning("pools: could not end the lease, it will expire: %s", error)

    def _renew(self) -> bool:
        asked_s = self._clock.monotonic_s()
        if self._store.renew_lease(self._lease):
            self._ends_s = asked_s + CONTROLLER_LEASE_S
            return True
        _LOGGER.warning("pools: the controller lease of %s ended", self._zone)
        self._lease = None
        return False

    def _acquire(self) -> bool:
        key = controller_key(self._zone)
        stored = self._store.get(key)
        if stored is not None:
            return self._adopt_unconfirmed(json.loads(stored.value).get("lease"))
        asked_s = self._clock.monotonic_s()
        lease = self._store.grant_lease(CONTROLLER_LEASE_S)
        holder = json.dumps({"entry": self._entry, "lease": lease})
        try:
            self._store.put(key, holder, ABSENT, lease)
        except RevisionConflict:
            return False
        except StoreOutcomeUnknown:
            self._unconfirmed = lease
            raise
        self._lease, self._ends_s = lease, asked_s + CONTROLLER_LEASE_S
        return self.is_held

    def _adopt_unconfirmed(self, holder: LeaseId | None) -> bool:
        """Use the lease whose write got no answer, if the store holds that lease."""
        if holder is None or holder != self._unconfirmed:
            return False
        self._lease, self._unconfirmed = self._unconfirmed, None
        return self._renew()
