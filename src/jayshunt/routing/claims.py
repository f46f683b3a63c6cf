"""Define how the router claims marked requests before it sends them."""

from typing import Protocol

from jayshunt.errors import JayshuntError
from jayshunt.routing.messages import CallerAnswer, CallerRequest


class ClaimStore(Protocol):
    """Record that a request with an idempotency key has started."""

    def begin(self, request: CallerRequest) -> CallerAnswer | None:
        """Claim the request's key before anything is sent.

        Raise JayshuntError if the request must not be sent. Return the stored
        answer if the request ran before and its answer is known.
        """

    def finish(
        self, request: CallerRequest, result: CallerAnswer | JayshuntError
    ) -> None:
        """Record how a claimed request ended."""


class NoClaims:
    """Claim nothing, for requests without a key and for tests."""

    def begin(self, request: CallerRequest) -> CallerAnswer | None:
        """Allow every request."""
        return None

    def finish(
        self, request: CallerRequest, result: CallerAnswer | JayshuntError
    ) -> None:
        """Keep no record."""
