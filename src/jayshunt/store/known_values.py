"""Keep the values that were read last, so that they are not sent again."""

import threading
from collections import OrderedDict

from jayshunt.store.const import MAX_KNOWN_BYTES
from jayshunt.store.models import StoredValue


class KnownValues:
    """Hold values within a limit of bytes; the one not read for longest goes first.

    A value is only returned to a reader after the store confirmed its revision.
    """

    def __init__(self, limit_bytes: int = MAX_KNOWN_BYTES) -> None:
        """Start empty."""
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._values: OrderedDict[str, StoredValue] = OrderedDict()
        self._bytes = 0

    def get(self, key: str) -> StoredValue | None:
        """Return the last value read of a key."""
        with self._lock:
            value = self._values.get(key)
            if value is not None:
                self._values.move_to_end(key)
            return value

    def keep(self, stored: StoredValue) -> None:
        """Keep a value in place of an older one."""
        with self._lock:
            known = self._values.get(stored.key)
            if known is not None and known.revision > stored.revision:
                return
            self._remove(stored.key)
            self._values[stored.key] = stored
            self._bytes += len(stored.value)
            while self._bytes > self._limit_bytes:
                self._remove(next(iter(self._values)))

    def drop(self, key: str) -> None:
        """Forget a key that is gone."""
        with self._lock:
            self._remove(key)

    def _remove(self, key: str) -> None:
        value = self._values.pop(key, None)
        if value is not None:
            self._bytes -= len(value.value)
