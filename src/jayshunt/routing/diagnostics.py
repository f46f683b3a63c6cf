"""Describe the state of routing for diagnostics."""

from jayshunt.routing.connections import UpstreamConnections
from jayshunt.routing.router import Router


def describe_routing(router: Router, connections: UpstreamConnections) -> dict:
    """Return retries and idle connections for the diagnostic dump."""
    budget = router.budget
    return {
        "requests": budget.requests,
        "retries": budget.retries,
        "retries_denied": budget.denied,
        "idle_connections": connections.idle_counts(),
    }
