"""Stand in for the platform's metadata store."""

import base64
import threading
import time

from http_base import Api

# `valueBytes` in the settings of the entries.
VALUE_BYTES = 1_048_576


class Store(Api):
    """Keep items with revisions, leases and a history of changes in memory."""

    def __init__(self):
        """Start empty, with revision 1."""
        super().__init__()
        self._changed = threading.Condition()
        self._items = {}
        self._leases = {}
        self._history = []
        self._revision = 1
        self._next_lease = 100

    def put(self, key, value):
        """Write a key for the operator or a server; return the revision."""
        with self._changed:
            return self._write({key: (value, 0)}, ())

    def remove(self, key):
        """Remove a key for the operator or a server."""
        with self._changed:
            if key in self._items:
                self._write({}, (key,))

    def read(self, key):
        """Return the value of a key, None without one."""
        with self._changed:
            self._expire()
            item = self._items.get(key)
            return None if item is None else item["value"]

    def answer(self, call):
        """Return the answer to a call of the system."""
        match call.method, call.path.split("/")[1]:
            case "GET", "kv-key":
                return self._get(call.query["key"])
            case "GET", "kv-range":
                return self._range(
                    call.query.get("prefix", ""), call.query.get("after")
                )
            case "GET", "kv-watch":
                return self._watch(call.query)
            case "POST", "kv-txn":
                return self._txn(call.json())
            case "POST", "kv-lease":
                return self._grant(call.json()["ttlMs"])
            case "POST", "kv-keep":
                return self._keep(int(call.path.split("/")[2]))
            case "DELETE", "kv-lease-end":
                return self._end(int(call.path.split("/")[2]))
        return 400, {}

    def _row(self, key):
        item = self._items[key]
        row = {"key": key, "rev": item["rev"], "createRev": item["created"]}
        row["value"] = base64.b64encode(item["value"]).decode()
        return {**row, "lease": item["lease"]}

    def _get(self, key):
        with self._changed:
            self._expire()
            if key not in self._items:
                return 404, {"storeRevision": self._revision}
            return 200, {**self._row(key), "storeRevision": self._revision}

    def _range(self, prefix, after):
        with self._changed:
            self._expire()
            keys = sorted(k for k in self._items if k.startswith(prefix))
            keys = [k for k in keys if after is None or k > after]
            rows = [self._row(k) for k in keys[:500]]
            more = len(keys) > 500
            found = {"items": rows, "hasMore": more, "storeRevision": self._revision}
            return 200, found

    def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                self._expire()
                events = [
                    event
                    for event in self._history
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "storeRevision": self._revision}
                self._changed.wait(min(left_s, 0.1))

    def _txn(self, body):
        puts, removals = body.get("puts", []), body.get("remove", [])
        for key in [put["key"] for put in puts] + removals:
            if key.startswith(("op/", "servers/")):
                return 403, {}
        if any(len(put["value"]) * 3 // 4 > VALUE_BYTES + 2 for put in puts):
            return 400, {}
        with self._changed:
            self._expire()
            expected = {row["key"]: row["rev"] for row in body.get("expectRev", [])}
            current = {k: self._items[k]["rev"] for k in expected if k in self._items}
            if any(current.get(key, 0) != rev for key, rev in expected.items()):
                return 412, {"items": [self._row(key) for key in current]}
            if any(
                put.get("lease") and put["lease"] not in self._leases for put in puts
            ):
                return 404, {}
            values = {
                put["key"]: (base64.b64decode(put["value"]), put.get("lease", 0))
                for put in puts
            }
            return 200, {"rev": self._write(values, removals)}

    def _write(self, values, removals):
        self._revision += 1
        for key, (value, lease) in values.items():
            created = self._items.get(key, {}).get("created", self._revision)
            fields = {"value": value, "rev": self._revision, "created": created}
            self._items[key] = {**fields, "lease": lease}
            self._history.append(self._row(key))
        for key in removals:
            if self._items.pop(key, None) is not None:
                gone = {"key": key, "rev": self._revision, "removed": True}
                self._history.append(gone)
        del self._history[:-20_000]
        self._changed.notify_all()
        return self._revision

    def _grant(self, ttl_ms):
        with self._changed:
            self._next_lease += 1
            ttl_s = max(1.0, ttl_ms / 1000)
            self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._next_lease, "ttlMs": int(ttl_s * 1000)}

    def _keep(self, lease):
        with self._changed:
            self._expire()
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {}

    def _end(self, lease):
        with self._changed:
            if lease in self._leases:
                self._leases[lease] = (0.0, 0.0)
            self._expire()
            return 200, {}

    def _expire(self):
        now_s = time.monotonic()
        over = {lease for lease, (end_s, _) in self._leases.items() if end_s <= now_s}
        for lease in over:
            del self._leases[lease]
        keys = [k for k, item in self._items.items() if item["lease"] in over]
        if over and keys:
            self._write({}, keys)
