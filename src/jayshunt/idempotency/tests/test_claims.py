"""Test that a request with an idempotency key is sent once."""

import unittest
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.idempotency.claims import ClaimStore
from jayshunt.idempotency.const import MAX_ANSWER_BYTES, MAX_SHARD_BYTES, RETENTION_S
from jayshunt.idempotency.models import Holder
from jayshunt.idempotency.retention import evict_claims, stored_bytes
from jayshunt.ids import ClassName, EntryId, IdempotencyKey, RequestId
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.store.group_commit import GroupCommitter
from jayshunt.store.tests.builders import DeferredExecutor, FakeStore, build_documents

ANSWER = CallerAnswer(201, (("content-type", "text/plain"),), b"booked")
NOT_SENT = JayshuntError("upstream_failed", step="routing.send")
TIMED_OUT = JayshuntError(
    "upstream_timeout", step="routing.send", outcome=Outcome.UNKNOWN
)


def build_request(name: str = "r1", **fields) -> CallerRequest:
    """Return a request with a key that must not be repeated."""
    defaults = {
        "work_class": ClassName("bookings"),
        "method": "POST",
        "target": "/book",
        "headers": (),
        "body": b"splitter",
        "repeatable": False,
        "key": IdempotencyKey("key-1"),
    }
    return CallerRequest(request=RequestId(name), **{**defaults, **fields})


class InlineExecutor(DeferredExecutor):
    """Run submitted work immediately in the calling thread."""

    def submit(self, function, /, *args, **kwargs):
        """Run one call."""
        future = super().submit(function, *args, **kwargs)
        self.run()
        return future


class ClaimsTest(unittest.TestCase):
    """Guard against a retry at another entry that runs its request twice."""

    def setUp(self) -> None:
        """Create two entries that share one store."""
        self.store = FakeStore()
        self.clock = ManualClock()
        self.gone: set[str] = set()
        self.first = self.build_entry("north-1")
        self.second = self.build_entry("north-2")

    def build_entry(self, name: str, executor=None) -> ClaimStore:
        """Return the claim store of one entry."""
        documents = build_documents(self.store, int(name[-1]))
        commits = GroupCommitter(
            documents, self.clock, executor=executor or InlineExecutor()
        )
        return ClaimStore(
            Holder(EntryId(name), 1),
            commits,
            lambda holder: holder.entry in self.gone,
            self.clock,
        )

    def refusal(self, claims: ClaimStore, request: CallerRequest) -> tuple:
        """Return code and outcome of a refused begin."""
        with self.assertRaises(JayshuntError) as caught:
            claims.begin(request)
        return caught.exception.code, caught.exception.outcome

    def test_retry_gets_the_stored_answer(self) -> None:
        """A retry after a lost answer must not run the request again."""
        request = build_request()
        self.assertIsNone(self.first.begin(request))
        self.first.finish(request, ANSWER)
        self.assertEqual(self.second.begin(build_request("r2")), ANSWER)

    def test_retry_during_the_first_attempt_is_unknown(self) -> None:
        """A retry must neither run during the first attempt nor get `not_run`."""
        self.first.begin(build_request())
        refusal = self.refusal(self.second, build_request("r2"))
        self.assertEqual(refusal, ("in_progress", Outcome.UNKNOWN))

    def test_same_request_id_does_not_pass_as_the_same_attempt(self) -> None:
        """A caller that reuses its request id must not run the request twice."""
        self.first.begin(build_request())
        refusal = self.refusal(self.first, build_request())
        self.assertEqual(refusal, ("in_progress", Outcome.UNKNOWN))

    def test_claim_of_a_lost_entry_stays_unknown(self) -> None:
        """A lost entry may have sent its request; the claim must not be released."""
        self.first.begin(build_request())
        self.gone.add("north-1")
        for name in ("r2", "r3"):
            refusal = self.refusal(self.second, build_request(name))
            self.assertEqual(refusal, ("outcome_unknown", Outcome.UNKNOWN))

    def test_entry_declared_lost_by_mistake_can_still_tell_the_outcome(self) -> None:
        """An entry that was only paused must still be able to store its answer."""
        request = build_request()
        self.first.begin(request)
        self.gone.add("north-1")
        self.refusal(self.second, build_request("r2"))
        self.first.finish(request, ANSWER)
        self.assertEqual(self.second.begin(build_request("r3")), ANSWER)

    def test_request_that_was_not_sent_can_be_retried(self) -> None:
        """A request refused on connect must not block its key."""
        request = build_request()
        self.first.begin(request)
        self.first.finish(request, NOT_SENT)
        self.assertIsNone(self.second.begin(build_request("r2")))

    def test_silent_upstream_leaves_the_outcome_unknown(self) -> None:
        """A timeout after the send must not release the key."""
        request = build_request()
        self.first.begin(request)
        self.first.finish(request, TIMED_OUT)
        refusal = self.refusal(self.second, build_request("r2"))
        self.assertEqual(refusal, ("outcome_unknown", Outcome.UNKNOWN))

    def test_large_answer_is_not_kept_but_known_to_have_run(self) -> None:
        """An answer over the limit must not make the request run again."""
        request = build_request()
        self.first.begin(request)
        large = replace(ANSWER, body=b"x" * (MAX_ANSWER_BYTES + 1))
        self.first.finish(request, large)
        refusal = self.refusal(self.second, build_request("r2"))
        self.assertEqual(refusal, ("already_run", Outcome.RAN))

    def test_reused_key_is_refused(self) -> None:
        """Another request with the same key must not get the first one's answer."""
        self.first.begin(build_request())
        for change in ({"body": b"two"}, {"target": "/other"}, {"method": "PATCH"}):
            refusal = self.refusal(self.second, build_request("r2", **change))
            self.assertEqual(refusal, ("key_reused", Outcome.NOT_RUN))

    def test_keys_of_classes_do_not_collide(self) -> None:
        """Two applications that number their keys must not block each other."""
        self.first.begin(build_request())
        other = build_request("r2", work_class=ClassName("quotes"))
        self.assertIsNone(self.second.begin(other))

    def test_no_claim_without_key_or_for_repeatable_requests(self) -> None:
        """Requests that need no claim must not use up the store's rate."""
        self.first.begin(build_request(key=None))
        self.first.begin(build_request(repeatable=True))
        self.assertEqual(self.store.puts, 0)

    def test_store_outage_refuses_before_the_send(self) -> None:
        """A request must not be sent while its claim cannot be written."""
        self.store.down = True
        refusal = self.refusal(self.first, build_request())
        self.assertEqual(refusal, ("store_unavailable", Outcome.NOT_RUN))

    def test_lost_store_answer_keeps_the_claim(self) -> None:
        """A claim whose write was not acknowledged must still block retries."""
        self.store.lose_answers = 1
        self.assertIsNone(self.first.begin(build_request()))
        refusal = self.refusal(self.second, build_request("r2"))
        self.assertEqual(refusal[0], "in_progress")

    def test_end_is_written_after_an_outage(self) -> None:
        """A store outage when a request ends must not leave it in progress forever."""
        request = build_request()
        self.first.begin(request)
        self.store.down = True
        self.first.finish(request, ANSWER)
        self.assertEqual(self.first.counts()["unwritten_ends"], 1)
        self.store.down = False
        self.first.flush()
        self.assertEqual(self.first.counts()["unwritten_ends"], 0)
        self.assertEqual(self.second.begin(build_request("r2")), ANSWER)

    def test_claim_that_comes_too_late_sends_nothing(self) -> None:
        """A slow store must neither occupy a slot nor leave the key claimed."""
        executor = DeferredExecutor()
        slow = self.build_entry("north-3", executor)
        with self.assertRaises(JayshuntError) as caught:
            slow.begin(build_request(), timeout_s=0.0)
        self.assertEqual(caught.exception.outcome, Outcome.NOT_RUN)
        executor.run()
        slow.flush()
        executor.run()
        self.assertIsNone(self.second.begin(build_request("r2")))


