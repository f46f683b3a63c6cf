"""Stand in for the platform's metadata store.

PROTOCOL.md, "The platform's metadata store" and "Service discovery".
"""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable

from standins.http import Answer, Request, Server

PAGE_ITEMS = 500
STORE_ANSWER_S = 0.004
VALUE_BYTES = 1_048_576
MISSED_PINGS = 3

# Called before a call is carried out: it may sleep, raise Drop, or return the answer.
Fault = Callable[[Request], Awaitable[Answer | None]]


class Store:
    """Keep keys, leases and the history of changes, and the workers' entries."""

    def __init__(self, heartbeat_s: float) -> None:
        """Start without keys; workers are removed after three silent heartbeats."""
        self.server = Server(self._answer)
        self.fault: Fault | None = None
        self.items: dict[str, dict] = {}
        self._silent_s = MISSED_PINGS * heartbeat_s
        self._events: list[dict] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._pings: dict[str, float] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen, and end leases and entries in time."""
        await self.server.start()
        self._task = asyncio.create_task(self._run_expiry())

    def put(self, key: str, content: dict) -> None:
        """Write a key as the operator does."""
        self._write(key, base64.b64encode(json.dumps(content).encode()).decode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self._revision += 1
            self._add_event({"key": key, "rev": self._revision, "removed": True})

    def content(self, key: str) -> dict | None:
        """Return the decoded value of a key."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def ping(self, worker: str, entry: dict) -> None:
        """Take a worker's entry; it changes when more than `seq` changes."""
        key = f"servers/{worker}"
        self._pings[key] = time.monotonic()
        known = self.content(key)
        if known is None or {**known, "seq": 0} != {**entry, "seq": 0}:
            self.put(key, entry)

    def forget(self, worker: str) -> None:
        """Remove the entry of a worker that has left."""
        self._pings.pop(f"servers/{worker}", None)
        self.remove(f"servers/{worker}")

    async def _answer(self, request: Request) -> Answer:
        if request.path == "/standin/ping":
            body = request.json()
            self.ping(body["worker"], body["entry"])
            return 200, {}
        if self.fault is not None:
            answer = await self.fault(request)
            if answer is not None:
                return answer
        await asyncio.sleep(STORE_ANSWER_S)
        return await self.carry_out(request)

    async def carry_out(self, request: Request) -> Answer:
        """Carry a call out and return its answer."""
        name = request.path.strip("/").split("/")
        match request.method, name[0]:
            case "GET", "kv-key":
                item = self.items.get(request.query["key"])
                return (404, {}) if item is None else (200, self._shown(item))
            case "GET", "kv-range":
                return self._range(request.query)
            case "GET", "kv-watch":
                return await self._watch(request.query)
            case "POST", "kv-txn":
                return self._transact(request.json())
            case "POST", "kv-lease":
                return self._grant(request.json()["ttlMs"] / 1000)
            case "POST", "kv-keep":
                return self._keep(int(name[1]))
            case "DELETE", "kv-lease-end":
                if int(name[1]) in self._leases:
                    self._leases[int(name[1])] = (0.0, 0.0)
                    self._expire()
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> Answer:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, self._shown({"items": items, "hasMore": len(keys) > PAGE_ITEMS})

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, self._shown({"events": events})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> Answer:
        self._expire()
        expected = body.get("expectRev", [])
        found = [self.items.get(row["key"]) for row in expected]
        if [i["rev"] if i else 0 for i in found] != [row["rev"] for row in expected]:
            return 412, {"items": [item for item in found if item]}
        puts = body.get("puts", [])
        if any(len(base64.b64decode(put["value"])) > VALUE_BYTES for put in puts):
            return 400, {"error": "a value is larger than valueBytes"}
        if any(put.get("lease", 0) not in {0, *self._leases} for put in puts):
            return 404, {}
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self._revision}

    def _grant(self, ttl_s: float) -> Answer:
        self._revision += 1
        self._leases[self._revision] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": self._revision, "ttlMs": int(ttl_s * 1000)}

    def _keep(self, lease: int) -> Answer:
        self._expire()
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {}

    def _shown(self, content: dict) -> dict:
        return {**content, "storeRevision": self._revision}

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        before = self.items.get(key)
        item = {"key": key, "value": value, "rev": self._revision, "lease": lease}
        item["createRev"] = before["createRev"] if before else self._revision
        self.items[key] = item
        self._add_event(item)

    def _add_event(self, event: dict) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _run_expiry(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self._expire()

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [k for k, (end_s, _) in self._leases.items() if end_s <= now_s]:
            del self._leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)
        for key, at_s in list(self._pings.items()):
            if now_s - at_s > self._silent_s:
                del self._pings[key]
                self.remove(key)
