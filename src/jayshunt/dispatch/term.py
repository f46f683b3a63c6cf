"""Elect the entry that dispatches, through a store key attached to a lease.

The entry that creates the key holds the term until the lease ends. Every write of
the holder is conditional on the key, and every order carries the key's creation
revision as fencing token. A holder sends no orders once the lease has expired by its
own clock, which also advances while the VM is suspended.
"""

import logging
import random
import threading
import time
import uuid
from collections.abc import Callable
from typing import Protocol

from jayshunt.checked import describe_invalid
from jayshunt.clock import Clock
from jayshunt.dispatch.const import (
    CANDIDATE_RETRY_S,
    CLOCK_SKEW,
    MAX_RENEWAL_S,
    RENEW_STALL_S,
    TERM_LEASE_S,
    TERM_MARGIN_S,
    TERM_RENEW_S,
    TERM_WATCH_S,
)
from jayshunt.dispatch.malformed import MalformedEntries
from jayshunt.dispatch.models import EntryNode
from jayshunt.dispatch.records import TERM_KEY, decode_term, encode_term
from jayshunt.dispatch.store_models import Item, Put, Term
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import EntryId, LeaseId, Revision
from jayshunt.platform.store import HistoryGone, LeaseGone, PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

# Candidacy delay of an entry with one core, so that larger entries win a free term.
# The delay is inversely proportional to the size; a store call takes about 5 ms.
ELECTION_DELAY_CORE_S = 0.06
# Added in proportion to the uptime, in full from the duration of a rolling restart
# (ROLLING_RESTART_S) on. In a rolling restart, an entry that was not restarted yet will
# stop soon and should not win the election.
ELECTION_DELAY_AGE_S = 0.05
ROLLING_RESTART_S = 45.0
ELECTION_JITTER_S = 0.02
# Link bandwidth that matches one core. Dispatching to 180 workers needs about
# 8 Mbit/s, and a new dispatcher first reads a megabyte of jobs.
LINK_MBPS_PER_CORE = 40.0
# Limits the delay of the smallest entry to 0.6 s.
MIN_EFFECTIVE_CORES = 0.1