class RetentionTest(unittest.TestCase):
    """Guard against the eviction of claims that still protect a request."""

    def claim(self, state: str, changed_s: float, body: str = "x" * 8000) -> dict:
        """Return a stored claim."""
        return {
            "state": state,
            "entry": "north-1",
            "incarnation": 1,
            "changed_s": changed_s,
            "body": body,
        }

    def test_oldest_ended_claims_go_first(self) -> None:
        """Evicting a claim whose request may still run would let a retry run too."""
        claims = {f"d{n}": self.claim("done", 100.0 + n) for n in range(40)}
        claims["s"] = self.claim("started", 1.0)
        kept = evict_claims(claims, 200.0, lambda _: False)
        self.assertIn("s", kept)
        self.assertIn("d39", kept)
        self.assertNotIn("d0", kept)
        self.assertLess(sum(map(stored_bytes, kept.values())), MAX_SHARD_BYTES)

    def test_full_of_running_requests_is_refused(self) -> None:
        """A running request's claim must not be evicted for another one."""
        claims = {f"s{n}": self.claim("started", 100.0 + n) for n in range(40)}
        with self.assertRaises(JayshuntError) as caught:
            evict_claims(claims, 200.0, lambda _: False)
        self.assertEqual(caught.exception.code, "claims_full")

    def test_claims_past_the_retention_are_dropped(self) -> None:
        """Claims must not be kept forever."""
        claims = {"a": self.claim("done", 0.0), "b": self.claim("started", 0.0)}
        self.assertEqual(
            set(evict_claims(claims, RETENTION_S + 1, lambda _: False)), {"b"}
        )
        self.assertEqual(evict_claims(claims, RETENTION_S + 1, lambda _: True), {})
