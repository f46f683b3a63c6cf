"""Run failure detection for one entry and keep its view of the members."""

import logging
import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.ids import ConfigVersion, EntryId, Epoch
from jayshunt.membership.const import (
    DIGEST_MISMATCH_THRESHOLD,
    FORGET_AFTER_S,
    GOSSIP_FAN_OUT,
    HEARTBEAT_INTERVAL_S,
    LOST_AFTER_S,
    PAUSE_THRESHOLD_S,
    PROBE_TIMEOUT_S,
    STEP_INTERVAL_S,
    SUSPECT_NOTIFY_AFTER_S,
    SUSPECT_TIMEOUT_S,
)
from jayshunt.membership.exchanges import RecordExchanger
from jayshunt.membership.failure_detector import DetectorAction, FailureDetector
from jayshunt.membership.messages import Exchange, Heartbeat
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.membership.ranking import choose_contacts
from jayshunt.membership.ring import RING_STATES, Ring
from jayshunt.membership.table import MemberTable
from jayshunt.membership.transport import MembershipTransport

_LOGGER = logging.getLogger(__name__)


class MemberNode:
    """Maintain one entry's membership view and exchange updates with other members.

    The clock and the transport are injected so that tests can run hundreds of
    nodes in one process. The owner calls `step` every STEP_INTERVAL_S.
    """

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        transport: MembershipTransport,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with this entry as the only known member."""
        self._table = MemberTable(own)
        self._transport = transport
        self._clock = clock
        self._lock = threading.RLock()
        self._view = MembershipView(1, self._table.members())
        self._ring = Ring(self._view.members)
        self._detector = FailureDetector()
        self._pending_updates: dict[EntryId, Member] = {}
        self._state_since_s: dict[EntryId, float] = {}
        self._notified_suspects: set[EntryId] = set()
        self._sequence = 0
        self._stopped = False
        now_s = clock.monotonic_s()
        self._last_step_s = now_s
        self._last_comparison_s = now_s
        self._on_change: Callable[[], None] = lambda: None
        self._exchanger = RecordExchanger(
            self._table, seeds, transport, rng, self._lock, self._merge, now_s
        )
        self.assignment_epoch = Epoch(0)

    def view(self) -> MembershipView:
        """Return the current view."""
        return self._view

    def set_change_handler(self, handler: Callable[[], None]) -> None:
        """Set the handler that is called when there are updates to send."""
        self._on_change = handler

    def set_version_handler(
        self, handler: Callable[[EntryId, ConfigVersion], None]
    ) -> None:
        """Set the handler of the configuration versions reported in replies."""
        self._exchanger.on_version = handler

    @property
    def config_version(self) -> ConfigVersion:
        """Return the configuration version that this entry reports."""
        return self._exchanger.config_version

    @config_version.setter
    def config_version(self, version: ConfigVersion) -> None:
        self._exchanger.config_version = version

    def monitors(self) -> tuple[Member, ...]:
        """Return the members to which this entry sends heartbeats."""
        return () if self._stopped else self._ring.monitors_of(self._table.own)

    def gossip_targets(self, count: int) -> list[Member]:
        """Return up to `count` random contacts and the successor on the ring."""
        with self._lock:
            targets = self._exchanger.sample_contacts(count)
            successor = self._ring.successor(self._table.own)
            if successor is not None and successor not in targets:
                targets.append(successor)
            return targets

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses at which other members may be reached."""
        with self._lock:
            self._exchanger.add_seeds(addresses)

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat to send."""
        with self._lock:
            self._sequence += 1
            own = self._table.own
            return Heartbeat(
                own.entry,
                own.incarnation,
                self._sequence,
                self.config_version,
                self.assignment_epoch,
                self._table.digest(),
            )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat of another member."""
        with self._lock:
            known = self._table.find(heartbeat.entry)
            if known is None:
                # The sender joined and its member record has not arrived yet.
                return
            if known.state in (MemberState.SUSPECT, MemberState.LOST):
                # Only the member itself can refute this state, so send it the record.
                if heartbeat.incarnation <= known.incarnation:
                    self._exchanger.send_updates(known.peer_address, (known,))
            now_s = self._clock.monotonic_s()
            record = self._detector.record_heartbeat(
                heartbeat, self._table.digest(), now_s
            )
            digest_differs = (
                record and record.digest_mismatches >= DIGEST_MISMATCH_THRESHOLD
            )
            if digest_differs or heartbeat.incarnation > known.incarnation:
                if now_s - self._last_comparison_s >= HEARTBEAT_INTERVAL_S:
                    self._last_comparison_s = now_s
                    self._exchanger.exchange_with(known.peer_address)

    def heartbeat_ages_s(self) -> dict[EntryId, float | None]:
        """Return the seconds since the last heartbeat of each monitored member.

        The value is None for a member that never sent one to this process.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            monitored = self._ring.monitored_by(self._table.own)
            return {
                m.entry: self._detector.heartbeat_age_s(m.entry, now_s)
                for m in monitored
            }

    def answer_probe(self, entry: EntryId) -> float | None:
        """Return the seconds since a member's last heartbeat; None if never."""
        with self._lock:
            if entry == self._table.own.entry:
                return 0.0
            return self._detector.heartbeat_age_s(entry, self._clock.monotonic_s())

    def answer_exchange(self, message: Exchange) -> Exchange:
        """Merge a peer's records and return those that it lacks."""
        with self._lock:
            return self._exchanger.answer(message)

    def leave(self) -> None:
        """Announce that this entry is leaving; it still serves its current work."""
        self._announce(MemberState.LEAVING)

    @property
    def own(self) -> Member:
        """Return the record of this entry."""
        return self._table.own

    def simulate_crash(self) -> None:
        """Stop heartbeats and merges without an announcement, as after a crash."""
        self._stopped = True

    def stop(self) -> None:
        """Announce this entry as lost, as the last step of its shutdown."""
        if not self._stopped:
            self._announce(MemberState.LOST)
        self._stopped = True

    def step(self) -> None:
        """Check timeouts and send the updates and exchanges that are due."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._compensate_own_pause(now_s)
            if not self._stopped:
                self._detector.check_timeouts(
                    now_s, lambda e, a: self._handle_action(e, a, now_s)
                )
            self._expire_states(now_s)
            self._gossip_updates()
            self._exchanger.exchange_when_due(now_s)
            if not self._stopped:
                self._exchanger.recontact_when_due(now_s)

    def merge(self, updates: Iterable[Member]) -> None:
        """Merge member records and accept losses without confirmation.

        A complete exchange turns losses into suspicions instead. Tests call this to
        start nodes that know each other.
        """
        with self._lock:
            self._merge(tuple(updates), lost_as_suspect=False)

    def _merge(
        self, updates: tuple[Member, ...], lost_as_suspect: bool
    ) -> tuple[Member, ...]:
        if self._stopped:
            return ()
        merged = self._table.merge(updates, lost_as_suspect=lost_as_suspect)
        if merged.changed:
            self._record_changes(merged.changed)
        for member in merged.changed if lost_as_suspect else ():
            if member.state is MemberState.SUSPECT:
                self._exchanger.send_updates(member.peer_address, (member,))
        return merged.corrections

    def _record_changes(self, changed: Iterable[Member]) -> None:
        now_s = self._clock.monotonic_s()
        for member in changed:
            self._pending_updates[member.entry] = member
            self._state_since_s[member.entry] = now_s
            if member.state is not MemberState.ALIVE:
                _LOGGER.info("membership: %s is %s", member.entry, member.state.value)
        self._view = MembershipView(self._view.version + 1, self._table.members())
        self._ring = Ring(self._view.members)
        others = self._table.others(*RING_STATES)
        self._exchanger.set_contacts(choose_contacts(self._table.own.entry, others))
        self._detector.set_monitored(self._ring.monitored_by(self._table.own), now_s)
        self._on_change()

    def _announce(self, state: MemberState) -> None:
        with self._lock:
            self._table.set_own(replace(self._table.own, state=state))
            self._record_changes((self._table.own,))
            self._gossip_updates()

    def _compensate_own_pause(self, now_s: float) -> None:
        pause_s = now_s - self._last_step_s - STEP_INTERVAL_S
        self._last_step_s = now_s
        if pause_s < PAUSE_THRESHOLD_S:
            return
        _LOGGER.warning("membership: this process was paused for %.1f s", pause_s)
        self._detector.shift_times(pause_s)
        self._state_since_s = {e: s + pause_s for e, s in self._state_since_s.items()}
        if pause_s > LOST_AFTER_S:
            self._exchanger.exchange_soon(now_s)

    def _handle_action(
        self, entry: EntryId, action: DetectorAction, now_s: float
    ) -> None:
        member = self._table.find(entry)
        if member is None or member.state is MemberState.LOST:
            return
        match action:
            case DetectorAction.PROBE:
                self._probe(member)
            case DetectorAction.SUSPECT if member.state is MemberState.ALIVE:
                suspect = replace(member, state=MemberState.SUSPECT)
                self._merge((suspect,), lost_as_suspect=False)
                self._exchanger.send_updates(member.peer_address, (suspect,))
            case DetectorAction.LOST:
                lost = replace(member, state=MemberState.LOST)
                self._merge((lost,), lost_as_suspect=False)

    def _probe(self, member: Member) -> None:
        sent_s = self._clock.monotonic_s()

        def handle_reply(heartbeat_age_s: float | None) -> None:
            if heartbeat_age_s is None:
                return
            with self._lock:
                if self._clock.monotonic_s() - sent_s <= 2 * PROBE_TIMEOUT_S:
                    self._detector.record_evidence(
                        member.entry, sent_s - heartbeat_age_s
                    )

        for probed in (member, *self._ring.monitors_of(member)):
            if probed.entry != self._table.own.entry:
                self._transport.probe(probed.peer_address, member.entry, handle_reply)

    def _expire_states(self, now_s: float) -> None:
        for entry, since_s in list(self._state_since_s.items()):
            member = self._table.find(entry)
            if member is None or member.state is MemberState.ALIVE:
                del self._state_since_s[entry]
                self._notified_suspects.discard(entry)
            elif member.state is MemberState.SUSPECT:
                self._handle_suspect_age(member, now_s - since_s)
            elif member.state is MemberState.LOST and entry != self._table.own.entry:
                if now_s - since_s >= FORGET_AFTER_S:
                    self._table.forget(entry)
                    self._record_changes(())

    def _handle_suspect_age(self, member: Member, age_s: float) -> None:
        if age_s >= SUSPECT_TIMEOUT_S:
            lost = replace(member, state=MemberState.LOST)
            self._merge((lost,), lost_as_suspect=False)
        elif (
            age_s >= SUSPECT_NOTIFY_AFTER_S
            and member.entry not in self._notified_suspects
        ):
            self._notified_suspects.add(member.entry)
            self._exchanger.send_updates(member.peer_address, (member,))

    def _gossip_updates(self) -> None:
        if not self._pending_updates:
            return
        updates, self._pending_updates = tuple(self._pending_updates.values()), {}
        for member in self.gossip_targets(GOSSIP_FAN_OUT):
            self._exchanger.send_updates(member.peer_address, updates)
