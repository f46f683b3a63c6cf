"""Decide when the dispatcher hands its term over although it is healthy itself.

It does so when the store turns it away while it serves others, and when it does
not reach most workers, as in a zone that is cut off. Both would otherwise last
until the lease runs out, or as long as the cut.
"""

import logging
import threading
from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt.clock import Clock

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
# A slow store answers within 0.4 s; a call that fails for longer is turned away.
TURNED_AWAY_AFTER_S = 0.9
# An entry that reported within this time counts as seen.
REPORT_VALID_S = 1.5
# The store may go down a moment before a call of this entry shows it.
ANSWERED_MARGIN_S = 0.3
# A worker in reach answers every 2 s at least, and its call ends 0.7 s later.
WORKER_SILENT_S = 3.0
MIN_TERM_AGE_S = 2.0
MIN_WORKERS = 4
# An entry that handed over leaves the term to others for this long; cuts of a
# zone last about 6 s.
STAND_BACK_S = 6.0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Hold when the store last answered another entry, in own steady seconds."""

    store_answered_s: float | None
    at_s: float


def is_turned_away(
    failing_for_s: float, reports: Iterable[EntryReport], now_s: float
) -> bool:
    """Return whether the store serves most of the other entries, but not this one.

    Only answers since it began to fail here count: while the store is down for
    all, the others notice that later.
    """
    if failing_for_s < TURNED_AWAY_AFTER_S:
        return False
    since_s = now_s - failing_for_s + ANSWERED_MARGIN_S
    recent = [r for r in reports if now_s - r.at_s <= REPORT_VALID_S]
    served = sum(
        r.store_answered_s is not None and r.store_answered_s > since_s for r in recent
    )
    return served > 0 and served * 2 >= len(recent)


def is_out_of_reach(answer_ages_s: Iterable[float | None]) -> bool:
    """Return whether most workers are silent; None stands for a failed call."""
    ages = list(answer_ages_s)
    if len(ages) < MIN_WORKERS:
        return False
    silent = sum(age is None or age > WORKER_SILENT_S for age in ages)
    return silent * 2 > len(ages)


class HandoverGuard:
    """Own the checks of this entry while it dispatches."""

    def __init__(self, keeper, link, store, clock: Clock) -> None:
        """Start without a term."""
        self._keeper = keeper
        self._link = link
        self._store = store
        self._clock = clock
        self._token: int | None = None
        self._term_since_s = 0.0

    def run(self, stop: threading.Event) -> None:
        """Check until stopped."""
        while not self._clock.wait(stop, CHECK_INTERVAL_S):
            self._check()

    def _check(self) -> None:
        own, dispatcher = self._keeper.own, self._link.own_dispatcher
        if own is None or dispatcher is None or not own.is_valid:
            return
        now_s = self._clock.monotonic_s()
        if self._token != own.term.token:
            self._token = own.term.token
            self._term_since_s = now_s
        failing_s = self._store.failing_for_s()
        if is_turned_away(failing_s, self._link.reports(), now_s):
            _LOGGER.warning(
                "dispatch: hands over, the store turns this entry away",
                extra={"failing_for_s": round(failing_s, 2), "token": self._token},
            )
            # The lease can only be ended by an entry that reaches the store.
            self._link.handover_lease = own.term.lease
            self._keeper.resign(STAND_BACK_S)
            return
        if now_s - self._term_since_s < MIN_TERM_AGE_S:
            return
        with dispatcher.lock:
            ages = [
                (
                    None
                    if view.last_answer_s is None or view.is_failing
                    else now_s - view.last_answer_s
                )
                for view in dispatcher.tracker.workers.values()
                if view.is_listed and dispatcher.fleet.is_present(view)
            ]
        if is_out_of_reach(ages):
            _LOGGER.warning(
                "dispatch: hands over, most workers are out of reach",
                extra={"workers": len(ages), "token": self._token},
            )
            self._keeper.resign(STAND_BACK_S)
