"""Sample the time series of the report in bounded memory."""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import asdict

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot
from jayshunt.operations.const import MAX_EVENTS, MAX_SAMPLES, SAMPLE_INTERVAL_S
from jayshunt.operations.models import BufferSample, Move, RollOut
from jayshunt.pools.models import AssignmentRecord


class ReportSamples:
    """Record samples of the buffer, roll-outs and moves for the report."""

    def __init__(self, clock: Clock, read_buffer_cores: Callable[[], float]) -> None:
        """Initialize without samples."""
        self._clock = clock
        self._read_buffer_cores = read_buffer_cores
        self._lock = threading.Lock()
        self._buffer: deque[BufferSample] = deque(maxlen=MAX_SAMPLES)
        self._roll_outs: deque[RollOut] = deque(maxlen=MAX_EVENTS)
        self._moves: deque[Move] = deque(maxlen=MAX_EVENTS)
        self._record: AssignmentRecord | None = None
        self.move_count = 0

    def run(self, stop: threading.Event) -> None:
        """Sample the buffer at intervals until `stop` is set."""
        while not stop.is_set():
            self.sample()
            self._clock.wait(stop, SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Record one sample of the buffer."""
        sample = BufferSample(self._clock.now_s(), self._read_buffer_cores())
        with self._lock:
            self._buffer.append(sample)

    def record_roll_out(self, snapshot: ConfigSnapshot) -> None:
        """Record how long a version took until it was in force here."""
        took_s = max(0.0, self._clock.now_s() - snapshot.accepted_s)
        with self._lock:
            self._roll_outs.append(
                RollOut(snapshot.version, snapshot.accepted_s, took_s)
            )

    def record_moves(self, record: AssignmentRecord) -> None:
        """Record the VMs whose pool changed since the previous record."""
        with self._lock:
            before, self._record = self._record, record
            if before is None:
                return
            for vm, assignment in record.assignments.items():
                previous = before.assignments.get(vm)
                if previous is None or previous.pool == assignment.pool:
                    continue
                self.move_count += 1
                self._moves.append(
                    Move(
                        self._clock.now_s(),
                        vm,
                        previous.pool,
                        assignment.pool,
                        assignment.reason,
                    )
                )

    def content(self) -> dict:
        """Return all samples as JSON-compatible values."""
        with self._lock:
            return {
                "interval_s": SAMPLE_INTERVAL_S,
                "buffer": [asdict(sample) for sample in self._buffer],
                "roll_outs": [asdict(roll_out) for roll_out in self._roll_outs],
                "moves": [asdict(move) for move in self._moves],
            }
