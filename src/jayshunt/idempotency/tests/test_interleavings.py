"""Test claims over interleavings of entries, retries and a failing store."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from jayshunt.clock import ManualClock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.idempotency.claims import ClaimStore
from jayshunt.idempotency.models import Holder
from jayshunt.idempotency.tests.test_claims import (
    ANSWER,
    NOT_SENT,
    TIMED_OUT,
    build_request,
)
from jayshunt.ids import EntryId, IdempotencyKey
from jayshunt.routing.messages import CallerRequest
from jayshunt.store.group_commit import GroupCommitter
from jayshunt.store.tests.builders import DeferredExecutor, FakeStore, build_documents

ENTRIES = 3
KEYS = ("k1", "k2")
entries = st.integers(0, ENTRIES - 1)
keys = st.sampled_from(KEYS)


class ClaimMachine(RuleBasedStateMachine):
    """Send two non-repeatable requests through three entries, with faults.

    The faults are retries, lost or restarted entries and a failing store.
    """

    @initialize()
    def begin(self) -> None:
        """Create entries that share one store."""
        self.store = FakeStore()
        self.clock = ManualClock()
        self.gone: set[Holder] = set()
        self.claims: list[ClaimStore] = []
        self.executors: list[DeferredExecutor] = []
        self.holders: list[Holder] = []
        self.in_flight: list[list[CallerRequest]] = [[] for _ in range(ENTRIES)]
        self.sent = {key: 0 for key in KEYS}
        self.answered: set[str] = set()
        self.requests = 0
        for number in range(ENTRIES):
            self.add_entry(number, 1)

    def add_entry(self, number: int, incarnation: int) -> None:
        """Start an entry, or restart it with empty memory."""
        executor = DeferredExecutor()
        documents = build_documents(self.store, 10 * number + incarnation)
        commits = GroupCommitter(documents, self.clock, executor=executor)
        holder = Holder(EntryId(f"e{number}"), incarnation)
        claims = ClaimStore(holder, commits, self.gone.__contains__, self.clock)
        for held, value in (
            (self.claims, claims),
            (self.executors, executor),
            (self.holders, holder),
        ):
            held[number : number + 1] = [value]

    @rule(entry=entries, key=keys, is_late=st.sampled_from([False, False, True]))
    def send(self, entry: int, key: str, is_late: bool) -> None:
        """Send a request; its claim's write happens in time or after the timeout."""
        self.requests += 1
        request = build_request(f"r{self.requests}", key=IdempotencyKey(key))
        executor = self.executors[entry]
        original = executor.submit

        def submit(function, /, *args, **kwargs):
            future = original(function, *args, **kwargs)
            executor.run()
            return future

        if not is_late:
            executor.submit = submit
        try:
            answer = self.claims[entry].begin(request, timeout_s=0.0)
        except JayshuntError as error:
            # Only an unavailable store may refuse a request with `not_run`.
            refused_by_store = error.code == "store_unavailable"
            assert refused_by_store or error.outcome is not Outcome.NOT_RUN
            return
        finally:
            executor.submit = original
        if answer is not None:
            assert self.sent[key] == 1 and answer == ANSWER
            return
        self.in_flight[entry].append(request)

    @rule(entry=entries, result=st.sampled_from(["answer", "silent", "not_sent"]))
    def end(self, entry: int, result: str) -> None:
        """End the oldest request in flight at an entry."""
        if not self.in_flight[entry]:
            return
        request = self.in_flight[entry].pop(0)
        if result != "not_sent":
            self.sent[request.key] += 1
        ends = {"answer": ANSWER, "silent": TIMED_OUT, "not_sent": NOT_SENT}
        self.claims[entry].finish(request, ends[result])

    @rule(entry=entries)
    def write(self, entry: int) -> None:
        """Run an entry's deferred writes and retry its failed ones."""
        self.executors[entry].run()
        self.claims[entry].flush()
        self.executors[entry].run()

    @rule(entry=entries)
    def lose_entry(self, entry: int) -> None:
        """Lose an entry after it sent its requests in flight, and restart it."""
        for request in self.in_flight[entry]:
            self.sent[request.key] += 1
        self.in_flight[entry] = []
        holder = self.holders[entry]
        self.add_entry(entry, holder.incarnation + 1)
        self.gone.add(holder)

    @rule(entry=entries)
    def suspect_entry(self, entry: int) -> None:
        """Declare a live entry lost by mistake."""
        self.gone.add(self.holders[entry])

    @rule(fault=st.sampled_from(["lose_answers", "drop_writes", "delay_writes"]))
    def fail_store(self, fault: str) -> None:
        """Make the store lose the next write's answer, drop the write or delay it."""
        setattr(self.store, fault, 1)

    @rule(down=st.booleans())
    def stop_store(self, down: bool) -> None:
        """Make the store refuse every call, or recover and apply delayed writes."""
        self.store.down = down
        if not down:
            self.store.lose_answers = self.store.drop_writes = 0
            self.store.delay_writes = 0
            self.store.deliver()

    @invariant()
    def sent_at_most_once(self) -> None:
        """Check that no key has two requests sent or in flight."""
        if not hasattr(self, "store"):
            return
        for key in KEYS:
            pending = sum(r.key == key for held in self.in_flight for r in held)
            assert self.sent[key] + pending <= 1, (key, self.sent, self.in_flight)


class ClaimTest(ClaimMachine.TestCase):
    """Guard against interleavings in which a non-repeatable request runs twice."""

    settings = settings(
        max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
    )