def suspend_aware_s() -> float:
    """Return a monotonic time in seconds that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def may_be_of_successor(added_s: float, confirmed_s: float, now_s: float) -> bool:
    """Return whether a later term may already run a job that this term learned of.

    `confirmed_s` is the time up to which no other entry held the term. After a cut, an
    entry that was replaced meanwhile reads new jobs before its renewal is refused.
    """
    known_until_s = confirmed_s + RENEW_STALL_S
    return now_s > known_until_s and added_s > known_until_s


def election_delay_s(cpu_cores: float, link_mbps: float, age_s: float) -> float:
    """Return how long an entry waits before it becomes a candidate.

    Large and recently started entries wait less, so that they win the election.
    """
    effective_cores = min(cpu_cores, link_mbps / LINK_MBPS_PER_CORE)
    size_delay_s = ELECTION_DELAY_CORE_S / max(MIN_EFFECTIVE_CORES, effective_cores)
    return size_delay_s + ELECTION_DELAY_AGE_S * min(1.0, age_s / ROLLING_RESTART_S)


class TermDuties(Protocol):
    """Define what an entry runs while it holds the term; see Dispatcher."""

    def start(self) -> None:
        """Start dispatching."""

    def stop(self, is_graceful: bool) -> None:
        """Stop dispatching; `is_graceful` if the term is still valid."""


class OwnTerm:
    """Track a term held by this entry and until when its lease is certainly valid."""

    def __init__(
        self, term: Term, renewed_s: float, now_s: Callable[[], float]
    ) -> None:
        """Count the lease from `renewed_s`, when it was requested from the store.

        `has_ended` is set once the entry gave up or lost the term, also by what runs
        during the term; `is_valid` is False from then on. `is_failing` means that the
        store did not answer the last renewal.
        """
        self.term = term
        self._now_s = now_s
        self._valid_until_s = 0.0
        self._last_attempt_s = renewed_s
        self.has_ended = False
        self.is_failing = False
        self._renewed_s = renewed_s
        self.record_renewal(renewed_s)

    def record_failed_attempt(self, sent_s: float) -> None:
        """Record that a renewal was attempted, but the store did not answer."""
        self.is_failing = True
        self._record_attempt(sent_s)

    def _record_attempt(self, sent_s: float) -> None:
        """Record an attempt unless the process was suspended while it lasted.

        The answer to such an attempt may be older than the end of the term.
        """
        now_s = self._now_s()
        if now_s - sent_s <= MAX_RENEWAL_S:
            self._last_attempt_s = now_s

    def record_renewal(self, sent_s: float) -> None:
        """Extend the lease's validity, counted from when the renewal was sent.

        The duration is reduced by the clock skew and a safety margin.
        """
        self.is_failing = False
        self._renewed_s = max(self._renewed_s, sent_s)
        self._record_attempt(sent_s)
        usable_s = TERM_LEASE_S * (1 - CLOCK_SKEW) - TERM_MARGIN_S
        self._valid_until_s = max(self._valid_until_s, sent_s + usable_s)

    @property
    def renewal_age_s(self) -> float:
        """Return how long ago the last successful renewal was sent.

        No other entry held the term before that.
        """
        return self._now_s() - self._renewed_s

    @property
    def is_valid(self) -> bool:
        """Return whether this entry may send orders.

        It is False after a stall such as a suspension until another renewal was
        attempted, as other entries may have ended the term meanwhile.
        """
        now_s = self._now_s()
        has_stalled = now_s - self._last_attempt_s > RENEW_STALL_S
        return not self.has_ended and not has_stalled and now_s < self._valid_until_s


class TermElection:
    """Watch which entry holds the term, and campaign for it while none does."""

    def __init__(
        self,
        node: EntryNode,
        store: PlatformStore,
        clock: Clock,
        rng: random.Random,
        make_duties: Callable[[OwnTerm], TermDuties],
        now_s: Callable[[], float] = suspend_aware_s,
    ) -> None:
        """Start with no known term; `make_duties` builds what runs during a term."""
        self._node = node
        self._store = store
        self._clock = clock
        self._rng = rng
        self._make_duties = make_duties
        self._now_s = now_s
        self.incarnation = uuid.uuid4().hex
        self._term_changed = threading.Condition()
        self._term: Term | None = None
        self._own: OwnTerm | None = None
        self._duties: TermDuties | None = None
        self._revision: Revision | None = None
        self._leaving = threading.Event()
        self._candidate_after_s = 0.0
        self._started_s = clock.monotonic_s()
        self._malformed = MalformedEntries()
        self.terms_held = 0

    @property
    def entry(self) -> EntryId:
        """Return the name of this entry."""
        return self._node.entry

    @property
    def own(self) -> OwnTerm | None:
        """Return the term held by this entry, or None."""
        return self._own

    @property
    def term(self) -> Term | None:
        """Return the last known term of any entry, or None."""
        return self._term

    def wait_for_change(self, seen: Term | None, timeout_s: float) -> Term | None:
        """Wait until the term differs from `seen` or the timeout, and return it."""
        with self._term_changed:
            self._term_changed.wait_for(lambda: self._term != seen, timeout_s)
            return self._term

    def leave(self) -> None:
        """Give up the term and never campaign again, as the entry shuts down."""
        self._leaving.set()
        own = self._own
        if own is not None:
            self._give_up(own, is_graceful=own.is_valid)

    def resign(self, backoff_s: float = 0.0) -> None:
        """Give up the term and don't campaign again for `backoff_s`."""
        self._candidate_after_s = self._clock.monotonic_s() + backoff_s
        own = self._own
        if own is not None:
            self._give_up(own, is_graceful=own.is_valid)

    def follow(self, stop: threading.Event) -> None:
        """Watch the term's key and campaign whenever it is absent."""
        while not stop.is_set():
            try:
                self._follow_once(stop)
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                _LOGGER.debug("dispatch: failed to read or acquire the term: %s", error)
                self._revision = None
                self._clock.wait(stop, CANDIDATE_RETRY_S)
            except HistoryGone:
                self._revision = None

    def renew(self, stop: threading.Event) -> None:
        """Renew the lease of a term held by this entry, until stopped."""
        while not stop.is_set():
            own = self._own
            if own is not None:
                self._renew_once(own)
            self._clock.wait(
                stop, TERM_RENEW_S if own is None else self._renew_interval_s(own)
            )

    def _renew_interval_s(self, own: OwnTerm) -> float:
        is_healthy = own.is_valid and not own.is_failing
        return TERM_RENEW_S if is_healthy else CANDIDATE_RETRY_S

    def _renew_once(self, own: OwnTerm) -> None:
        sent_s = self._now_s()
        try:
            self._store.renew_lease(own.term.lease)
        except LeaseGone:
            _LOGGER.warning(
                "dispatch: the term was lost", extra={"token": own.term.token}
            )
            self._give_up(own, is_graceful=False)
        except (StoreUnavailable, StoreOutcomeUnknown) as error:
            _LOGGER.info(
                "dispatch: the term was not renewed",
                extra={"reason": str(error), "valid": own.is_valid},
            )
            own.record_failed_attempt(sent_s)
        else:
            own.record_renewal(sent_s)

    def _follow_once(self, stop: threading.Event) -> None:
        if self._revision is None:
            items, revision = self._store.list(TERM_KEY)
            self._revision = revision
            items = [item for item in items if item.key == TERM_KEY]
            self._apply_term_item(items[0] if items else None)
        if self._term is None and not self._leaving.is_set():
            self._campaign(stop)
        answer = self._store.watch(TERM_KEY, self._revision, TERM_WATCH_S, stop)
        self._revision = max(self._revision, answer.revision)
        for event in answer.events:
            if event.key == TERM_KEY:
                self._apply_term_item(None if event.value is None else event)

    def _apply_term_item(self, item: Item | None) -> None:
        term = None if item is None else self._decode_term(item)
        own = self._own
        if term is not None and self._is_predecessor(term):
            # This entry was restarted, so the process that held that term is gone.
            _LOGGER.info(
                "dispatch: ending the term held before this entry restarted",
                extra={"token": term.token},
            )
            self._end_lease(term.lease)
        if own is not None and (term is None or term.token != own.term.token):
            # Events arrive in order, but an old one may arrive after this entry's
            # term began; its token is lower.
            if term is None or term.token > own.term.token:
                self._give_up(own, is_graceful=False)
        self._publish(term)

    def _decode_term(self, item: Item) -> Term | None:
        """Return the term in an item, None if another program overwrote it.

        No entry can hold the term while the item is there, so that it is removed.
        """
        try:
            return decode_term(item.value, item.created)
        except DECODE_ERRORS as error:
            self._malformed.log(item.key, item.revision, describe_invalid(error))
        self._store.transact({TERM_KEY: item.revision}, (), (TERM_KEY,))
        return None

    def _is_predecessor(self, term: Term) -> bool:
        return term.entry == self.entry and term.incarnation != self.incarnation

    def _publish(self, term: Term | None) -> None:
        with self._term_changed:
            if term == self._term:
                return
            self._term = term
            self._term_changed.notify_all()
        _LOGGER.info(
            "dispatch: the dispatcher changed",
            extra={
                "dispatcher": None if term is None else term.entry,
                "token": None if term is None else term.token,
            },
        )

    def _campaign(self, stop: threading.Event) -> None:
        """Try to create the term's key after the candidacy delay.

        The delay is shorter for entries with more CPU and bandwidth, and for recently
        started ones, which a rolling restart has already passed.
        """
        age_s = self._clock.monotonic_s() - self._started_s
        delay_s = election_delay_s(self._node.cpu_cores, self._node.link_mbps, age_s)
        delay_s += self._rng.uniform(0, ELECTION_JITTER_S)
        if self._clock.wait(stop, delay_s) or self._leaving.is_set():
            return
        if self._clock.monotonic_s() < self._candidate_after_s:
            return
        sent_s = self._now_s()
        lease = self._store.grant_lease(TERM_LEASE_S)
        term = Term(
            self._node.entry, self._node.peer, self.incarnation, lease=lease.lease
        )
        try:
            result = self._store.transact(
                {TERM_KEY: Revision(0)},
                (Put(TERM_KEY, encode_term(term), lease.lease),),
            )
            created = result.revision
        except StoreOutcomeUnknown:
            created = self._resolve_outcome(term, lease.lease)
        except LeaseGone:
            return
        if created is None:
            self._end_lease(lease.lease)
            return
        self._begin(
            OwnTerm(
                Term(term.entry, term.peer, term.incarnation, created, lease.lease),
                sent_s,
                self._now_s,
            )
        )

    def _resolve_outcome(self, term: Term, lease: LeaseId) -> Revision | None:
        """Return the key's creation revision if this entry's lost write created it."""
        item = self._store.get(TERM_KEY)
        if item is None or item.value is None:
            return None
        found = self._decode_term(item)
        if found is None:
            return None
        is_own = found.incarnation == term.incarnation and found.lease == lease
        return item.created if is_own else None

    def _end_lease(self, lease: LeaseId) -> None:
        try:
            self._store.end_lease(lease)
        except (StoreUnavailable, StoreOutcomeUnknown) as error:
            _LOGGER.info(
                "dispatch: failed to end a lease, it will expire",
                extra={"reason": str(error)},
            )

    def _begin(self, own: OwnTerm) -> None:
        self._own = own
        self.terms_held += 1
        _LOGGER.info("dispatch: took over", extra={"token": own.term.token})
        duties = self._make_duties(own)
        self._duties = duties
        duties.start()
        self._publish(own.term)
        if self._leaving.is_set():
            self._give_up(own, is_graceful=True)

    def _give_up(self, own: OwnTerm, is_graceful: bool) -> None:
        with self._term_changed:
            if self._own is not own:
                return
            self._own = None
            duties, self._duties = self._duties, None
        if duties is not None:
            duties.stop(is_graceful)
        own.has_ended = True
        _LOGGER.info(
            "dispatch: gave up the term",
            extra={"token": own.term.token, "in_order": is_graceful},
        )
        if is_graceful:
            self._end_lease(own.term.lease)
        self._publish(None)
