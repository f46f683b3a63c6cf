"""Define the claims of idempotency keys that the router makes before sending."""

from typing import Protocol

from jayshunt.errors import JayshuntError
from jayshunt.routing.messages import CallerAnswer, CallerRequest


class ClaimStore(Protocol):
    """Record the start and the result of requests with an idempotency key."""

    def begin(self, request: CallerRequest) -> CallerAnswer | None:
        """Claim the request's key before the request is sent.

        Return the stored answer if the request ran before and its answer is known,
        otherwise None. Raise JayshuntError if the request must not be sent.
        """

    def finish(
        self, request: CallerRequest, result: CallerAnswer | JayshuntError
    ) -> None:
        """Record the answer or the error of a claimed request."""


class NoClaims:
    """Implement ClaimStore without records, for requests without a key and tests."""

    def begin(self, request: CallerRequest) -> CallerAnswer | None:
        """Let every request be sent."""
        return None

    def finish(
        self, request: CallerRequest, result: CallerAnswer | JayshuntError
    ) -> None:
        """Ignore the result."""
