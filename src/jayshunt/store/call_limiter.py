"""Rate limit and backoff for calls to the store."""

import logging
import random
import threading
from dataclasses import dataclass

from jayshunt.clock import Clock
from jayshunt.store.const import (
    ADMIT_WAIT_S,
    BACKOFF_FIRST_S,
    BACKOFF_LIMIT_S,
    BURST_S,
    CALL_TIMEOUT_S,
    CONTROLLER_FRACTION,
    MIN_BURST_CALLS,
    TOTAL_READS_PER_S,
    TOTAL_WRITES_PER_S,
)
from jayshunt.store.errors import StoreUnavailable
from jayshunt.store.models import StoreHealth, StoreState

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class CallShare:
    """Share of one process in the total call rate of the deployment.

    `entries` counts every entry that may be alive and `zones` every zone. The zone
    controllers divide CONTROLLER_FRACTION of the total among them, and all entries
    divide the rest, so that the sum stays below the platform's limits at any size.
    """

    entries: int
    zones: int
    is_controller: bool = False

    @property
    def reads_per_s(self) -> float:
        """Return how many reads per second this process may send."""
        return TOTAL_READS_PER_S * self._fraction()

    @property
    def writes_per_s(self) -> float:
        """Return how many writes per second this process may send."""
        return TOTAL_WRITES_PER_S * self._fraction()

    def _fraction(self) -> float:
        part = (1 - CONTROLLER_FRACTION) / max(1, self.entries)
        if self.is_controller:
            part += CONTROLLER_FRACTION / max(1, self.zones)
        return part


@dataclass
class _TokenBucket:
    """Token bucket: `calls` is the number of calls that may be sent now.

    It is negative while admitted calls wait for their turn.
    """

    rate_per_s: float
    refilled_s: float
    calls: float = 0.0

    @property
    def capacity(self) -> float:
        """Return the burst size in calls."""
        return max(MIN_BURST_CALLS, self.rate_per_s * BURST_S)

    def wait_s(self, now_s: float) -> float:
        """Refill the bucket and return how long the next call has to wait."""
        refill = (now_s - self.refilled_s) * self.rate_per_s
        self.calls = min(self.capacity, self.calls + refill)
        self.refilled_s = now_s
        return max(0.0, (1 - self.calls) / self.rate_per_s)


class CallLimiter:
    """Limit the call rate, and back off while the store is down.

    While the store is down, one call per backoff period is sent as a probe, and the
    others fail immediately. When the store recovers, the buckets are emptied, so
    that each process starts at its steady rate without a burst.
    """

    def __init__(self, peer: str, clock: Clock, rng: random.Random) -> None:
        """Start with full buckets; the store is presumed up."""
        self._peer = peer
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        now_s = clock.monotonic_s()
        self.share = CallShare(1, 1)
        self._reads = _TokenBucket(self.share.reads_per_s, now_s)
        self._writes = _TokenBucket(self.share.writes_per_s, now_s)
        self._reads.calls, self._writes.calls = (
            self._reads.capacity,
            self._writes.capacity,
        )
        self._failures = 0
        self._generation = 0
        self._retry_at_s = 0.0
        self.health = StoreHealth(StoreState.UP, now_s)
        self.calls = 0
        self.writes = 0
        self.refused = 0

    def set_share(self, share: CallShare) -> None:
        """Replace the share; the new rates apply from now on."""
        with self._lock:
            if share == self.share:
                return
            self.share = share
            self._reads.rate_per_s = share.reads_per_s
            self._writes.rate_per_s = share.writes_per_s

    def admit(self, step: str, is_write: bool) -> int:
        """Wait until a call may be sent; return the generation it belongs to.

        A new generation starts whenever a failure, or a recovery after failures, is
        recorded. Raise StoreUnavailable if the store is down or the wait would be
        longer than ADMIT_WAIT_S.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            if now_s < self._retry_at_s:
                self.refused += 1
                raise StoreUnavailable(step, self._peer, self.health.last_error)
            bucket = self._writes if is_write else self._reads
            wait_s = bucket.wait_s(now_s)
            if wait_s > ADMIT_WAIT_S:
                self.refused += 1
                raise StoreUnavailable(step, self._peer, "call rate limit reached")
            bucket.calls -= 1
            self.calls += 1
            self.writes += is_write
            if self._failures:
                # This call is the probe: others are refused until it ends or times out.
                self._retry_at_s = now_s + CALL_TIMEOUT_S
            generation = self._generation
        if wait_s > 0:
            self._clock.wait(threading.Event(), wait_s)
        return generation

    def record_failure(self, generation: int, error: str) -> None:
        """Back off after a failed call.

        Failures of calls of the same generation count once. Otherwise many
        concurrent calls that fail together would raise the backoff as if there had
        been a long outage.
        """
        with self._lock:
            if generation != self._generation:
                return
            self._generation += 1
            now_s = self._clock.monotonic_s()
            limit_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2**self._failures)
            self._failures = min(self._failures + 1, 16)
            self._retry_at_s = now_s + self._rng.uniform(0, limit_s)
            if self.health.state is StoreState.UP:
                _LOGGER.warning("store: no response from %s: %s", self._peer, error)
                self.health = StoreHealth(StoreState.DOWN, now_s, error)

    def record_success(self) -> None:
        """End the backoff after a successful call."""
        with self._lock:
            if not self._failures:
                return
            self._failures = 0
            self._generation += 1
            self._retry_at_s = 0.0
            now_s = self._clock.monotonic_s()
            for bucket in (self._reads, self._writes):
                bucket.calls, bucket.refilled_s = min(bucket.calls, 0.0), now_s
            _LOGGER.info("store: %s is reachable again", self._peer)
            self.health = StoreHealth(StoreState.UP, now_s)
