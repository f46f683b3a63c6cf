"""Run the membership protocol of one entry."""

import logging
import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.ids import ConfigVersion, EntryId, Epoch
from jayshunt.membership.const import (
    DIGEST_DIFFERENCES,
    EXCHANGE_INTERVAL_S,
    FORGET_AFTER_S,
    HEARTBEAT_INTERVAL_S,
    JOIN_INTERVAL_S,
    LOST_AFTER_S,
    NEWS_FAN_OUT,
    PAUSE_S,
    PROBE_TIMEOUT_S,
    RECONTACT_INTERVAL_S,
    REGION_FAILURES,
    STEP_INTERVAL_S,
    SUSPECT_ASK_S,
    SUSPECT_TIMEOUT_S,
)
from jayshunt.membership.messages import Exchange, Heartbeat
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.membership.ranking import contacts_of
from jayshunt.membership.ring import IN_RING, Ring
from jayshunt.membership.table import MemberTable
from jayshunt.membership.transport import MembershipTransport
from jayshunt.membership.watch import HeartbeatWatch, Verdict

_LOGGER = logging.getLogger(__name__)


class MemberNode:
    """Decide what one entry knows of the others and what it tells them.

    Time comes from the clock and calls go through the transport, so that tests
    run hundreds of nodes in one process. `step` is called every STEP_INTERVAL_S.
    """

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        transport: MembershipTransport,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start knowing only itself."""
        self._table = MemberTable(own)
        self._seeds = [seed for seed in seeds if seed != own.peer_address]
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._lock = threading.RLock()
        self._view = MembershipView(1, self._table.members())
        self._ring = Ring(self._view.members)
        self._contacts: list[Member] = []
        self._watch = HeartbeatWatch()
        self._news: dict[EntryId, Member] = {}
        self._since_s: dict[EntryId, float] = {}
        self._asked: set[EntryId] = set()
        self._failures: dict[str, int] = {}
        self._sequence = 0
        self._ended = False
        now_s = clock.monotonic_s()
        self._stepped_s = now_s
        self._exchange_at_s = now_s
        self._recontact_at_s = now_s
        self._compared_s = now_s
        self._on_change: Callable[[], None] = lambda: None
        self._on_version: Callable[[EntryId, ConfigVersion], None] = lambda *_: None
        self.config_version = ConfigVersion(0)
        self.assignment_epoch = Epoch(0)

    def view(self) -> MembershipView:
        """Return the newest view."""
        return self._view

    def set_change_handler(self, handler: Callable[[], None]) -> None:
        """Call a handler when there is something to tell others."""
        self._on_change = handler

    def set_version_handler(
        self, handler: Callable[[EntryId, ConfigVersion], None]
    ) -> None:
        """Call a handler with the configuration version that a reply reports."""
        self._on_version = handler

    def monitors(self) -> tuple[Member, ...]:
        """Return the members to which this one sends heartbeats."""
        return () if self._ended else self._ring.monitors_of(self._table.own)

    def gossip_targets(self, count: int) -> list[Member]:
        """Return some contacts and the next member on the ring."""
        with self._lock:
            targets = self._sample(self._contacts, count)
            follower = self._ring.follower(self._table.own)
            if follower is not None and follower not in targets:
                targets.append(follower)
            return targets

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Learn further addresses at which a member may be."""
        with self._lock:
            known = {*self._seeds, self._table.own.peer_address}
            self._seeds += [a for a in dict.fromkeys(addresses) if a not in known]

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
        """Take a heartbeat of another member."""
        with self._lock:
            known = self._table.find(heartbeat.entry)
            if known is None:
                # The sender joined and its news did not arrive yet.
                return
            if known.state in (MemberState.SUSPECT, MemberState.LOST):
                # Only the member itself can refute, so it has to learn of it.
                if heartbeat.incarnation <= known.incarnation:
                    self._tell(known.peer_address, (known,))
            now_s = self._clock.monotonic_s()
            watched = self._watch.hear(heartbeat, self._table.digest(), now_s)
            differs = watched and watched.differences >= DIGEST_DIFFERENCES
            if differs or heartbeat.incarnation > known.incarnation:
                if now_s - self._compared_s >= HEARTBEAT_INTERVAL_S:
                    self._compared_s = now_s
                    self._compare_with(known.peer_address)

    def silences(self) -> dict[EntryId, float | None]:
        """Return for how many seconds each monitored member was not heard."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            monitored = self._ring.monitored_by(self._table.own)
            return {m.entry: self._watch.silence_s(m.entry, now_s) for m in monitored}

    def answer_probe(self, entry: EntryId) -> float | None:
        """Return for how many seconds a member was not heard; None if never."""
        with self._lock:
            if entry == self._table.own.entry:
                return 0.0
            return self._watch.silence_s(entry, self._clock.monotonic_s())

    def answer_exchange(self, message: Exchange) -> Exchange:
        """Take a peer's news and return what it lacks."""
        with self._lock:
            corrections = self._merge(message.members, doubt=message.complete)
            differs = message.digest not in (0, self._table.digest())
            if differs:
                return self._complete(corrections)
            return replace(self._message(), members=corrections)

    def leave(self) -> None:
        """Tell everyone that this entry stops; it still serves what it holds."""
        self._announce(MemberState.LEAVING)

    @property
    def own(self) -> Member:
        """Return the own record."""
        return self._table.own

    def simulate_crash(self) -> None:
        """Take and tell nothing any more, as a process that died."""
        self._ended = True

    def end(self) -> None:
        """Tell everyone that this entry is gone, as the last step of a stop."""
        if not self._ended:
            self._announce(MemberState.LOST)
        self._ended = True

    def step(self) -> None:
        """Do what is due."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._ignore_own_pause(now_s)
            if not self._ended:
                self._watch.judge(now_s, lambda e, v: self._act(e, v, now_s))
            self._age(now_s)
            self._spread_news()
            self._exchange_when_due(now_s)
            self._recontact_when_due(now_s)

    def merge(self, news: Iterable[Member]) -> None:
        """Take news that a member vouches for."""
        with self._lock:
            self._merge(tuple(news), doubt=False)

    def _merge(self, news: tuple[Member, ...], doubt: bool) -> tuple[Member, ...]:
        if self._ended:
            return ()
        merged = self._table.merge(news, doubt_losses=doubt)
        if merged.changed:
            self._changed(merged.changed)
        for member in merged.changed if doubt else ():
            if member.state is MemberState.SUSPECT:
                self._tell(member.peer_address, (member,))
        return merged.corrections

    def _changed(self, changed: Iterable[Member]) -> None:
        now_s = self._clock.monotonic_s()
        for member in changed:
            self._news[member.entry] = member
            self._since_s[member.entry] = now_s
            if member.state is not MemberState.ALIVE:
                _LOGGER.info("membership: %s is %s", member.entry, member.state.value)
        self._view = MembershipView(self._view.version + 1, self._table.members())
        self._ring = Ring(self._view.members)
        self._contacts = contacts_of(self._table.own.entry, self._reachable())
        used = {member.peer_address for member in self._contacts}
        self._failures = {a: n for a, n in self._failures.items() if a in used}
        self._watch.follow(self._ring.monitored_by(self._table.own), now_s)
        self._on_change()

    def _announce(self, state: MemberState) -> None:
        with self._lock:
            self._table.set_own(replace(self._table.own, state=state))
            self._changed((self._table.own,))
            self._spread_news()

    def _ignore_own_pause(self, now_s: float) -> None:
        pause_s = now_s - self._stepped_s - STEP_INTERVAL_S
        self._stepped_s = now_s
        if pause_s < PAUSE_S:
            return
        _LOGGER.warning("membership: this process was paused for %.1f s", pause_s)
        self._watch.shift(pause_s)
        self._since_s = {e: s + pause_s for e, s in self._since_s.items()}
        if pause_s > LOST_AFTER_S:
            self._exchange_at_s = now_s

    def _act(self, entry: EntryId, verdict: Verdict, now_s: float) -> None:
        member = self._table.find(entry)
        if member is None or member.state is MemberState.LOST:
            return
        match verdict:
            case Verdict.PROBE:
                self._probe(member)
            case Verdict.SUSPECT if member.state is MemberState.ALIVE:
                suspect = replace(member, state=MemberState.SUSPECT)
                self._merge((suspect,), doubt=False)
                self._tell(member.peer_address, (suspect,))
            case Verdict.LOST:
                lost = replace(member, state=MemberState.LOST)
                self._merge((lost,), doubt=False)

    def _probe(self, member: Member) -> None:
        asked_s = self._clock.monotonic_s()

        def take(silence_s: float | None) -> None:
            if silence_s is None:
                return
            with self._lock:
                if self._clock.monotonic_s() - asked_s <= 2 * PROBE_TIMEOUT_S:
                    self._watch.vouch(member.entry, asked_s - silence_s)

        for asked in (member, *self._ring.monitors_of(member)):
            if asked.entry != self._table.own.entry:
                self._transport.probe(asked.peer_address, member.entry, take)

    def _age(self, now_s: float) -> None:
        for entry, since_s in list(self._since_s.items()):
            member = self._table.find(entry)
            if member is None or member.state is MemberState.ALIVE:
                del self._since_s[entry]
                self._asked.discard(entry)
            elif member.state is MemberState.SUSPECT:
                self._age_suspect(member, now_s - since_s)
            elif member.state is MemberState.LOST and entry != self._table.own.entry:
                if now_s - since_s >= FORGET_AFTER_S:
                    self._table.forget(entry)
                    self._changed(())

    def _age_suspect(self, member: Member, age_s: float) -> None:
        if age_s >= SUSPECT_TIMEOUT_S:
            lost = replace(member, state=MemberState.LOST)
            self._merge((lost,), doubt=False)
        elif age_s >= SUSPECT_ASK_S and member.entry not in self._asked:
            self._asked.add(member.entry)
            self._tell(member.peer_address, (member,))

    def _spread_news(self) -> None:
        if not self._news:
            return
        news, self._news = tuple(self._news.values()), {}
        for member in self.gossip_targets(NEWS_FAN_OUT):
            self._tell(member.peer_address, news)

    def _exchange_when_due(self, now_s: float) -> None:
        if now_s < self._exchange_at_s:
            return
        addresses = [m.peer_address for m in self._contacts] or self._seeds
        joined = bool(self._contacts) or not self._seeds
        # Random intervals keep entries that started together apart.
        interval_s = EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        self._exchange_at_s = now_s + (interval_s if joined else JOIN_INTERVAL_S)
        for address in self._sample(addresses, 1 if joined else NEWS_FAN_OUT):
            self._compare_with(address, self._note_failure)

    def _recontact_when_due(self, now_s: float) -> None:
        if now_s < self._recontact_at_s or self._ended:
            return
        jitter = self._rng.uniform(0.8, 1.2)
        self._recontact_at_s = now_s + RECONTACT_INTERVAL_S * jitter
        known = {m.peer_address for m in self._reachable()}
        lost = {m.peer_address for m in self._table.others(MemberState.LOST)}
        addresses = sorted((lost | set(self._seeds)) - known)
        if addresses:
            self._compare_with(self._rng.choice(addresses))

    def _note_failure(self, address: str) -> None:
        """Suspect a member of another region that does not answer.

        All its monitors are in its own region and may be lost with it. The
        suspicion makes every other member ask it, so that one broken path does
        not end it.
        """
        with self._lock:
            self._failures[address] = self._failures.get(address, 0) + 1
            if self._failures[address] < REGION_FAILURES:
                return
            for member in self._table.others(MemberState.ALIVE):
                is_far = member.region != self._table.own.region
                if member.peer_address == address and is_far:
                    del self._failures[address]
                    self._merge((replace(member, state=MemberState.SUSPECT),), False)

    def _compare_with(
        self, address: str, on_failure: Callable[[str], None] = lambda _: None
    ) -> None:
        def take(reply: Exchange | None) -> None:
            if reply is None:
                on_failure(address)
                return
            with self._lock:
                self._failures.pop(address, None)
                missing = self._merge(reply.members, doubt=True)
                if reply.complete and reply.digest != self._table.digest():
                    complete = self._complete(missing)
                    self._transport.exchange(address, complete, self._take_corrections)
            self._on_version(reply.entry, reply.config_version)

        message = replace(self._message(), digest=self._table.digest())
        self._transport.exchange(address, message, take)

    def _tell(self, address: str, news: tuple[Member, ...]) -> None:
        message = replace(self._message(), members=news)
        self._transport.exchange(address, message, self._take_corrections)

    def _take_corrections(self, reply: Exchange | None) -> None:
        if reply is not None:
            with self._lock:
                self._merge(reply.members, doubt=True)

    def _message(self) -> Exchange:
        own = self._table.own
        return Exchange(own.entry, (), self.config_version)

    def _complete(self, more: tuple[Member, ...]) -> Exchange:
        return replace(
            self._message(),
            members=(*self._table.members(), *more),
            complete=True,
            digest=self._table.digest(),
        )

    def _reachable(self) -> list[Member]:
        return self._table.others(*IN_RING)

    def _sample(self, items: list, count: int) -> list:
        return self._rng.sample(items, min(count, len(items)))
