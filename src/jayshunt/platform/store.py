"""Client of the metadata store of the users' platform.

The processes that `platform_entry` composes use it. The entry process of
`composition` uses `store.client`, for a service with another protocol.
"""

import base64
import contextlib
import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from urllib.parse import quote, urlencode

from jayshunt import http_client
from jayshunt.dispatch.models import Address
from jayshunt.dispatch.store_models import (
    Item,
    KeyLease,
    Put,
    TransactionResult,
    WatchAnswer,
)
from jayshunt.errors import DECODE_ERRORS, JayshuntError, Outcome
from jayshunt.ids import LeaseId, Revision
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

# A response takes 4 ms, and up to 360 ms while the store is slow.
CALL_TIMEOUT_S = 1.2
# A page of a list has up to 1 MB, which takes 2 s on a 5 Mbit/s link.
LIST_TIMEOUT_S = 4.0
# A list call whose connection delivers almost no data fails within this time plus
# one second.
LIST_STALL_S = 1
# An answer to a watch has all changes since a revision, also large ones that callers
# caused. A larger one is not read; the list is read again, page by page.
MAX_WATCH_BYTES = 4 * 1024 * 1024
# Calls that fail for longer are an outage or a partition rather than a lost answer.
OUTAGE_S = 0.5
# Time beyond the wait of a watch that its response may take.
WATCH_SLACK_S = 0.6
# Connections kept for later calls; more calls at a time open further ones.
MAX_IDLE_HANDLES = 16


class HistoryGone(Exception):
    """Raised when the changes after a revision are discarded or too large to read."""


class LeaseGone(Exception):
    """Raised when a lease has ended."""


