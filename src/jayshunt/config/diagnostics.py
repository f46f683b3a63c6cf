"""Describe the state of the configuration for dumps."""

from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.watcher import StoreWatcher


def describe(coordinator: ConfigCoordinator, watcher: StoreWatcher) -> dict:
    """Return the version in force and whether this entry watches the store."""
    snapshot = coordinator.current()
    return {
        "version": snapshot.version,
        "digest": snapshot.digest,
        "author": snapshot.author,
        "accepted_s": snapshot.accepted_s,
        "reason": snapshot.reason,
        "watches_store": watcher.is_watcher(),
        "has_read_store": watcher.has_read_store,
    }
