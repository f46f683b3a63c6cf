"""Limit retries to a part of all requests."""

import threading

from jayshunt.routing.const import (
    RETRY_BUDGET_LIMIT,
    RETRY_BUDGET_RATIO,
    RETRY_BUDGET_START,
)


class RetryBudget:
    """Own the retries that this entry may still make."""

    def __init__(self) -> None:
        """Start with a small reserve."""
        self._lock = threading.Lock()
        self._tokens = RETRY_BUDGET_START
        self.requests = 0
        self.retries = 0
        self.denied = 0

    def deposit(self) -> None:
        """Count one request of a caller."""
        with self._lock:
            self.requests += 1
            self._tokens = min(RETRY_BUDGET_LIMIT, self._tokens + RETRY_BUDGET_RATIO)

    def try_withdraw(self) -> bool:
        """Take one retry; False if the budget is used up."""
        with self._lock:
            if self._tokens < 1:
                self.denied += 1
                return False
            self._tokens -= 1
            self.retries += 1
            return True
