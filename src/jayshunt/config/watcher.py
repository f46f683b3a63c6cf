"""Watch the stored configuration for new versions."""

import json
import random
import threading
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.config.const import CURRENT_KEY, RETRY_WAIT_S, WATCHERS_PER_ZONE
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.errors import JayshuntError
from jayshunt.membership.models import Member, MembershipView
from jayshunt.membership.ranking import rank_members


class StoreWatcher:
    """Watch the stored configuration while this entry is a watcher of its zone.

    Only WATCHERS_PER_ZONE entries of a zone watch the store; the others receive
    new versions from their peers.
    """

    def __init__(
        self,
        own: Member,
        coordinator: ConfigCoordinator,
        watch: Callable,
        read_view: Callable[[], MembershipView],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Initialize; `watch` has the signature of `StoreClient.watch`."""
        self._own = own
        self._coordinator = coordinator
        self._watch = watch
        self._read_view = read_view
        self._clock = clock
        self._rng = rng
        self.has_read_store = False

    def is_watcher(self) -> bool:
        """Return whether this entry ranks among the watchers of its zone."""
        alive = self._read_view().alive(self._own.zone)
        rank_key = f"config-watch/{self._own.zone}"
        watchers = rank_members(rank_key, alive)[:WATCHERS_PER_ZONE]
        return any(member.entry == self._own.entry for member in watchers)

    def run(self, stop: threading.Event) -> None:
        """Read the store once, then watch it whenever this entry is a watcher."""
        revision = None
        while not stop.is_set():
            if self.has_read_store and not self.is_watcher():
                revision = None
                self._clock.wait(stop, RETRY_WAIT_S)
                continue
            try:
                if revision is None:
                    revision = self._coordinator.refresh()
                    self.has_read_store = True
                    continue
                revision, events = self._watch(CURRENT_KEY, revision, stop=stop)
                for event in events:
                    if event.value is not None:
                        self._coordinator.apply_content(json.loads(event.value))
            except JayshuntError:
                revision = None
                self._clock.wait(stop, self._rng.uniform(0, RETRY_WAIT_S))