class PlatformStore:
    """Client for reads, compare-and-swap transactions, watches and leases.

    A POST raises StoreOutcomeUnknown if it may have taken effect or may still do so:
    without a response, with one that can't be decoded, and with a server error other
    than 503. Every other failure raises StoreUnavailable: a call that was not sent or
    was rejected, a failed read, or an `end_lease` (DELETE) without a response, which
    may have taken effect.
    """

    def __init__(self, address: Address) -> None:
        """Create a client; no connection is made before the first call."""
        self._base = f"http://{address}"
        self._peer = str(address)
        self._handles = http_client.HandlePool(MAX_IDLE_HANDLES)
        self._lock = threading.Lock()
        self.calls: Counter[str] = Counter()
        self._failing_since_s: float | None = None
        self._last_success_s: float | None = None
        self._reachable_since_s: float | None = None

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key does not exist."""
        answer = self._call("get", "GET", "/kv-key?" + urlencode({"key": key}))
        if answer.status == 404:
            return None
        with self._decoding("get"):
            return _decode_item(json.loads(answer.body))

    def list(
        self, prefix: str, stale: bool = False
    ) -> tuple[tuple[Item, ...], Revision]:
        """Return every item below a prefix, and the store revision of the first page.

        The pages are read one after the other and form no consistent snapshot. The
        caller has to watch from the returned revision to see all later changes.
        `stale` permits a stale read.
        """
        items: list[Item] = []
        first: Revision | None = None
        for page, revision in self.pages(prefix, stale):
            items += page
            first = revision if first is None else first
        return tuple(items), first

    def pages(
        self, prefix: str, stale: bool = False
    ) -> Iterator[tuple[tuple[Item, ...], Revision]]:
        """Yield the pages of a list with the store revision of each, one at least.

        A page is read when it is asked for, so that only one is held in memory.
        """
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            if stale:
                query["staleOk"] = "1"
            answer = self._call(
                "list",
                "GET",
                "/kv-range?" + urlencode(query, errors="surrogatepass"),
                timeout_s=LIST_TIMEOUT_S,
                stall_s=LIST_STALL_S,
            )
            with self._decoding("list"):
                document = json.loads(answer.body)
                page = tuple(_decode_item(fields) for fields in document["items"])
                has_more = bool(page and document.get("hasMore"))
                revision = Revision(document["storeRevision"])
            yield page, revision
            if not has_more:
                return
            after = page[-1].key

    def watch(
        self,
        prefix: str,
        after: Revision,
        wait_s: float,
        stop: threading.Event | None = None,
    ) -> WatchAnswer:
        """Return the changes below a prefix after a revision.

        Wait up to `wait_s` seconds for the first change; setting `stop` ends the
        wait early. Raise HistoryGone if the store has discarded changes after the
        revision, or if they have more than MAX_WATCH_BYTES.
        """
        query = urlencode(
            {"prefix": prefix, "after": after, "waitMs": int(wait_s * 1000)}
        )
        answer = self._call(
            "watch",
            "GET",
            "/kv-watch?" + query,
            timeout_s=wait_s + WATCH_SLACK_S,
            stop=stop,
            max_answer_bytes=MAX_WATCH_BYTES,
        )
        if answer.status == 410:
            raise HistoryGone(prefix)
        with self._decoding("watch"):
            document = json.loads(answer.body)
            events = tuple(_decode_item(fields) for fields in document["events"])
            return WatchAnswer(events, Revision(document["storeRevision"]))

    def transact(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> TransactionResult:
        """Apply all changes atomically if every key has its expected revision.

        Revision 0 expects that the key is absent. If a condition fails, the result
        has no revision and holds the items that the store returned. Raise LeaseGone
        if the lease of a put has ended.
        """
        body = {
            "expectRev": [{"key": k, "rev": r} for k, r in expected.items()],
            "puts": [_encode_put(put) for put in puts],
            "remove": list(removals),
        }
        answer = self._call("txn", "POST", "/kv-txn", body)
        if answer.status == 404:
            raise LeaseGone("txn")
        with self._decoding("txn", is_write=True):
            document = json.loads(answer.body)
            if answer.status == 412:
                items = tuple(_decode_item(f) for f in document.get("items", ()))
                return TransactionResult(None, items)
            return TransactionResult(Revision(document["rev"]))

    def grant_lease(self, ttl_s: float) -> KeyLease:
        """Create a lease; its keys are removed if it is not renewed for `ttl_s`."""
        answer = self._call(
            "lease", "POST", "/kv-lease", {"ttlMs": round(ttl_s * 1000)}
        )
        with self._decoding("lease", is_write=True):
            document = json.loads(answer.body)
            return KeyLease(LeaseId(str(document["lease"])), document["ttlMs"] / 1000)

    def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease; raise LeaseGone if it has ended."""
        answer = self._call("renew", "POST", f"/kv-keep/{quote(lease)}", {})
        if answer.status == 404:
            raise LeaseGone(lease)

    def end_lease(self, lease: LeaseId) -> None:
        """End a lease and remove its keys; one that has ended already is no error."""
        self._call("end_lease", "DELETE", f"/kv-lease-end/{quote(lease)}")

    def failing_for_s(self) -> float:
        """Return the time since the first call that failed was sent.

        It is 0 while calls succeed, and until the first call has failed.
        """
        since_s = self._failing_since_s
        return 0.0 if since_s is None else time.monotonic() - since_s

    def reachable_for_s(self) -> float:
        """Return the time since the last longer outage ended, 0 while calls fail."""
        if self._failing_since_s is not None or self._reachable_since_s is None:
            return 0.0
        return time.monotonic() - self._reachable_since_s

    def last_success_age_s(self) -> float | None:
        """Return the time since the last successful call, None before the first."""
        last_success_s = self._last_success_s
        return None if last_success_s is None else time.monotonic() - last_success_s

    def _record_success(self) -> None:
        now_s = time.monotonic()
        failing_since_s, self._failing_since_s = self._failing_since_s, None
        was_out = failing_since_s is not None and now_s - failing_since_s > OUTAGE_S
        if was_out or self._reachable_since_s is None:
            self._reachable_since_s = now_s
        self._last_success_s = now_s

    def _record_failure(self, sent_s: float) -> None:
        """Record a failed call; the failure counts from when the call was sent."""
        if self._failing_since_s is None:
            self._failing_since_s = max(sent_s, self._last_success_s or sent_s)

    def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: dict | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        stop: threading.Event | None = None,
        stall_s: int | None = None,
        max_answer_bytes: int = http_client.MAX_ANSWER_BYTES,
    ) -> http_client.HttpAnswer:
        step = f"store.{step}"
        sent_s = time.monotonic()
        with self._lock:
            self.calls[step] += 1
        try:
            with self._handles.lend() as handle:
                answer = http_client.request(
                    method,
                    self._base + path,
                    body=None if body is None else json.dumps(body).encode(),
                    headers=(
                        None if body is None else {"Content-Type": "application/json"}
                    ),
                    timeout_s=timeout_s,
                    step=step,
                    stop=stop,
                    stall_s=stall_s,
                    max_answer_bytes=max_answer_bytes,
                    handle=handle,
                )
        except JayshuntError as error:
            if error.code == "answer_too_large" and step == "store.watch":
                raise HistoryGone("the changes are too large to read") from error
            if stop is None or not stop.is_set():
                self._record_failure(sent_s)
            if method == "POST" and error.outcome is Outcome.UNKNOWN:
                raise StoreOutcomeUnknown(step, self._peer, error.detail) from error
            raise StoreUnavailable(step, self._peer, error.detail) from error
        if answer.status in (200, 404, 410, 412):
            self._record_success()
            return answer
        self._record_failure(sent_s)
        detail = f"status {answer.status}"
        # 429 and 503 guarantee that the call had no effect. Something between here and
        # the store may answer 500, 502 or 504 for a write that was carried out.
        is_rejected = answer.status < 500 or answer.status == 503
        if method == "POST" and not is_rejected:
            raise StoreOutcomeUnknown(step, self._peer, detail)
        raise StoreUnavailable(step, self._peer, detail)

    @contextlib.contextmanager
    def _decoding(self, call: str, is_write: bool = False) -> Iterator[None]:
        """Raise a StoreOutcomeUnknown or StoreUnavailable for a malformed response.

        A write whose response can't be decoded may have taken effect.
        """
        try:
            yield
        except DECODE_ERRORS as error:
            self._record_failure(time.monotonic())
            failure = StoreOutcomeUnknown if is_write else StoreUnavailable
            # The representation of a UnicodeDecodeError holds the whole response,
            # which may be the configuration with its keys.
            detail = f"malformed response: {type(error).__name__}: {error}"
            raise failure(f"store.{call}", self._peer, detail) from error


def _decode_item(fields: dict) -> Item:
    if fields.get("removed"):
        return Item(fields["key"], None, Revision(fields["rev"]))
    return Item(
        fields["key"],
        base64.b64decode(fields.get("value", "")),
        Revision(fields["rev"]),
        Revision(fields.get("createRev", 0)),
        LeaseId(str(fields.get("lease", 0))),
    )


def _encode_put(put: Put) -> dict:
    fields = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease is not None:
        fields["lease"] = int(put.lease)
    return fields
