"""Test the group commit of changes of one document."""

import unittest
from concurrent.futures import Future

from jayshunt.clock import ManualClock
from jayshunt.store.const import BATCH_WINDOW_S
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable
from jayshunt.store.group_commit import GroupCommitter
from jayshunt.store.tests.builders import DeferredExecutor, FakeStore, build_documents


def add(name: str, count: int = 1):
    """Return a change that adds to the counter `name`."""
    return lambda content: {
        **(content or {}),
        name: (content or {}).get(name, 0) + count,
    }


def fail(_content: object) -> None:
    """Raise as a change that is refused does."""
    raise ValueError("refused")


class GroupCommitTest(unittest.TestCase):
    """Test that changes share writes but fail separately."""

    def setUp(self) -> None:
        """Create a committer whose writes start when the executor runs."""
        self.store = FakeStore()
        self.documents = build_documents(self.store)
        self.clock = ManualClock()
        self.executor = DeferredExecutor()
        self.is_up = True
        self.commits = GroupCommitter(
            self.documents, self.clock, lambda: self.is_up, self.executor
        )

    def test_changes_share_one_write(self) -> None:
        """A write per change would use up the store's write rate."""
        futures = [self.commits.submit("a", add("count")) for _ in range(50)]
        self.executor.run()
        self.assertEqual(self.documents.read("a").content["count"], 50)
        self.assertEqual(self.store.puts, 1)
        self.assertTrue(all(f.result().content["count"] == 50 for f in futures))

    def test_change_that_raises_fails_alone(self) -> None:
        """A change that raises must not fail the other changes of its batch."""
        first = self.commits.submit("a", add("count"))
        refused = self.commits.submit("a", fail)
        last = self.commits.submit("a", add("count"))
        self.executor.run()
        self.assertEqual(first.result().content["count"], 2)
        self.assertEqual(last.result().content["count"], 2)
        self.assertIsInstance(refused.exception(), ValueError)

    def test_change_submitted_during_a_write_goes_with_the_next(self) -> None:
        """A change that arrives while a write is in flight must not be dropped."""
        late: list[Future] = []
        original = self.store.put

        def put_and_submit(*arguments):
            if not late:
                late.append(self.commits.submit("a", add("late")))
            return original(*arguments)

        self.store.put = put_and_submit
        self.commits.submit("a", add("early"))
        self.executor.run()
        self.assertEqual(self.executor.work, [], "one document, one writer")
        self.assertEqual(late[0].result().content["early"], 1)
        self.assertEqual(self.store.puts, 2)

    def test_lost_answer_counts_each_change_once(self) -> None:
        """A lost response must neither drop the changes nor apply them twice."""
        self.store.lose_answers = 1
        future = self.commits.submit("a", add("count"))
        self.executor.run()
        self.assertEqual(future.result().content["count"], 1)

    def test_unresolved_write_is_unknown_to_all(self) -> None:
        """No caller may be told that nothing was written if that is not certain."""
        self.store.drop_writes = 100
        futures = [self.commits.submit("a", add("count")) for _ in range(2)]
        self.executor.run()
        for future in futures:
            self.assertIsInstance(future.exception(), StoreOutcomeUnknown)

    def test_outage_is_reported_at_once(self) -> None:
        """A caller must not wait for a store that is known to be down."""
        self.store.down, self.is_up = True, False
        future = self.commits.submit("a", add("count"))
        self.executor.run()
        self.assertIsInstance(future.exception(), StoreUnavailable)

    def test_rate_limit_delays_instead_of_refusing(self) -> None:
        """At the call rate limit, writes must be retried and not fail."""
        original, refusals = self.store.get, [3]

        def get_with_limit(key: str):
            if refusals[0]:
                refusals[0] -= 1
                raise StoreUnavailable("store.get", "fake", "call rate limit reached")
            return original(key)

        self.store.get = get_with_limit
        future = self.commits.submit("a", add("count"))
        self.executor.run()
        self.assertEqual(future.result().content["count"], 1)

    def test_cancelled_change_has_no_effect(self) -> None:
        """A cancelled change must not be written, as its caller reports no effect."""
        kept = self.commits.submit("a", add("kept"))
        dropped = self.commits.submit("a", add("dropped"))
        self.assertTrue(dropped.cancel())
        self.executor.run()
        self.assertNotIn("dropped", kept.result().content)

    def test_writes_of_one_document_are_a_window_apart(self) -> None:
        """A steady flow of changes must not write as fast as the store allows."""
        for _ in range(3):
            before_s = self.clock.monotonic_s()
            self.commits.submit("a", add("count"))
            self.executor.run()
        waited_s = self.clock.monotonic_s() - before_s
        self.assertAlmostEqual(waited_s, BATCH_WINDOW_S, places=6)
