"""Propagate configuration versions between entries."""

import logging
import random
import threading
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.config.const import (
    NOTICE_FAN_OUT,
    NOTICE_TIMEOUT_S,
    REMIND_INTERVAL_S,
    RETRY_WAIT_S,
)
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.messages import Notice
from jayshunt.config.models import ConfigSnapshot
from jayshunt.config.transport import ConfigTransport
from jayshunt.errors import JayshuntError
from jayshunt.ids import ConfigVersion, EntryId
from jayshunt.membership.models import Member, MembershipView

_LOGGER = logging.getLogger(__name__)


class ConfigGossip:
    """Announce each new version to peers and fetch the versions that peers announce.

    A notice carries no content. An entry that is behind fetches the content from
    the peer that announced the version, puts it in force and announces it in turn.
    """

    def __init__(
        self,
        own: Member,
        coordinator: ConfigCoordinator,
        transport: ConfigTransport,
        read_view: Callable[[], MembershipView],
        choose_targets: Callable[[int], list[Member]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Register as a listener of the coordinator.

        `choose_targets(count)` returns up to `count` random contacts and the next
        member on the heartbeat ring.
        """
        self._own = own
        self._coordinator = coordinator
        self._transport = transport
        self._read_view = read_view
        self._choose_targets = choose_targets
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._pending: dict[str, ConfigVersion] = {}
        self._reminded_s: dict[EntryId, float] = {}
        self._wake = threading.Event()
        coordinator.add_listener(self._announce)
        coordinator.set_version_query(self.query_versions)

    def handle_notice(self, notice: Notice) -> Notice:
        """Process a peer's notice and return a notice of the version in force here."""
        if notice.version > self._coordinator.current().version:
            self._enqueue_fetch(notice.version, notice.peer_address)
        return self._notice()

    def handle_version_report(self, entry: EntryId, version: ConfigVersion) -> None:
        """Process the version that a member reports in a heartbeat or exchange.

        Fetch from a member that is ahead, and notify a member that is behind.
        """
        own_version = self._coordinator.current().version
        if version == own_version:
            return
        member = self._read_view().find(entry)
        if member is None:
            return
        if version > own_version:
            self._enqueue_fetch(version, member.peer_address)
        elif self._may_remind(entry):
            self._notify(member.peer_address)

    def query_versions(self) -> dict[EntryId, ConfigVersion | None]:
        """Return the version in force on each live entry, None if it did not reply."""
        others = [m for m in self._read_view().alive() if m.entry != self._own.entry]
        versions: dict[EntryId, ConfigVersion | None] = {m.entry: None for m in others}
        versions[self._own.entry] = self._coordinator.current().version
        replies = threading.Semaphore(0)

        def on_reply(entry: EntryId, reply: Notice | None) -> None:
            versions[entry] = None if reply is None else reply.version
            replies.release()

        for member in others:
            self._transport.notify(
                member.peer_address,
                self._notice(),
                lambda reply, entry=member.entry: on_reply(entry, reply),
            )
        for _ in others:
            replies.acquire(timeout=2 * NOTICE_TIMEOUT_S)
        return dict(versions)

    def run_fetches(self, stop: threading.Event) -> None:
        """Fetch announced versions until `stop` is set."""
        while not stop.is_set():
            self._wake.wait(RETRY_WAIT_S)
            self._wake.clear()
            self.fetch_pending()

    def fetch_pending(self) -> None:
        """Fetch from the peers that announced a higher version, highest first."""
        while True:
            source = self._next_source()
            if source is None:
                return
            try:
                content = self._transport.fetch(source, self._notice())
                self._coordinator.apply_packed(content)
            except JayshuntError as error:
                _LOGGER.info("config: fetch from %s failed: %s", source, error)

    def _enqueue_fetch(self, version: ConfigVersion, address: str) -> None:
        with self._lock:
            known = self._pending.get(address, ConfigVersion(0))
            self._pending[address] = max(known, version)
        self._wake.set()

    def _next_source(self) -> str | None:
        own_version = self._coordinator.current().version
        with self._lock:
            ahead = {a: v for a, v in self._pending.items() if v > own_version}
            self._pending = ahead
            if not ahead:
                return None
            highest = max(ahead.values())
            candidates = sorted(a for a, v in ahead.items() if v == highest)
            source = self._rng.choice(candidates)
            # A source that fails is retried only after it announces a version again.
            del ahead[source]
            return source

    def _announce(self, _snapshot: ConfigSnapshot) -> None:
        for member in self._choose_targets(NOTICE_FAN_OUT):
            self._notify(member.peer_address)

    def _notify(self, address: str) -> None:
        def on_reply(reply: Notice | None) -> None:
            if reply and reply.version > self._coordinator.current().version:
                self._enqueue_fetch(reply.version, address)

        self._transport.notify(address, self._notice(), on_reply)

    def _may_remind(self, entry: EntryId) -> bool:
        now_s = self._clock.monotonic_s()
        with self._lock:
            last_s = self._reminded_s.get(entry, float("-inf"))
            if now_s - last_s < REMIND_INTERVAL_S:
                return False
            self._reminded_s[entry] = now_s
            return True

    def _notice(self) -> Notice:
        current = self._coordinator.current()
        return Notice(
            self._own.entry, current.version, current.digest, self._own.peer_address
        )
