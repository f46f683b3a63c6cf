"""Wait for a broker's decision on one request."""

import threading

from jayshunt.admission.messages import PermitGranted, PermitRefused, PermitRequest

# None: the broker did not reply or the call was aborted, so the caller asks another
# broker. It is also the value before the first decision.
Decision = PermitGranted | PermitRefused | None


class PendingCall:
    """Track one request until its broker decides or its caller gives up.

    Only the first decision counts. Code that delivers a grant after the first
    decision must release the grant.
    """

    def __init__(self, request: PermitRequest) -> None:
        """Create a call without a decision."""
        self.request = request
        self.queued = False
        self.decision: Decision = None
        self._lock = threading.Lock()
        self._is_decided = False
        self._replied = threading.Event()
        self._decided = threading.Event()

    def mark_queued(self) -> None:
        """Record that the broker queued the request."""
        self.queued = True
        self._replied.set()

    def decide(self, decision: Decision) -> bool:
        """Record a decision; return whether it was the first."""
        with self._lock:
            if self._is_decided:
                return False
            self._is_decided = True
        self.decision = decision
        self._decided.set()
        self._replied.set()
        return True

    def wait_reply(self, timeout_s: float) -> bool:
        """Wait until the request is queued or decided; return False on timeout."""
        return self._replied.wait(timeout_s)

    def wait_decision(self, timeout_s: float) -> bool:
        """Wait until the request is decided; return False on timeout."""
        return self._decided.wait(timeout_s)
