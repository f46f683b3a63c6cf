"""Report the state of the store client."""

from dataclasses import asdict

from jayshunt.store.client import StoreClient


def describe(store: StoreClient) -> dict:
    """Return health, call share and counters for the status and the dump."""
    health = store.health
    share = store.call_limiter.share
    return {
        "state": health.state.value,
        "since_s": health.since_s,
        "last_error": health.last_error,
        "calls": store.calls,
        "writes": store.writes,
        "refused": store.call_limiter.refused,
        "stale_answers": store.stale_answers,
        "share": asdict(share),
        "reads_per_s": share.reads_per_s,
        "writes_per_s": share.writes_per_s,
    }
