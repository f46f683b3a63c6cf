"""Notify a zone's scheduler of new and cancelled jobs."""

import threading
from collections.abc import Callable, Sequence

import grpc

from jayshunt.clock import Clock
from jayshunt.ids import ZoneName
from jayshunt.jobs.const import (
    NOTICE_ATTEMPTS,
    NOTICE_BATCH_WINDOW_S,
    NOTICE_TIMEOUT_S,
    SCHEDULE_INTERVAL_S,
)
from jayshunt.jobs.scheduler import JobScheduler
from jayshunt.membership.models import Member, MembershipView
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc


class JobsServicer(peer_pb2_grpc.JobsServicer):
    """gRPC service that passes notices of other entries to the scheduler."""

    def __init__(self, scheduler: JobScheduler) -> None:
        """Store the scheduler to notify."""
        self._scheduler = scheduler

    def add_to(self, server: grpc.Server) -> None:
        """Register the service with a gRPC server."""
        peer_pb2_grpc.add_JobsServicer_to_server(self, server)

    def JobsWaiting(self, request: peer_pb2.JobsWaitingNotice, context):
        """Mark the shards of the notice as changed, or all shards if it has none."""
        if request.shards:
            self._scheduler.mark_changed(request.shards)
        else:
            self._scheduler.mark_changed()
        return peer_pb2.JobsWaitingReply()


class JobsNotifier:
    """Send notices of changed shards to all entries of a zone.

    Only the zone controller uses a notice. The other entries do not know which one
    it is without a call to the store, and a notice to an entry that ignores it costs
    less than that call. Notices are combined for `NOTICE_BATCH_WINDOW_S`, so that
    many cancellations at once do not send a notice per job to every entry. A lost
    notice delays a job until the scheduler next polls the shards.
    """

    def __init__(
        self,
        own: Member,
        scheduler: JobScheduler,
        view: Callable[[], MembershipView],
        channels: PeerChannels,
        clock: Clock,
    ) -> None:
        """Store the collaborators."""
        self._own_member = own
        self._scheduler = scheduler
        self._view = view
        self._channels = channels
        self._clock = clock
        self._lock = threading.Lock()
        self._pending: dict[ZoneName, set[int]] = {}
        self._wake = threading.Event()

    def notify(self, zone: ZoneName, shards: Sequence[int]) -> None:
        """Notify a zone's scheduler of changed shards, without blocking."""
        if zone == self._own_member.zone:
            self._scheduler.mark_changed(shards)
            if self._scheduler.is_scheduling:
                return
        with self._lock:
            self._pending.setdefault(zone, set()).update(shards)
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Send combined notices until stopped."""
        while not stop.is_set():
            if not self._clock.wait(self._wake, SCHEDULE_INTERVAL_S):
                continue
            self._clock.wait(stop, NOTICE_BATCH_WINDOW_S)
            self._wake.clear()
            self.send()

    def send(self) -> None:
        """Send the pending notices."""
        with self._lock:
            pending, self._pending = self._pending, {}
        for zone, shards in pending.items():
            notice = peer_pb2.JobsWaitingNotice(
                zone=zone, entry=self._own_member.entry, shards=sorted(shards)
            )
            for member in self._view().alive(zone):
                if member.entry != self._own_member.entry:
                    self._send_to(member.peer_address, notice, NOTICE_ATTEMPTS)

    def _send_to(
        self, address: str, notice: peer_pb2.JobsWaitingNotice, attempts: int
    ) -> None:
        stub = self._channels.stub(address, peer_pb2_grpc.JobsStub)
        call = stub.JobsWaiting.future(notice, timeout=NOTICE_TIMEOUT_S)

        def retry_if_failed(ended: grpc.Future) -> None:
            failed = ended.cancelled() or ended.exception() is not None
            if failed and attempts > 1:
                self._send_to(address, notice, attempts - 1)

        call.add_done_callback(retry_if_failed)
