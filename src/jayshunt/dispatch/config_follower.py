"""Watch the operator's configuration; never replace a version by an older one."""

import json
import logging
import threading
from collections.abc import Callable

from jayshunt.checked import describe_invalid
from jayshunt.clock import Clock
from jayshunt.dispatch.const import CONFIG_WATCH_S
from jayshunt.dispatch.malformed import MalformedEntries
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

        `read_s` is the monotonic time up to which the store certainly had no later
        configuration, None before its first answer.
        """
        self._store = store
        self._clock = clock
        self._key = key
        self._decode = decode
        self._revision: Revision | None = None
        self._current: FleetConfig | None = None
        self._is_reachable = True
        self._malformed = MalformedEntries()
        self.read_s: float | None = None

    def current(self) -> FleetConfig | None:
        """Return the configuration in force, or None before the first was read."""
        return self._current

    def run(self, stop: threading.Event) -> None:
        """Read the configuration and watch it until stopped."""
        while not stop.is_set():
            try:
                sent_s = self._clock.monotonic_s()
                if self._revision is None:
                    items, self._revision = self._store.list(self._key)
                    self._apply_all(items)
                    self._mark_reachable(sent_s)
                else:
                    answer = self._store.watch(
                        self._key, self._revision, CONFIG_WATCH_S, stop
                    )
                    self._apply_all(answer.events)
                    self._revision = max(self._revision, answer.revision)
                    waited_s = 0.0 if answer.events else CONFIG_WATCH_S
                    self._mark_reachable(sent_s + waited_s)
            except HistoryGone:
                self._revision = None
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                # Read the whole value again, as the watch may have missed changes.
                self._revision = None
                self._handle_unreachable(error, stop)

    def _mark_reachable(self, answered_s: float) -> None:
        """Record an answer that the store gave at `answered_s` at the earliest.

        An answer can be late, so the time at which it arrived would be too late. A
        watch without events was answered after its wait, or earlier if it came back
        earlier.
        """
        self.read_s = min(answered_s, self._clock.monotonic_s())
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
            if self._malformed.remember(item.key, item.revision):
                _LOGGER.error(
                    "config: failed to decode a version",
                    extra={"reason": _describe(error), "revision": item.revision},
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
                "workspaces": len(config.workspaces),
                "requires_keys": config.requires_keys,
                "revision": item.revision,
            },
        )


def _describe(error: Exception) -> str:
    """Return what is wrong with a document without quoting it: it contains keys.

    The texts of these two errors hold a position and the name of a missing field.
    """
    match error:
        case json.JSONDecodeError() | KeyError():
            return f"{type(error).__name__}: {error}"
        case _:
            return describe_invalid(error)
