"""Define the clocks from which all components read the time."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Source of wall time, monotonic time and interruptible waits, in seconds."""

    def now_s(self) -> float:
        """Return the wall time in seconds since the epoch."""

    def monotonic_s(self) -> float:
        """Return a time in seconds that never goes back."""

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until the event is set; return whether it is."""


class SystemClock:
    """Clocks of the operating system."""

    def now_s(self) -> float:
        """Return the wall time in seconds since the epoch."""
        return time.time()

    def monotonic_s(self) -> float:
        """Return a time in seconds that never goes back."""
        return time.monotonic()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until the event is set; return whether it is."""
        return event.wait(timeout_s)


class ManualClock:
    """Clock that only `advance` and `wait` move, for tests and measurements.

    `wait` advances the time by the whole timeout and returns at once, so that a
    loop written against `Clock` runs without real delays.
    """

    def __init__(self, start_s: float = 1_000_000.0) -> None:
        """Start at a given wall time."""
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the wall time in seconds since the epoch."""
        return self._now_s

    def monotonic_s(self) -> float:
        """Return the same time as `now_s`; it never goes back."""
        return self._now_s

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Advance by the timeout unless the event is set; return whether it is."""
        if event.is_set():
            return True
        self.advance(timeout_s)
        return event.is_set()

    def advance(self, duration_s: float) -> None:
        """Move the time forward."""
        self._now_s += duration_s
