"""Stand in for the platform's key-value service."""

import threading
import time
import uuid
from dataclasses import dataclass
from urllib.parse import unquote

from jayshunt_standins.server import Call, DropConnection, Reply, StandInServer


@dataclass
class Item:
    """Describe one stored value and the lease that it depends on."""

    value: str
    revision: int
    lease: str | None


@dataclass
class StoreFaults:
    """Define how the store fails.

    `down` drops each connection without an answer, `delay_s` delays each call.
    The next `lost_answers` writes take effect without an answer. The next
    `stale_reads` reads return the values from before the last change.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    stale_reads: int = 0


class StoreStandIn(StandInServer):
    """Serve get, put, delete, list, watch and leases, and fail on request.

    `PUT /standin/faults` with the fields of StoreFaults sets the faults, `GET
    /standin/counts` returns the calls and writes so far.
    """

    def __init__(self, port: int = 0) -> None:
        """Start without values, leases and faults."""
        super().__init__(port)
        self.faults = StoreFaults()
        self._changed = threading.Condition()
        self._items: dict[str, Item] = {}
        self._previous: tuple[dict[str, Item], int] = ({}, 0)
        self._deleted: dict[str, int] = {}
        self._revision = 0
        self._leases: dict[str, tuple[float, float]] = {}
        self.calls = 0
        self.writes = 0

    def answer(self, call: Call) -> Reply:
        """Return the answer to one call."""
        if call.path.startswith("/standin/"):
            return self._control(call)
        self.calls += 1
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if self.faults.down:
            raise DropConnection
        match call.path.split("/")[1], call.method:
            case "watch", "GET":
                return self._watch(call)
            case "leases", _:
                return self._lease(call)
            case "kv", "GET":
                return self._read(call)
            case "kv", "PUT" | "DELETE":
                return self._write(call)
        return Reply(404, {"error": "unknown path"})

    def _control(self, call: Call) -> Reply:
        if call.method == "PUT":
            self.faults = StoreFaults(**call.json())
            with self._changed:
                self._changed.notify_all()
        return Reply(200, {"calls": self.calls, "writes": self.writes})

    def _read(self, call: Call) -> Reply:
        with self._changed:
            self._expire_leases()
            items, revision = self._items, self._revision
            if self.faults.stale_reads > 0:
                self.faults.stale_reads -= 1
                items, revision = self._previous
            headers = {"Store-Revision": str(revision)}
            if call.path == "/kv":
                prefix = call.query.get("prefix", "")
                found = [
                    _item_content(k, i)
                    for k, i in sorted(items.items())
                    if k.startswith(prefix)
                ]
                return Reply(200, {"items": found}, headers=headers)
            key = unquote(call.path.removeprefix("/kv/"))
            item = items.get(key)
            if item is None:
                return Reply(404, {"error": "absent"}, headers=headers)
            if call.headers.get("If-None-Match") == f'"{item.revision}"':
                return Reply(304, body=b"", headers=headers)
            return Reply(200, _item_content(key, item), headers=headers)

    def _write(self, call: Call) -> Reply:
        key = unquote(call.path.removeprefix("/kv/"))
        with self._changed:
            self._expire_leases()
            self.writes += 1
            item = self._items.get(key)
            if not _condition_holds(call, item):
                found = item.revision if item else 0
                return Reply(412, {"revision": found})
            lease = call.query.get("lease")
            if lease is not None and lease not in self._leases:
                return Reply(412, {"error": "the lease has ended"})
            value = call.body.decode() if call.method == "PUT" else None
            self._apply(key, value, lease)
            if self.faults.lost_answers > 0:
                self.faults.lost_answers -= 1
                raise DropConnection
            return Reply(200, {"revision": self._revision})

    def _apply(self, key: str, value: str | None, lease: str | None) -> None:
        self._previous = (dict(self._items), self._revision)
        self._revision += 1
        if value is None:
            self._items.pop(key, None)
            self._deleted[key] = self._revision
        else:
            self._deleted.pop(key, None)
            self._items[key] = Item(value, self._revision, lease)
        self._changed.notify_all()

    def _watch(self, call: Call) -> Reply:
        prefix, after = call.query["prefix"], int(call.query["after"])
        end_s = time.monotonic() + float(call.query["wait_s"])
        with self._changed:
            while True:
                if self.faults.down:
                    raise DropConnection
                self._expire_leases()
                events = self._events(prefix, after)
                remaining_s = end_s - time.monotonic()
                if events or remaining_s <= 0:
                    return Reply(200, {"revision": self._revision, "events": events})
                self._changed.wait(min(remaining_s, 0.2))

    def _events(self, prefix: str, after: int) -> list[dict]:
        live = [_item_content(k, i) for k, i in self._items.items()]
        gone = [
            {"key": k, "value": None, "revision": r} for k, r in self._deleted.items()
        ]
        events = [
            e
            for e in [*live, *gone]
            if e["revision"] > after and e["key"].startswith(prefix)
        ]
        return sorted(events, key=lambda e: e["revision"])

    def _lease(self, call: Call) -> Reply:
        lease = call.path.removeprefix("/leases").strip("/")
        now_s = time.monotonic()
        with self._changed:
            self._expire_leases()
            match call.method:
                case "POST":
                    lease = uuid.uuid4().hex
                    ttl_s = float(call.json()["ttl_s"])
                    self._leases[lease] = (now_s + ttl_s, ttl_s)
                case "PUT" if lease in self._leases:
                    ttl_s = self._leases[lease][1]
                    self._leases[lease] = (now_s + ttl_s, ttl_s)
                case "DELETE" if lease in self._leases:
                    self._leases[lease] = (0.0, 0.0)
                    self._expire_leases()
                case _:
                    return Reply(404, {"error": "the lease has ended"})
        return Reply(200, {"lease": lease})

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        ended = {k for k, (end_s, _) in self._leases.items() if end_s <= now_s}
        for lease in ended:
            del self._leases[lease]
            for key in [k for k, i in self._items.items() if i.lease == lease]:
                self._apply(key, None, None)


def _condition_holds(call: Call, item: Item | None) -> bool:
    if call.headers.get("If-None-Match") == "*":
        return item is None
    expected_etag = call.headers.get("If-Match")
    if expected_etag is None:
        return True
    return item is not None and expected_etag.strip('"') == str(item.revision)


def _item_content(key: str, item: Item) -> dict:
    return {"key": key, "value": item.value, "revision": item.revision}
