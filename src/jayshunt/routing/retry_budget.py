"""Limit retries to a fraction of all requests."""

import threading

from jayshunt.routing.const import (
    RETRY_BUDGET_LIMIT,
    RETRY_BUDGET_RATIO,
    RETRY_BUDGET_START,
)


class RetryBudget:
    """Bound the retries of this entry with a token bucket filled by requests."""

    def __init__(self) -> None:
        """Create a budget with a few initial retries."""
        self._lock = threading.Lock()
        self._tokens = RETRY_BUDGET_START
        self.requests = 0
        self.retries = 0
        self.denied = 0

    def deposit(self) -> None:
        """Count one caller's request and add its fraction of a retry."""
        with self._lock:
            self.requests += 1
            self._tokens = min(RETRY_BUDGET_LIMIT, self._tokens + RETRY_BUDGET_RATIO)

    def try_withdraw(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        with self._lock:
            if self._tokens < 1:
                self.denied += 1
                return False
            self._tokens -= 1
            self.retries += 1
            return True
