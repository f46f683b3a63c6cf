"""Watch the operator's configuration; never replace a version by an older one."""

import logging
import threading
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.dispatch.const import CONFIG_WATCH_S
from jayshunt.dispatch.models import FleetConfig
from jayshunt.dispatch.store_models import Item
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import Revision
from jayshunt.platform.store import HistoryGone, PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

RETRY_S = 0.15


class ConfigFollower:
    """Keep the latest valid configuration from the store."""

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        key: str,
        decode: Callable[[bytes], FleetConfig],
    ) -> None:
        """Start without a configuration; `decode` parses the value of `key`.

        `read_s` is the monotonic time of the last answer from the store, None before
        the first.
        """
        self._store = store
        self._clock = clock
        self._key = key
        self._decode = decode
        self._revision: Revision | None = None
        self._current: FleetConfig | None = None
        self._is_reachable = True
        self.read_s: float | None = None

    def current(self) -> FleetConfig | None:
        """Return the configuration in force, or None before the first was read."""
        return self._current

    def run(self, stop: threading.Event) -> None:
        """Read the configuration and watch it until stopped."""
        while not stop.is_set():
            try:
                if self._revision is None:
                    items, self._revision = self._store.list(self._key)
                    self._apply_all(items)
                else:
                    answer = self._store.watch(
                        self._key, self._revision, CONFIG_WATCH_S, stop
                    )
                    self._apply_all(answer.events)
                    self._revision = max(self._revision, answer.revision)
                self._mark_reachable()
            except HistoryGone:
                self._revision = None
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                # Read the whole value again, as the watch may have missed changes.
                self._revision = None
                self._handle_unreachable(error, stop)

    def _mark_reachable(self) -> None:
        self.read_s = self._clock.monotonic_s()
        if not self._is_reachable:
            self._is_reachable = True
            _LOGGER.info("config: the store is reachable again")

    def _handle_unreachable(self, error: Exception, stop: threading.Event) -> None:
        if stop.is_set():
            return
        if self._is_reachable:
            self._is_reachable = False
            _LOGGER.warning(
                "config: the store is not reachable",
                extra={
                    "reason": str(error),
                    "version": self._current.version if self._current else None,
                },
            )
        self._clock.wait(stop, RETRY_S)

    def _apply_all(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key == self._key and item.value is not None:
                self._apply(item)

    def _apply(self, item: Item) -> None:
        try:
            config = self._decode(item.value)
        except DECODE_ERRORS as error:
            _LOGGER.error(
                "config: failed to decode a version", extra={"reason": str(error)}
            )
            return
        if self._current is not None and config.version <= self._current.version:
            return
        before = self._current.version if self._current else None
        self._current = config
        _LOGGER.info(
            "config: in force",
            extra={
                "version": config.version,
                "before": before,
                "queues": len(config.queues),
                "revision": item.revision,
            },
        )
