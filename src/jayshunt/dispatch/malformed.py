"""Log each malformed entry of the store once."""

import logging
import threading
from collections import OrderedDict

from jayshunt.ids import Revision

_LOGGER = logging.getLogger(__name__)

MAX_ENTRIES = 10_000


class MalformedEntries:
    """Remember which entries are malformed, by key and revision.

    Lists are read again and again, and an entry of another program may stay in them.
    It is logged when it is first read, and again only once it was written anew.
    """

    def __init__(self) -> None:
        """Start without entries."""
        self._lock = threading.Lock()
        self._revisions: OrderedDict[str, Revision] = OrderedDict()

    def is_known(self, key: str, revision: Revision) -> bool:
        """Return whether the entry at this revision is known to be malformed."""
        return self._revisions.get(key) == revision

    def remember(self, key: str, revision: Revision) -> bool:
        """Remember an entry; return whether it was not known at this revision."""
        with self._lock:
            if self._revisions.get(key) == revision:
                return False
            self._revisions[key] = revision
            self._revisions.move_to_end(key)
            if len(self._revisions) > MAX_ENTRIES:
                self._revisions.popitem(last=False)
            return True

    def log(self, key: str, revision: Revision, reason: str) -> None:
        """Log an entry unless it is known at this revision."""
        if self.remember(key, revision):
            _LOGGER.warning(
                "dispatch: ignoring a malformed entry of the store",
                extra={"key": key, "revision": revision, "reason": reason},
            )
