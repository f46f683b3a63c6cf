"""Hand the term over when a running dispatcher loses the store or its workers.

It gives up the term when the store fails for this entry but serves the others, and
when most workers are unreachable, as in a partitioned zone. Without a handover, the
term would last until its lease expires in the first case, and as long as the partition
in the second.
"""

import logging
import threading
from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt.clock import Clock
from jayshunt.dispatch.fleet import WorkerView

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
# A slow store answers within 0.4 s; when calls fail for longer than this, the entry may
# be cut off from the store.
STORE_CUT_OFF_AFTER_S = 0.9
# Only reports that were received within this time are considered.
REPORT_VALID_S = 1.5
# Answers to other entries count only from this long after this entry's first failed
# call, as the store may go down slightly before that call shows it.
ANSWERED_MARGIN_S = 0.3
# A reachable worker answers at least every 2 s, plus 0.7 s until its call times out.
WORKER_SILENT_S = 3.0
MIN_TERM_AGE_S = 2.0
MIN_WORKERS = 4
# An entry doesn't campaign for this long after a handover; network partitions of a zone
# last about 6 s.
ELECTION_BACKOFF_S = 6.0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Record when the store last answered another entry, in local monotonic time."""

    store_answered_s: float | None
    received_s: float


def is_cut_off_from_store(
    failing_for_s: float, reports: Iterable[EntryReport], now_s: float
) -> bool:
    """Return whether the store serves at least half of the others, but not this entry.

    Only answers after calls began to fail here count: during an outage for all, the
    other entries notice it later than this one.
    """
    if failing_for_s < STORE_CUT_OFF_AFTER_S:
        return False
    since_s = now_s - failing_for_s + ANSWERED_MARGIN_S
    recent = [r for r in reports if now_s - r.received_s <= REPORT_VALID_S]
    served = sum(
        r.store_answered_s is not None and r.store_answered_s > since_s for r in recent
    )
    return served > 0 and served * 2 >= len(recent)


def has_lost_most_workers(answer_ages_s: Iterable[float | None]) -> bool:
    """Return whether most workers are silent.

    An age of None means that the last call failed.
    """
    ages = list(answer_ages_s)
    if len(ages) < MIN_WORKERS:
        return False
    silent = sum(age is None or age > WORKER_SILENT_S for age in ages)
    return silent * 2 > len(ages)


def _silent_for_s(view: WorkerView, now_s: float) -> float | None:
    """Return how long a worker has been silent, None if the last call to it failed.

    One that was listed a moment ago has not had the time to answer.
    """
    if view.is_failing:
        return None
    heard_s = view.first_seen_s if view.last_answer_s is None else view.last_answer_s
    return now_s - heard_s


class HandoverMonitor:
    """Check periodically whether this entry should give up the term that it holds."""

    def __init__(self, election, link, store, clock: Clock) -> None:
        """Start with no term known."""
        self._election = election
        self._link = link
        self._store = store
        self._clock = clock
        self._token: int | None = None
        self._term_seen_s = 0.0

    def run(self, stop: threading.Event) -> None:
        """Check until stopped."""
        while not self._clock.wait(stop, CHECK_INTERVAL_S):
            self._check()

    def _check(self) -> None:
        own, dispatcher = self._election.own, self._link.own_dispatcher
        if own is None or dispatcher is None or not own.is_valid:
            return
        now_s = self._clock.monotonic_s()
        if self._token != own.term.token:
            self._token = own.term.token
            self._term_seen_s = now_s
        failing_s = self._store.failing_for_s()
        if is_cut_off_from_store(failing_s, self._link.reports(), now_s):
            _LOGGER.warning(
                "dispatch: hands over, the store fails only for this entry",
                extra={"failing_for_s": round(failing_s, 2), "token": self._token},
            )
            # This entry can't end the lease itself. It passes the lease to the other
            # entries in its answers to their polls for refusals, and they end it.
            self._link.handover_lease = own.term.lease
            self._election.resign(ELECTION_BACKOFF_S)
            return
        if now_s - self._term_seen_s < MIN_TERM_AGE_S:
            return
        with dispatcher.lock:
            ages = [
                _silent_for_s(view, now_s)
                for view in dispatcher.tracker.workers.values()
                if view.is_listed
                and view.ordered_away_s is None
                and dispatcher.fleet.is_on_known_vm(view)
                and dispatcher.fleet.may_have_runs(view)
            ]
        if has_lost_most_workers(ages):
            _LOGGER.warning(
                "dispatch: hands over, most workers are unreachable",
                extra={"workers": len(ages), "token": self._token},
            )
            self._election.resign(ELECTION_BACKOFF_S)
