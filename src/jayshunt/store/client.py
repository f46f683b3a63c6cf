"""Call the platform's key-value service over HTTP."""

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
from jayshunt.store.const import (
    CALL_TIMEOUT_S,
    MAX_VALUE_BYTES,
    STALE_RETRIES,
    STALE_WAIT_S,
    WATCH_WAIT_S,
)
from jayshunt.store.errors import (
    RevisionConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from jayshunt.store.gate import CallGate, CallShare
from jayshunt.store.known_values import KnownValues
from jayshunt.store.models import StoredValue, StoreHealth, WatchEvent

_LOGGER = logging.getLogger(__name__)

ANY_REVISION = Revision(-1)
ABSENT = Revision(0)


class StoreClient:
    """Read and write values with compare-and-swap, leases and watches.

    Every value change carries a revision that rises over the whole store. An
    answer with a revision below the highest one seen before its call is stale. It
    is asked for again and in the end refused, so that a reader never goes back in
    time. `CallGate` limits the rate and holds calls back during an outage.
    """

    def __init__(self, base_url: str, clock: Clock, rng: random.Random) -> None:
        """Start with no connection and the store presumed up."""
        self._base_url = base_url.rstrip("/")
        self._peer = self._base_url.split("//")[-1]
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._highest = Revision(0)
        self.stale_answers = 0
        self._values = KnownValues()
        self.gate = CallGate(self._peer, clock, rng)

    @property
    def health(self) -> StoreHealth:
        """Return how the store answers at present."""
        return self.gate.health

    @property
    def calls(self) -> int:
        """Return how many calls went out."""
        return self.gate.calls

    @property
    def writes(self) -> int:
        """Return how many of the calls were no reads."""
        return self.gate.writes

    def set_share(self, share: CallShare) -> None:
        """Limit the calls to a part of what the deployment may make."""
        self.gate.set_share(share)

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if it is absent.

        A value that did not change since the last read is not sent again.
        """
        known = self._values.get(key)
        headers = None if known is None else {"If-None-Match": f'"{known.revision}"'}
        answer = self._read("store.get", f"/kv/{quote(key)}", headers)
        if answer.status == 304 and known is not None:
            return known
        if answer.status == 404:
            self._values.drop(key)
            return None
        stored = _stored(json.loads(answer.body))
        self._values.keep(stored)
        return stored

    def list(self, prefix: str) -> list[StoredValue]:
        """Return every value below a prefix, in the order of keys."""
        answer = self._read("store.list", "/kv?" + urlencode({"prefix": prefix}))
        return [_stored(item) for item in json.loads(answer.body)["items"]]

    def put(
        self,
        key: str,
        value: str,
        expected: Revision = ANY_REVISION,
        lease: LeaseId | None = None,
    ) -> Revision:
        """Write a value if its revision is still the expected one.

        `ABSENT` creates the key. A lease ties the key's life to the lease. Raise
        RevisionConflict, StoreUnavailable (no effect) or StoreOutcomeUnknown.
        """
        body = value.encode()
        if len(body) > MAX_VALUE_BYTES:
            raise JayshuntError(
                "value_too_large", step="store.put", peer=self._peer, detail=key
            )
        path = f"/kv/{quote(key)}" + (f"?lease={quote(lease)}" if lease else "")
        answer = self._call(
            "store.put", "PUT", path, body=body, headers=_condition(expected)
        )
        if answer.status == 412:
            raise RevisionConflict(key, self._peer)
        revision = Revision(json.loads(answer.body)["revision"])
        self._saw(revision)
        return revision

    def delete(self, key: str, expected: Revision = ANY_REVISION) -> None:
        """Delete a key if its revision is still the expected one."""
        answer = self._call(
            "store.delete", "DELETE", f"/kv/{quote(key)}", headers=_condition(expected)
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

        Return the revision to continue from and the changes, none if `wait_s`
        seconds passed without one. The wait is given up when `stop` is set.
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
        self._saw(Revision(document["revision"]))
        return Revision(document["revision"]), events

    def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease that ends `ttl_s` seconds after it was last kept."""
        body = json.dumps({"ttl_s": ttl_s}).encode()
        answer = self._call("store.lease", "POST", "/leases", body=body)
        return LeaseId(json.loads(answer.body)["lease"])

    def renew_lease(self, lease: LeaseId) -> bool:
        """Prolong a lease; return False if it has ended."""
        answer = self._call("store.lease", "PUT", f"/leases/{quote(lease)}")
        return answer.status == 200

    def end_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys tied to it."""
        self._call("store.lease", "DELETE", f"/leases/{quote(lease)}")

    def _read(
        self, step: str, path: str, headers: dict[str, str] | None = None
    ) -> HttpAnswer:
        for _ in range(STALE_RETRIES):
            before = self._highest
            answer = self._call(step, "GET", path, headers=headers)
            revision = Revision(int(answer.headers.get("store-revision", "0")))
            if revision >= before:
                self._saw(revision)
                return answer
            self.stale_answers += 1
            self._clock.wait(threading.Event(), self._rng.uniform(0, STALE_WAIT_S))
        raise StoreUnavailable(step, self._peer, f"stale answer for {path}")

    def _saw(self, revision: Revision) -> None:
        with self._lock:
            self._highest = max(revision, self._highest)

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
        writes = method != "GET"
        round_number = self.gate.admit(step, writes)
        try:
            answer = http_client.request(
                method,
                self._base_url + path,
                body=body if body is not None else (b"" if writes else None),
                headers=headers,
                timeout_s=timeout_s,
                step=step,
                stop=stop,
            )
        except JayshuntError as error:
            if stop is not None and stop.is_set():
                raise StoreUnavailable(step, self._peer, "the watch ended") from error
            self.gate.failed(round_number, str(error))
            if writes and error.outcome is Outcome.UNKNOWN:
                raise StoreOutcomeUnknown(step, self._peer, error.detail) from error
            raise StoreUnavailable(step, self._peer, error.detail) from error
        if answer.status >= 500 or answer.status == 429:
            self.gate.failed(round_number, f"status {answer.status}")
            raise StoreUnavailable(step, self._peer, f"status {answer.status}")
        self.gate.succeeded()
        if answer.status in (200, 304, 404, 412):
            return answer
        raise JayshuntError(
            "store_refused",
            step=step,
            peer=self._peer,
            detail=f"status {answer.status}: {answer.body[:200]!r}",
        )


def _condition(expected: Revision) -> dict[str, str]:
    if expected == ANY_REVISION:
        return {}
    if expected == ABSENT:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected}"'}


def _stored(item: dict) -> StoredValue:
    return StoredValue(item["key"], item["value"], Revision(item["revision"]))
