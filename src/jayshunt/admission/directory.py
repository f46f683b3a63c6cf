"""Locate the broker of each pool, and run those that this entry must run."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from jayshunt.admission.broker import Broker
from jayshunt.admission.broker_client import BrokerClient
from jayshunt.admission.const import (
    INSTANCES_REFRESH_S,
    MAX_BROKERS_ASKED,
    NOT_BROKER,
    NOT_BROKER_CACHE_S,
    PEER_THREADS,
    REMAINING_TOLERANCE_MS,
    RETRY_INTERVAL_S,
    SPILL_BACKOFF_S,
    SPILL_CODES,
    SPILL_WITHIN_RATIO,
    TICK_S,
)
from jayshunt.admission.messages import (
    PermitGranted,
    PermitRefused,
    PermitRequest,
    PermitResult,
    RecoveredPermits,
)
from jayshunt.admission.own_permits import OwnPermits
from jayshunt.admission.pending import PendingCall
from jayshunt.admission.takeover import BrokerCandidates
from jayshunt.clock import Clock
from jayshunt.ids import ClassName, EntryId, PoolName, RequestId, VmId, ZoneName
from jayshunt.membership.models import Member, MembershipView
from jayshunt.peers.channels import PeerChannels
from jayshunt.pools.models import Assignment

_LOGGER = logging.getLogger(__name__)


class BrokerDirectory:
    """Manage this entry's brokers and its streams to the brokers on other entries.

    Each pool has one broker per zone. It runs on the first of the zone's live
    entries in the order that `BrokerCandidates.candidates` returns for the pool.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneName,
        clock: Clock,
        read_view: Callable[[], MembershipView],
        channels: PeerChannels,
        list_instances: Callable[[PoolName], tuple[Assignment, ...]],
        slots_of: Callable[[PoolName], int],
    ) -> None:
        """Create a directory; `slots_of` returns the slots per instance of a pool."""
        self._entry = entry
        self._zone = zone
        self._clock = clock
        self._read_view = read_view
        self._channels = channels
        self._list_instances = list_instances
        self._slots_of = slots_of
        self._lock = threading.Lock()
        self._brokers: dict[PoolName, Broker] = {}
        self._recovering: set[PoolName] = set()
        self._not_broker_until_s: dict[PoolName, float] = {}
        self._no_spill_until_s: dict[tuple[ZoneName, PoolName, ClassName], float] = {}
        self._clients: dict[str, BrokerClient] = {}
        self._executor = ThreadPoolExecutor(PEER_THREADS, "takeover")
        self._stopping = False
        self._next_refresh_s = 0.0
        self._stopped = threading.Event()
        self._pending: dict[RequestId, PendingCall] = {}
        self.permits = OwnPermits(clock)
        self.broker_candidates = BrokerCandidates(entry, zone, read_view, channels)

    def acquire(self, request: PermitRequest) -> PermitGranted | PermitRefused:
        """Return a permit, or a refusal if the request may still be refused.

        A request that was already admitted, or for which a refusal would now come
        too late, is retried until its wait limit ends, for example while a broker
        is being replaced.
        """
        wait_until_s = self._clock.monotonic_s() + request.wait_limit_ms / 1000
        while True:
            reply, next_request = self._acquire_in_any_zone(request)
            may_wait = next_request.attempt > 0 and is_retryable(reply)
            retry_s = self._clock.monotonic_s() + RETRY_INTERVAL_S
            if not may_wait or retry_s >= wait_until_s:
                return reply
            self._clock.wait(self._stopped, RETRY_INTERVAL_S)
            elapsed_ms = request.wait_limit_ms - (wait_until_s - retry_s) * 1000
            request = replace(
                next_request,
                spilled=False,
                remaining_ms=request.remaining_ms - elapsed_ms,
                patience_ms=(wait_until_s - retry_s) * 1000,
            )

    def _acquire_in_any_zone(
        self, request: PermitRequest
    ) -> tuple[PermitGranted | PermitRefused, PermitRequest]:
        """Ask this zone's broker, then other zones as long as a refusal is early.

        Also return the request to use for the next try.
        """
        started_s = self._clock.monotonic_s()
        deadline_s = started_s + request.remaining_ms / 1000
        # A refusal after this time would be too late for the caller to use, so the
        # request then counts as admitted (attempt > 0) and brokers must not refuse it.
        refuse_by_s = started_s + SPILL_WITHIN_RATIO * request.remaining_ms / 1000
        reply, request = self._acquire_in(self._zone, request, deadline_s, refuse_by_s)
        if not is_retryable(reply):
            return reply, request
        for zone in self._read_view().zones():
            now_s = self._clock.monotonic_s()
            key = (zone, request.pool, request.work_class)
            is_backing_off = (
                now_s < self._no_spill_until_s.get(key, 0.0) or now_s > refuse_by_s
            )
            # A request that was queued at a lost broker counts as admitted, so it
            # is tried in every zone, however late it is.
            if zone == self._zone or (is_backing_off and request.attempt == 0):
                continue
            spilled = replace(request, spilled=True)
            other, _ = self._acquire_in(zone, spilled, deadline_s, refuse_by_s)
            if isinstance(other, PermitGranted):
                return other, request
            self._no_spill_until_s[key] = self._clock.monotonic_s() + SPILL_BACKOFF_S
        return reply, request

    def release(self, result: PermitResult) -> None:
        """Release a permit at the broker that counts it."""
        own = self.permits.pop(result.permit)
        if own is None:
            return
        if own.broker.entry != self._entry:
            self._client(own.broker).release(own.pool, [result])
            return
        broker = self.brokers().get(own.pool)
        if broker is not None:
            broker.release(result)

    def cancel(self, request: RequestId) -> bool:
        """Cancel a request that waits for a permit; return True if it will not run."""
        with self._lock:
            call = self._pending.get(request)
        if call is None:
            return False
        return call.decide(PermitRefused("cancelled", 0.0, "the caller gave it up"))

    def get_or_create_broker(self, pool: PoolName) -> Broker | None:
        """Return this entry's broker of a pool, creating it if needed.

        Return None if another entry must run the broker or this entry is stopping.
        A new broker queues requests until its takeover has collected the permits
        held in the zone.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            broker = self._brokers.get(pool)
            if broker is not None:
                return broker
            if self._stopping or now_s < self._not_broker_until_s.get(pool, 0.0):
                return None
            broker = Broker(
                pool,
                self._entry,
                self._clock,
                lambda: self._slots_of(pool),
                granting=False,
            )
            self._brokers[pool] = broker
        broker.set_instances(self._list_instances(pool))
        self._start_takeover(pool, broker)
        return broker

    def recover(
        self, pool: PoolName, new_broker: EntryId, zone: ZoneName = ZoneName("")
    ) -> RecoveredPermits:
        """Hand a pool over to a new broker and return the permits held here.

        An empty `zone` means this entry's zone. Requests of this entry that wait
        at the predecessor are aborted and ask again, because the new broker would
        not know of a grant that is still in transit.
        """
        if zone not in ("", self._zone):
            return self._recover_other_zone(pool, new_broker, zone)
        with self._lock:
            broker = self._brokers.pop(pool, None)
            clients = dict(self._clients)
        member = self._read_view().find(new_broker)
        for address, client in clients.items():
            if member is None or address != member.peer_address:
                client.abort_calls(pool, self._zone)
        held = {}
        learned = ()
        if broker is not None:
            learned = broker.learned_classes()
            ended = broker.stop(NOT_BROKER, f"{new_broker} takes over")
            held = {item.permit: item for item in ended}
            _LOGGER.info("admission: %s takes over pool %s", new_broker, pool)
        for item in self.permits.reassign(pool, self._zone, member):
            held.setdefault(item.permit, item)
        if member is not None:
            self._client(member).reconnect()
        return RecoveredPermits(tuple(held.values()), learned)

    def _recover_other_zone(
        self, pool: PoolName, new_broker: EntryId, zone: ZoneName
    ) -> RecoveredPermits:
        """Return the permits that requests of this entry hold in another zone."""
        member = self._read_view().find(new_broker)
        with self._lock:
            clients = dict(self._clients)
        for address, client in clients.items():
            if member is None or address != member.peer_address:
                client.abort_calls(pool, zone)
        return RecoveredPermits(self.permits.reassign(pool, zone, member), ())

    def apply_assignments(self) -> None:
        """Update the serving instances of every broker."""
        for pool, broker in self.brokers().items():
            broker.set_instances(self._list_instances(pool))

    def brokers(self) -> dict[PoolName, Broker]:
        """Return the brokers that run on this entry."""
        with self._lock:
            return dict(self._brokers)

    def in_flight(self, vm: VmId) -> int:
        """Return the number of requests on a VM that this entry sent or granted."""
        granted = sum(b.in_flight(vm) for b in self.brokers().values())
        return max(granted, self.permits.count_on_vm(vm))

    def run(self, stop: threading.Event) -> None:
        """Run `step` at a fixed interval until stopped."""
        while not stop.is_set():
            self.step()
            self._clock.wait(stop, TICK_S)

    def step(self) -> None:
        """Tick the brokers that are due and drop expired permits.

        Changed assignments reach the brokers at once through `apply_assignments`;
        here they are only refreshed every `INSTANCES_REFRESH_S`.
        """
        now_s = self._clock.monotonic_s()
        if now_s >= self._next_refresh_s:
            self._next_refresh_s = now_s + INSTANCES_REFRESH_S
            self.apply_assignments()
        for pool, broker in self.brokers().items():
            if broker.is_tick_due() and not broker.tick():
                self._start_takeover(pool, broker)
        self.permits.expire()

    def stop(self) -> None:
        """Stop every broker, so that queued requests ask the next entry."""
        with self._lock:
            self._stopping = True
            self._stopped.set()
            brokers, self._brokers = self._brokers, {}
            clients = list(self._clients.values())
        for broker in brokers.values():
            broker.stop(NOT_BROKER, f"{self._entry} stops")
        for client in clients:
            client.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)
        self.broker_candidates.stop()

    def _acquire_in(
        self,
        zone: ZoneName,
        request: PermitRequest,
        deadline_s: float,
        refuse_by_s: float,
    ) -> tuple[PermitGranted | PermitRefused, PermitRequest]:
        """Return a zone's reply, and the request to use for the next try."""
        candidates = self.broker_candidates.candidates(zone, request.pool)[
            :MAX_BROKERS_ASKED
        ]
        # The second pass reaches a broker that took over during the first.
        for member in [*candidates, *candidates]:
            now_s = self._clock.monotonic_s()
            elapsed_ms = request.remaining_ms - (deadline_s - now_s) * 1000
            patience_ms = request.wait_limit_ms - elapsed_ms
            if patience_ms <= 0:
                break
            if elapsed_ms > REMAINING_TOLERANCE_MS:
                remaining_ms = request.remaining_ms - elapsed_ms
                request = replace(
                    request, remaining_ms=remaining_ms, patience_ms=patience_ms
                )
            call = self._ask(member, request)
            reply = call.decision
            if call.queued or self._clock.monotonic_s() > refuse_by_s:
                request = replace(request, attempt=max(1, request.attempt))
            if reply is None:
                continue
            if isinstance(reply, PermitGranted):
                self.permits.add(reply, request.work_class, request.pool, zone, member)
                return reply, request
            if reply.code != NOT_BROKER:
                return reply, request
        detail = f"no broker of {request.pool} in {zone} answers"
        return PermitRefused("broker_unavailable", 0.5, detail), request

    def _ask(self, member: Member, request: PermitRequest) -> PendingCall:
        call = PendingCall(request)
        with self._lock:
            self._pending[request.request] = call
        if member.entry != self._entry:
            client = self._client(member)
            if not client.is_down():
                client.acquire(call)
        elif member.zone == self._zone:
            broker = self.get_or_create_broker(request.pool)
            if broker is not None:
                broker.acquire(call)
        with self._lock:
            self._pending.pop(request.request, None)
        return call

    def _client(self, member: Member) -> BrokerClient:
        with self._lock:
            client = self._clients.get(member.peer_address)
            if client is None:
                client = BrokerClient(
                    member.peer_address, member.zone, self._clock, self._channels
                )
                self._clients[member.peer_address] = client
            return client

    def _start_takeover(self, pool: PoolName, broker: Broker) -> None:
        with self._lock:
            if pool in self._recovering or self._stopping:
                return
            self._recovering.add(pool)
        self._executor.submit(self._take_over, pool, broker)

    def _take_over(self, pool: PoolName, broker: Broker) -> None:
        try:
            if not self.broker_candidates.is_first_candidate(pool):
                with self._lock:
                    self._not_broker_until_s[pool] = (
                        self._clock.monotonic_s() + NOT_BROKER_CACHE_S
                    )
                    if self._brokers.get(pool) is broker:
                        del self._brokers[pool]
                broker.stop(NOT_BROKER, "it is the turn of another entry")
                return
            answers, missing = self.broker_candidates.collect(pool)
            held = [item for answer in answers for item in answer.held]
            held += self.permits.reassign(pool, self._zone, self._own_member())
            learned = [item for answer in answers for item in answer.learned]
            broker.adopt(held, learned, unreachable=bool(missing))
            _LOGGER.info(
                "admission: broker of pool %s, %d permits held", pool, len(held)
            )
            # Other zones may be unreachable and must not delay the first grant.
            broker.add_held(self.broker_candidates.collect_from_other_zones(pool))
        except Exception:
            _LOGGER.exception("admission: takeover of pool %s failed", pool)
        finally:
            with self._lock:
                self._recovering.discard(pool)

    def _own_member(self) -> Member | None:
        return self._read_view().find(self._entry)


def is_retryable(reply: PermitGranted | PermitRefused) -> bool:
    """Return whether a retry, in another zone or later, may get a permit."""
    return isinstance(reply, PermitRefused) and reply.code in SPILL_CODES
