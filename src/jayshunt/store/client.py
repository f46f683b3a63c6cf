"""HTTP client of the platform's key-value service.

The entry process that `composition` creates uses it. The entry process of
`platform_entry` uses `platform.store`, for a service with another protocol.
"""

import json
import logging
import random
import threading
from urllib.parse import quote, urlencode

from jayshunt import http_client
from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.http_client import HttpAnswer
from jayshunt.ids import LeaseId, Revision
from jayshunt.store.call_limiter import CallLimiter, CallShare
from jayshunt.store.const import (
    CALL_TIMEOUT_S,
    MAX_READ_ATTEMPTS,
    MAX_VALUE_BYTES,
    STALE_WAIT_S,
    WATCH_WAIT_S,
)
from jayshunt.store.errors import (
    RevisionConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from jayshunt.store.models import StoredValue, StoreHealth, WatchEvent
from jayshunt.store.value_cache import ValueCache

_LOGGER = logging.getLogger(__name__)

ANY_REVISION = Revision(-1)
ABSENT = Revision(0)


class StoreClient:
    """Client for reads, compare-and-swap writes, leases and watches.

    Every change of a value has a revision that increases over the whole store. A
    response with a revision below the highest one seen before its call is stale.
    The read is then repeated, and fails after MAX_READ_ATTEMPTS stale responses, so
    that reads are monotonic.
    `CallLimiter` limits the call rate and backs off during an outage.
    """

    def __init__(self, base_url: str, clock: Clock, rng: random.Random) -> None:
        """Create a client without a connection; the store is presumed up."""
        self._base_url = base_url.rstrip("/")
        self._peer = self._base_url.split("//")[-1]
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._highest_revision = Revision(0)
        self.stale_answers = 0
        self._cache = ValueCache()
        self.call_limiter = CallLimiter(self._peer, clock, rng)

    @property
    def health(self) -> StoreHealth:
        """Return whether the store is up, and since when."""
        return self.call_limiter.health

    @property
    def calls(self) -> int:
        """Return the number of calls sent."""
        return self.call_limiter.calls

    @property
    def writes(self) -> int:
        """Return the number of calls sent that were not reads."""
        return self.call_limiter.writes

    def set_share(self, share: CallShare) -> None:
        """Limit the call rate to a share of the deployment's total."""
        self.call_limiter.set_share(share)

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if it is absent.

        A conditional request (If-None-Match) avoids a second transfer of a value
        that did not change since the last read.
        """
        cached = self._cache.get(key)
        headers = None if cached is None else {"If-None-Match": f'"{cached.revision}"'}
        answer = self._read("store.get", f"/kv/{quote(key)}", headers)
        if answer.status == 304 and cached is not None:
            return cached
        if answer.status == 404:
            self._cache.remove(key)
            return None
        stored = _decode_value(json.loads(answer.body))
        self._cache.put(stored)
        return stored

    def list(self, prefix: str) -> list[StoredValue]:
        """Return every value below a prefix, ordered by key."""
        answer = self._read("store.list", "/kv?" + urlencode({"prefix": prefix}))
        return [_decode_value(item) for item in json.loads(answer.body)["items"]]

    def put(
        self,
        key: str,
        value: str,
        expected: Revision = ANY_REVISION,
        lease: LeaseId | None = None,
    ) -> Revision:
        """Write a value if the key still has the expected revision.

        `ABSENT` expects that the key does not exist, `ANY_REVISION` expects nothing.
        With `lease`, the key is deleted when the lease ends. Raise RevisionConflict,
        StoreUnavailable (taken to mean no effect) or StoreOutcomeUnknown.
        """
        body = value.encode()
        if len(body) > MAX_VALUE_BYTES:
            raise JayshuntError(
                "value_too_large", step="store.put", peer=self._peer, detail=key
            )
        path = f"/kv/{quote(key)}" + (f"?lease={quote(lease)}" if lease else "")
        answer = self._call(
            "store.put", "PUT", path, body=body, headers=_precondition_headers(expected)
        )
        if answer.status == 412:
            raise RevisionConflict(key, self._peer)
        revision = Revision(json.loads(answer.body)["revision"])
        self._record_revision(revision)
        return revision

    def delete(self, key: str, expected: Revision = ANY_REVISION) -> None:
        """Delete a key if it still has the expected revision."""
        answer = self._call(
            "store.delete",
            "DELETE",
            f"/kv/{quote(key)}",
            headers=_precondition_headers(expected),
        )
        if answer.status == 412:
            raise RevisionConflict(key, self._peer)

    def watch(
        self,
        prefix: str,
        after: Revision,
        wait_s: float = WATCH_WAIT_S,
        stop: threading.Event | None = None,
    ) -> tuple[Revision, tuple[WatchEvent, ...]]:
        """Wait for changes below a prefix after a revision.

        Return the revision to continue from, and the changes: none if `wait_s`
        seconds passed without one. Setting `stop` ends the wait early.
        """
        query = urlencode({"prefix": prefix, "after": after, "wait_s": wait_s})
        answer = self._call(
            "store.watch",
            "GET",
            f"/watch?{query}",
            timeout_s=wait_s + CALL_TIMEOUT_S,
            stop=stop,
        )
        document = json.loads(answer.body)
        events = tuple(
            WatchEvent(e["key"], e["value"], Revision(e["revision"]))
            for e in document["events"]
        )
        self._record_revision(Revision(document["revision"]))
        return Revision(document["revision"]), events

    def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease that ends `ttl_s` seconds after its last renewal."""
        body = json.dumps({"ttl_s": ttl_s}).encode()
        answer = self._call("store.lease", "POST", "/leases", body=body)
        return LeaseId(json.loads(answer.body)["lease"])

    def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return False if it has ended."""
        answer = self._call("store.lease", "PUT", f"/leases/{quote(lease)}")
        return answer.status == 200

    def end_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys tied to it."""
        self._call("store.lease", "DELETE", f"/leases/{quote(lease)}")

    def _read(
        self, step: str, path: str, headers: dict[str, str] | None = None
    ) -> HttpAnswer:
        for _ in range(MAX_READ_ATTEMPTS):
            before = self._highest_revision
            answer = self._call(step, "GET", path, headers=headers)
            revision = Revision(int(answer.headers.get("store-revision", "0")))
            if revision >= before:
                self._record_revision(revision)
                return answer
            self.stale_answers += 1
            self._clock.wait(threading.Event(), self._rng.uniform(0, STALE_WAIT_S))
        raise StoreUnavailable(step, self._peer, f"stale answer for {path}")

    def _record_revision(self, revision: Revision) -> None:
        with self._lock:
            self._highest_revision = max(revision, self._highest_revision)

    def _call(
        self,
        step: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        stop: threading.Event | None = None,
    ) -> HttpAnswer:
        is_write = method != "GET"
        generation = self.call_limiter.admit(step, is_write)
        try:
            answer = http_client.request(
                method,
                self._base_url + path,
                body=body if body is not None else (b"" if is_write else None),
                headers=headers,
                timeout_s=timeout_s,
                step=step,
                stop=stop,
            )
        except JayshuntError as error:
            if stop is not None and stop.is_set():
                raise StoreUnavailable(step, self._peer, "the watch ended") from error
            self.call_limiter.record_failure(generation, str(error))
            if is_write and error.outcome is Outcome.UNKNOWN:
                raise StoreOutcomeUnknown(step, self._peer, error.detail) from error
            raise StoreUnavailable(step, self._peer, error.detail) from error
        if answer.status >= 500 or answer.status == 429:
            self.call_limiter.record_failure(generation, f"status {answer.status}")
            raise StoreUnavailable(step, self._peer, f"status {answer.status}")
        self.call_limiter.record_success()
        if answer.status in (200, 304, 404, 412):
            return answer
        raise JayshuntError(
            "store_refused",
            step=step,
            peer=self._peer,
            detail=f"status {answer.status}: {answer.body[:200]!r}",
        )


def _precondition_headers(expected: Revision) -> dict[str, str]:
    if expected == ANY_REVISION:
        return {}
    if expected == ABSENT:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected}"'}


def _decode_value(item: dict) -> StoredValue:
    return StoredValue(item["key"], item["value"], Revision(item["revision"]))
