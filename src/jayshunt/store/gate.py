"""Decide when a call to the store may go out."""

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
    CONTROLLER_PART,
    MIN_BURST_CALLS,
    TOTAL_READS_PER_S,
    TOTAL_WRITES_PER_S,
)
from jayshunt.store.errors import StoreUnavailable
from jayshunt.store.models import StoreHealth, StoreState

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class CallShare:
    """Give a process its part of the calls that the deployment may make.

    `entries` counts every entry that may be alive and `zones` every zone. The
    controllers of the zones divide one part among them, and all entries divide
    the rest, so that the sum stays below the platform's limits at any size.
    """

    entries: int
    zones: int
    is_controller: bool = False

    @property
    def reads_per_s(self) -> float:
        """Return the reads a second of this process."""
        return TOTAL_READS_PER_S * self._part()

    @property
    def writes_per_s(self) -> float:
        """Return the writes a second of this process."""
        return TOTAL_WRITES_PER_S * self._part()

    def _part(self) -> float:
        part = (1 - CONTROLLER_PART) / max(1, self.entries)
        if self.is_controller:
            part += CONTROLLER_PART / max(1, self.zones)
        return part


@dataclass
class _Bucket:
    """Hold the calls that may go out at once; it may be in debt."""

    rate_per_s: float
    filled_s: float
    calls: float = 0.0

    @property
    def depth(self) -> float:
        """Return how many calls may go out in one burst."""
        return max(MIN_BURST_CALLS, self.rate_per_s * BURST_S)

    def wait_s(self, now_s: float) -> float:
        """Return how long the next call has to wait."""
        earned = (now_s - self.filled_s) * self.rate_per_s
        self.calls = min(self.depth, self.calls + earned)
        self.filled_s = now_s
        return max(0.0, (1 - self.calls) / self.rate_per_s)


class CallGate:
    """Limit the rate of calls and hold them back while the store is down.

    While the store is down one call per backoff period goes out and the others
    fail at once. At the store's return the buckets are empty, so that each process
    starts at its steady rate.
    """

    def __init__(self, peer: str, clock: Clock, rng: random.Random) -> None:
        """Start with the store presumed up."""
        self._peer = peer
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        now_s = clock.monotonic_s()
        self.share = CallShare(1, 1)
        self._reads = _Bucket(self.share.reads_per_s, now_s)
        self._writes = _Bucket(self.share.writes_per_s, now_s)
        self._reads.calls, self._writes.calls = self._reads.depth, self._writes.depth
        self._failures = 0
        self._round = 0
        self._retry_at_s = 0.0
        self.health = StoreHealth(StoreState.UP, now_s)
        self.calls = 0
        self.writes = 0
        self.refused = 0

    def set_share(self, share: CallShare) -> None:
        """Take a new share."""
        with self._lock:
            if share == self.share:
                return
            self.share = share
            self._reads.rate_per_s = share.reads_per_s
            self._writes.rate_per_s = share.writes_per_s

    def admit(self, step: str, is_write: bool) -> int:
        """Wait for the turn of a call; return the round it belongs to.

        Raise StoreUnavailable if the store is down or the wait would be long.
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
                # Other callers wait for this one probe.
                self._retry_at_s = now_s + CALL_TIMEOUT_S
            round_number = self._round
        if wait_s > 0:
            self._clock.wait(threading.Event(), wait_s)
        return round_number

    def failed(self, round_number: int, error: str) -> None:
        """Back off after a call without an answer.

        Calls that went out together count as one failure; otherwise one lost
        moment under load would look like a long outage.
        """
        with self._lock:
            if round_number != self._round:
                return
            self._round += 1
            now_s = self._clock.monotonic_s()
            limit_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2**self._failures)
            self._failures = min(self._failures + 1, 16)
            self._retry_at_s = now_s + self._rng.uniform(0, limit_s)
            if self.health.state is StoreState.UP:
                _LOGGER.warning("store: no answer from %s: %s", self._peer, error)
                self.health = StoreHealth(StoreState.DOWN, now_s, error)

    def succeeded(self) -> None:
        """End the backoff after an answer."""
        with self._lock:
            if not self._failures:
                return
            self._failures = 0
            self._round += 1
            self._retry_at_s = 0.0
            now_s = self._clock.monotonic_s()
            for bucket in (self._reads, self._writes):
                bucket.calls, bucket.filled_s = min(bucket.calls, 0.0), now_s
            _LOGGER.info("store: %s answers again", self._peer)
            self.health = StoreHealth(StoreState.UP, now_s)
