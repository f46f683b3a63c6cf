"""Find soon that a silent store answers again, and let the callers of it wait for that.

The expected load: the store gives no answer for some seconds while a queue begins its
turn. A call that is sent just before the store returns keeps its sender waiting for
the whole timeout of the call, 1.2 to 2 s, which is as long as an objective.
"""

import contextlib
import threading
from typing import Protocol

from jayshunt.clock import Clock
from jayshunt.dispatch.records import TERM_KEY
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

# A slow store answers within 0.36 s.
PROBE_TIMEOUT_S = 0.5
# Calls to the store are paid for, and up to 43 entries probe at a time.
PROBE_PAUSE_S = 0.2
STEP_S = 0.05
# Timeout of the renewals of a term while they fail, until the last renewal is so old
# that the term is about to end. Then a store that answers slower gets its full time.
RENEW_TIMEOUT_S = 0.6
LAST_RENEWALS_S = 5.6
# Longest wait for the store after a failed call. The term bridges outages of 5.5 s;
# after that, calls are tried although probes fail, as those may fail for other reasons.
MAX_WAIT_S = 6.0


class ProbedStore(Protocol):
    """A store that knows since when its calls fail."""

    def failing_for_s(self) -> float:
        """Return for how long calls have been failing, 0 while they succeed."""

    def get(self, key: str, timeout_s: float):
        """Return an item."""


class StoreProbe:
    """Read one key again and again while calls to the store fail.

    An entry sends at most five probes a second, and fewer than two while the store is
    silent. Its success ends the failure that all callers of the store see.
    """

    def __init__(self, store: ProbedStore, clock: Clock) -> None:
        """Use a store; nothing is sent while its calls succeed."""
        self._store = store
        self._clock = clock

    def run(self, stop: threading.Event) -> None:
        """Probe until stopped."""
        while not stop.is_set():
            if self._store.failing_for_s() > 0:
                with contextlib.suppress(StoreUnavailable, StoreOutcomeUnknown):
                    self._store.get(TERM_KEY, PROBE_TIMEOUT_S)
            self._clock.wait(stop, PROBE_PAUSE_S)


def wait_for_store(
    store, clock: Clock, stop: threading.Event, least_s: float, most_s=MAX_WAIT_S
) -> None:
    """Wait for at least `least_s`, and until calls to the store succeed again."""
    end_s = clock.monotonic_s() + most_s
    clock.wait(stop, least_s)
    while (
        not stop.is_set() and store.failing_for_s() > 0 and clock.monotonic_s() < end_s
    ):
        clock.wait(stop, STEP_S)
