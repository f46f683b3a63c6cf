"""Admit requests to one pool in one zone by granting slots of its instances."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from jayshunt.admission.admission_queue import AdmissionQueue
from jayshunt.admission.backlog import Waiter
from jayshunt.admission.const import (
    BLOCK_DEFAULT_MS,
    BLOCK_MINIMUM_MS,
    BLOCK_RUN_FACTOR,
    IDLE_TICK_S,
    PAUSE_LIMIT_S,
)
from jayshunt.admission.instances import HealthReport, PoolInstances
from jayshunt.admission.messages import (
    HeldPermit,
    LearnedClass,
    PermitGranted,
    PermitRefused,
    PermitReply,
    PermitRequest,
    PermitResult,
    SendOutcome,
    unused_result,
)
from jayshunt.admission.models import BrokerSnapshot
from jayshunt.admission.pending import PendingCall
from jayshunt.admission.permit_table import PermitTable
from jayshunt.admission.refusals import RefusalPolicy
from jayshunt.admission.run_times import RunTimes
from jayshunt.admission.slot_granter import SlotGranter
from jayshunt.admission.usual_shares import UsualShares
from jayshunt.clock import Clock
from jayshunt.ids import EntryId, PermitId, PoolName, VmId
from jayshunt.pools.models import Assignment

OnReply = Callable[[PermitReply], None]
Replies = list[tuple[Waiter, PermitReply]]
FAILURES = frozenset(
    {SendOutcome.FAILED, SendOutcome.TIMED_OUT, SendOutcome.CONNECT_FAILED}
)


class Broker:
    """Grant slots, earliest deadline first, and refuse requests that would be late.

    A request that cannot finish by its deadline is refused on arrival. Replies
    are delivered after the lock is released, on the thread whose call caused
    them. A broker created with `granting=False` queues requests until `adopt` is
    called.
    """

    def __init__(
        self,
        pool: PoolName,
        entry: EntryId,
        clock: Clock,
        slots_per_instance: Callable[[], int],
        granting: bool = True,
    ) -> None:
        """Create a broker without permits or instances."""
        self.pool = pool
        self._clock = clock
        self._slots_per_instance = slots_per_instance
        self._lock = threading.Lock()
        self.instances = PoolInstances()
        self.run_times = RunTimes()
        self.shares = UsualShares()
        self._queue = AdmissionQueue(self.shares)
        self._permits = PermitTable(self.instances)
        self.refusals = RefusalPolicy(self._queue, self._permits)
        # Instances that the health checker checks at its next step.
        self.health_checks_due: set[VmId] = set()
        self._last_usable_slots = 0
        self._released_before_adopt: set[PermitId] = set()
        self._last_tick_s = clock.monotonic_s()
        self._granting = granting
        self._closed_refusal: PermitRefused | None = None
        self._granter = SlotGranter(
            entry, self.instances, self.run_times, self._permits, slots_per_instance
        )

    def submit(self, request: PermitRequest, on_reply: OnReply) -> Waiter | None:
        """Decide a request, or queue it and return its waiter.

        If the request is decided at once, `on_reply` is called before the return.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            reply = self._admit(request, on_reply, now_s)
        if isinstance(reply, Waiter):
            return reply
        on_reply(reply)
        return None

    def acquire(self, call: PendingCall) -> None:
        """Block until a grant or a refusal of the call, or until its wait limit."""
        request = call.request

        def on_reply(reply: PermitReply) -> None:
            if not call.decide(reply) and isinstance(reply, PermitGranted):
                self.release(unused_result(reply, request.work_class))

        waiter = self.submit(request, on_reply)
        if waiter is None:
            return
        call.mark_queued()
        if not call.wait_decision(request.wait_limit_ms / 1000):
            detail = "no slot came free in time"
            call.decide(PermitRefused("deadline_passed", 0.5, detail))
        self.cancel(waiter)

    def cancel(self, waiter: Waiter) -> bool:
        """Remove a request from the queue; return False if it was already decided."""
        with self._lock:
            if not waiter.waiting:
                return False
            self._drop(waiter)
            return True

    def release(self, result: PermitResult) -> None:
        """Release a slot, and update run times and health from the outcome."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            permit = self._permits.find(result.permit)
            if permit is None:
                if not self._granting:
                    self._released_before_adopt.add(result.permit)
                return
            held = permit.held
            if result.outcome is SendOutcome.ANSWERED:
                # Measured from grant to release, because the slot is in use for all
                # of that time, including the transfer of the grant and the release.
                held_ms = (now_s - permit.granted_s) * 1000
                self.run_times.learn(held.work_class, held.vm, held_ms)
                self.instances.record_outcome(held.vm, False, now_s)
            elif result.outcome in FAILURES:
                self.instances.record_outcome(held.vm, True, now_s)
            if result.closing:
                self.health_checks_due.add(held.vm)
            # The instance may still be working on a request that timed out, so
            # the slot counts as in use until the permit expires.
            if result.outcome is not SendOutcome.TIMED_OUT:
                self._permits.remove(result.permit)
            replies = self._dispatch(now_s)
        _deliver(replies)

    def report_health(self, vm: VmId, report: HealthReport) -> None:
        """Apply the result of a health check to an instance."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self.instances.record_health(vm, report, now_s)
            replies = self._dispatch(now_s)
        _deliver(replies)

    def set_instances(self, assignments: tuple[Assignment, ...]) -> None:
        """Replace the serving instances; no others get new permits."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self.instances.update(assignments, now_s)
            replies = self._dispatch(now_s)
        _deliver(replies)

    def adopt(
        self,
        held: Iterable[HeldPermit],
        learned: Iterable[LearnedClass],
        unreachable: bool,
    ) -> None:
        """Load the state recovered from the zone's entries and start granting.

        With `unreachable`, some entry did not report its permits. Any slot without
        a known permit may then be in use by a request of that entry, so these slots
        are blocked for as long as such a request is expected to run.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            for item in learned:
                self.run_times.adopt(item.work_class, item.run_ms)
                self.shares.adopt(item.work_class, item.usual_slots, now_s)
            for item in held:
                if item.permit in self._released_before_adopt:
                    continue
                run_ms = self.run_times.expected_run_ms(
                    item.work_class, item.ttl_ms / 2
                )
                self._permits.add(item, run_ms, now_s)
            if unreachable:
                self._block_unaccounted_slots(now_s)
            self._released_before_adopt.clear()
            self._last_tick_s = now_s
            self._granting = True
            replies = self._dispatch(now_s)
        _deliver(replies)

    def add_held(self, held: Iterable[HeldPermit]) -> None:
        """Add permits that became known after this broker started granting."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for item in held:
                run_ms = self.run_times.expected_run_ms(
                    item.work_class, item.ttl_ms / 2
                )
                self._permits.add(item, run_ms, now_s)

    def stop(self, code: str, detail: str) -> tuple[HeldPermit, ...]:
        """Stop granting, refuse every waiter and return the unreleased permits."""
        refusal = PermitRefused(code, 0.1, detail)
        with self._lock:
            self._closed_refusal = refusal
            self._granting = False
            waiters = self._queue.waiters()
            for waiter in waiters:
                self._queue.remove(waiter)
        _deliver([(waiter, refusal) for waiter in waiters])
        return self.held_permits()

    def is_tick_due(self) -> bool:
        """Return whether to call `tick` now.

        An idle broker needs a tick only once per `IDLE_TICK_S`.
        """
        if len(self._queue) or len(self._permits) or not self._granting:
            return True
        return self._clock.monotonic_s() - self._last_tick_s >= IDLE_TICK_S

    def tick(self) -> bool:
        """Expire permits, mark stuck slots and refuse requests that became too late.

        Return False if this broker must run a takeover before it grants again.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._check_pause(now_s)
            self._last_tick_s = now_s
            self._permits.check(now_s)
            self._queue.rebase_if_old(now_s)
            if 0 < self.refusals.blocked_until_s <= now_s:
                self.refusals.blocked_until_s = 0.0
                for state in self.instances.states.values():
                    state.blocked_slots = 0
            replies = self._dispatch(now_s)
            replies += self._shed(now_s)
            granting = self._granting
        _deliver(replies)
        return granting

    def held_permits(self) -> tuple[HeldPermit, ...]:
        """Return the permits not yet released, with their remaining time to live."""
        with self._lock:
            return self._permits.held_permits(self._clock.monotonic_s())

    def learned_classes(self) -> tuple[LearnedClass, ...]:
        """Return the learned run times and shares, for a successor to start from."""
        with self._lock:
            usual = self.shares.usual_slots(self._clock.monotonic_s())
            return tuple(
                LearnedClass(name, run_ms, usual.get(name, 0.0))
                for name, run_ms in self.run_times.class_means_ms().items()
            )

    def in_flight(self, vm: VmId) -> int:
        """Return the number of slots in use on an instance."""
        with self._lock:
            state = self.instances.find(vm)
            return state.in_use if state else 0

    def snapshot(self) -> BrokerSnapshot:
        """Return a copy of the state for the diagnostic dump."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            slots = self._slots_per_instance()
            return BrokerSnapshot(
                self._granting,
                len(self._queue),
                slots * len(self.instances.states),
                self.instances.usable_slots(slots, now_s),
                self.run_times.class_means_ms(),
                self.shares.usual_slots(now_s),
                self.shares.recent_slots(now_s),
                dict(self.refusals.counts),
                {vm: replace(s) for vm, s in self.instances.states.items()},
            )

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def _admit(
        self, request: PermitRequest, on_reply: OnReply, now_s: float
    ) -> Waiter | PermitGranted | PermitRefused:
        if self._closed_refusal is not None:
            return self._closed_refusal
        self._check_pause(now_s)
        run_ms = self.run_times.expected_run_ms(
            request.work_class, request.remaining_ms
        )
        slots = self.instances.usable_slots(self._slots_per_instance(), now_s)
        if not slots and self._granting:
            return self.refusals.refuse(
                request, "no_instance", 1.0, f"no instance of {self.pool} takes work"
            )
        # A request spilled over from another zone does not count toward the usual
        # share of its class in this zone, and a retry was already counted.
        covered = request.attempt > 0 or (
            not request.spilled
            and self.shares.try_consume(request.work_class, run_ms / 1000, slots, now_s)
        )
        deadline_s = now_s + request.remaining_ms / 1000
        waiter = Waiter(request, on_reply, now_s, deadline_s, run_ms, covered)
        if self._granting and not len(self._queue):
            instance = self._granter.choose_instance(request, now_s)
            if instance is not None:
                return self._granter.grant(waiter, instance, now_s)
        refusal = (
            self.refusals.refuse_if_late(waiter, slots, now_s)
            if self._granting
            else None
        )
        if refusal is not None:
            self._refund_share(waiter)
            return refusal
        self._queue.add(waiter, now_s)
        return waiter

    def _shed(self, now_s: float) -> Replies:
        slots = self.instances.usable_slots(self._slots_per_instance(), now_s)
        lost, self._last_usable_slots = slots < self._last_usable_slots, slots
        if not self._granting or not (lost or slots == 0):
            return []
        replies: Replies = []
        for waiter, refusal in self.refusals.refuse_late_waiters(slots, now_s):
            self._drop(waiter)
            replies.append((waiter, refusal))
        return replies

    def _drop(self, waiter: Waiter) -> None:
        self._queue.remove(waiter)
        self._refund_share(waiter)

    def _refund_share(self, waiter: Waiter) -> None:
        if waiter.covered and waiter.request.attempt == 0:
            self.shares.refund(waiter.request.work_class, waiter.run_ms / 1000)

    def _check_pause(self, now_s: float) -> None:
        """Stop granting after a pause, because another entry may have taken over."""
        if now_s - self._last_tick_s > PAUSE_LIMIT_S:
            self._granting = False

    def _dispatch(self, now_s: float) -> Replies:
        self._check_pause(now_s)
        replies: Replies = []
        while self._granting:
            waiter = self._queue.next()
            if waiter is None:
                break
            instance = self._granter.choose_instance(waiter.request, now_s)
            if instance is None:
                break
            self._queue.remove(waiter)
            if waiter.wait_until_s <= now_s:
                detail = "no slot came free in time"
                refusal = self.refusals.refuse(
                    waiter.request, "deadline_passed", 0.5, detail
                )
                replies.append((waiter, refusal))
                continue
            grant = self._granter.grant(waiter, instance, now_s)
            replies.append((waiter, grant))
        return replies

    def _block_unaccounted_slots(self, now_s: float) -> None:
        known_ms = self.run_times.class_means_ms().values()
        block_ms = BLOCK_DEFAULT_MS
        if known_ms:
            longest_ms = max(known_ms)
            block_ms = max(BLOCK_MINIMUM_MS, BLOCK_RUN_FACTOR * longest_ms)
        self.refusals.blocked_until_s = now_s + block_ms / 1000
        for state in self.instances.states.values():
            state.blocked_slots = max(0, self._slots_per_instance() - state.in_use)


def _deliver(replies: Replies) -> None:
    for waiter, reply in replies:
        waiter.on_reply(reply)
