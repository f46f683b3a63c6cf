"""Stand in for the platform's metadata store, with configurable faults."""

import base64
import random
import threading
import time
from dataclasses import dataclass

from jayshunt_soak.const import HEARTBEAT_S, MAX_MISSED_HEARTBEATS
from jayshunt_standins.server import Call, DropConnection, Reply, StandInServer

PAGE_ITEMS = 200
PAGE_BYTES = 1024 * 1024
WATCH_CHECK_INTERVAL_S = 0.2
SILENT_DROP_S = 8.0


@dataclass
class StoreFaults:
    """Define how the store fails.

    A share `lost_ratio` of the writes take effect without an answer. A share
    `late_ratio` get no answer and take effect only up to two seconds after their
    connection was closed.
    """

    is_down: bool = False
    is_silent: bool = False
    delay_s: float = 0.0
    lost_ratio: float = 0.0
    late_ratio: float = 0.0


class PlatformStoreStandIn(StandInServer):
    """Store keys, leases and the history of changes, and register workers."""

    def __init__(self, seed: int, port: int = 0) -> None:
        """Start without keys at revision 1; `seed` chooses which writes fail."""
        super().__init__(port)
        self.faults = StoreFaults()
        self._rng = random.Random(seed)
        self._changed = threading.Condition()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 1
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_heartbeat_s: dict[str, float] = {}

    def answer(self, call: Call) -> Reply:
        """Return the answer to one call."""
        faults = self.faults
        if faults.is_silent:
            time.sleep(SILENT_DROP_S)
            raise DropConnection
        if faults.is_down:
            return Reply(503, {})
        if faults.delay_s:
            time.sleep(faults.delay_s)
        with self._changed:
            self._expire()
        name = call.path.strip("/").split("/")
        match call.method, name[0]:
            case "GET", "kv-key":
                return self._get(call.query["key"])
            case "GET", "kv-range":
                return self._range(call.query)
            case "GET", "kv-watch":
                return self._watch(call.query)
            case "POST", "kv-txn":
                return self._apply_with_faults(lambda: self._transact(call.json()))
            case "POST", "kv-lease":
                return self._grant(call.json()["ttlMs"] / 1000)
            case "POST", "kv-keep":
                return self._renew(int(name[1]))
            case "DELETE", "kv-lease-end":
                return self._revoke(int(name[1]))
        return Reply(404, {})

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator does, without conditions and faults."""
        with self._changed:
            self._write(key, base64.b64encode(value).decode(), 0)

    def remove(self, *keys: str) -> None:
        """Remove keys as another program does."""
        with self._changed:
            for key in keys:
                self._remove(key)

    def values(self, prefix: str) -> dict[str, bytes]:
        """Return the values of all keys that start with a prefix."""
        with self._changed:
            return {
                key: base64.b64decode(item["value"])
                for key, item in self._items.items()
                if key.startswith(prefix)
            }

    def record_heartbeat(self, worker: str, value: bytes) -> None:
        """Record a worker's heartbeat; three missing ones remove its registration."""
        key = f"servers/{worker}"
        text = base64.b64encode(value).decode()
        with self._changed:
            self._last_heartbeat_s[key] = time.monotonic()
            if key not in self._items or self._items[key]["value"] != text:
                self._write(key, text, 0)

    def discard_history(self) -> None:
        """Discard the history of changes; watches from earlier revisions get 410."""
        with self._changed:
            self._compacted_revision = self._revision
            self._events.clear()

    def _apply_with_faults(self, write) -> Reply:
        drawn = self._rng.random()
        if drawn < self.faults.late_ratio:
            delay_s = self._rng.uniform(0.2, 2.0)
            threading.Timer(delay_s, write).start()
            raise DropConnection
        reply = write()
        if drawn < self.faults.late_ratio + self.faults.lost_ratio:
            raise DropConnection
        return reply

    def _get(self, key: str) -> Reply:
        with self._changed:
            item = self._items.get(key)
            content = None if item is None else self._with_revision(item)
        return Reply(404, {}) if content is None else Reply(200, content)

    def _range(self, query: dict) -> Reply:
        with self._changed:
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            items = _first_page([self._items[key] for key in keys[:PAGE_ITEMS]])
            content = {"items": items, "hasMore": len(keys) > len(items)}
            return Reply(200, self._with_revision(content))

    def _watch(self, query: dict) -> Reply:
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1000
        with self._changed:
            while True:
                if after < self._compacted_revision:
                    return Reply(410, {})
                events = [
                    e
                    for e in self._events
                    if e["rev"] > after and e["key"].startswith(prefix)
                ]
                remaining_s = end_s - time.monotonic()
                if events or remaining_s <= 0:
                    return Reply(200, self._with_revision({"events": events}))
                self._changed.wait(min(remaining_s, WATCH_CHECK_INTERVAL_S))
                self._expire()
                if self.faults.is_down or self.faults.is_silent:
                    raise DropConnection

    def _transact(self, body: dict) -> Reply:
        with self._changed:
            self._expire()
            expected = body.get("expectRev", [])
            found = [self._items.get(row["key"]) for row in expected]
            revisions = [item["rev"] if item else 0 for item in found]
            if revisions != [row["rev"] for row in expected]:
                return Reply(412, {"items": [item for item in found if item]})
            puts = body.get("puts", [])
            if any(p.get("lease", 0) not in {0, *self._leases} for p in puts):
                return Reply(404, {})
            for put in puts:
                self._write(put["key"], put["value"], put.get("lease", 0))
            for key in body.get("remove", []):
                self._remove(key)
            return Reply(200, {"rev": self._revision})

    def _grant(self, ttl_s: float) -> Reply:
        with self._changed:
            self._revision += 1
            lease = self._revision
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return Reply(200, {"lease": lease, "ttlMs": int(ttl_s * 1000)})

    def _renew(self, lease: int) -> Reply:
        with self._changed:
            if lease not in self._leases:
                return Reply(404, {})
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return Reply(200, {})

    def _revoke(self, lease: int) -> Reply:
        with self._changed:
            if lease in self._leases:
                self._leases[lease] = (0.0, 0.0)
                self._expire()
        return Reply(200, {})

    def _with_revision(self, content: dict) -> dict:
        return {**content, "storeRevision": self._revision}

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        before = self._items.get(key)
        item = {"key": key, "value": value, "rev": self._revision, "lease": lease}
        item["createRev"] = before["createRev"] if before else self._revision
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"key": key, "rev": self._revision, "removed": True})
            self._changed.notify_all()

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [k for k, (end_s, _) in self._leases.items() if end_s <= now_s]:
            del self._leases[lease]
            for key in [k for k, i in self._items.items() if i["lease"] == lease]:
                self._remove(key)
        silent_s = MAX_MISSED_HEARTBEATS * HEARTBEAT_S
        for key in [
            k for k, at_s in self._last_heartbeat_s.items() if now_s - at_s > silent_s
        ]:
            del self._last_heartbeat_s[key]
            self._remove(key)


def _first_page(items: list[dict]) -> list[dict]:
    """Return the first items whose values take at most PAGE_BYTES; at least one."""
    size_bytes = 0
    for count, item in enumerate(items):
        size_bytes += len(item["value"])
        if count and size_bytes > PAGE_BYTES:
            return items[:count]
    return items
