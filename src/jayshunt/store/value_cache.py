"""Cache of the values read last, for conditional requests to the store."""

import threading
from collections import OrderedDict

from jayshunt.store.const import MAX_CACHED_BYTES
from jayshunt.store.models import StoredValue


class ValueCache:
    """LRU cache of values, limited by their total length in characters.

    The client returns a cached value to a reader only after the store has confirmed
    its revision.
    """

    def __init__(self, limit_bytes: int = MAX_CACHED_BYTES) -> None:
        """Create an empty cache."""
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._values: OrderedDict[str, StoredValue] = OrderedDict()
        self._bytes = 0

    def get(self, key: str) -> StoredValue | None:
        """Return the cached value of a key and mark it as recently used."""
        with self._lock:
            value = self._values.get(key)
            if value is not None:
                self._values.move_to_end(key)
            return value

    def put(self, stored: StoredValue) -> None:
        """Cache a value, unless a newer one of the key is cached.

        Evict the least recently used values beyond the size limit.
        """
        with self._lock:
            cached = self._values.get(stored.key)
            if cached is not None and cached.revision > stored.revision:
                return
            self._remove(stored.key)
            self._values[stored.key] = stored
            self._bytes += len(stored.value)
            while self._bytes > self._limit_bytes:
                self._remove(next(iter(self._values)))

    def remove(self, key: str) -> None:
        """Remove a key that no longer exists."""
        with self._lock:
            self._remove(key)

    def _remove(self, key: str) -> None:
        value = self._values.pop(key, None)
        if value is not None:
            self._bytes -= len(value.value)
