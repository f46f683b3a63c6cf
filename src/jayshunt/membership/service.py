"""Run the membership protocol and publish the view of the members."""

import logging
import random
import threading
from collections.abc import Callable, Iterable

from jayshunt.clock import Clock
from jayshunt.ids import ConfigVersion, EntryId, Epoch
from jayshunt.membership.const import STEP_INTERVAL_S
from jayshunt.membership.grpc_transport import GrpcTransport
from jayshunt.membership.messages import Exchange, Heartbeat
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.membership.node import MemberNode
from jayshunt.membership.streams import HeartbeatStreams
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.const import KEY_REFRESH_S

_LOGGER = logging.getLogger(__name__)

# Updates that arrive within this time are forwarded in one batch.
GOSSIP_BATCH_S = 0.02
FINAL_GOSSIP_WAIT_S = 0.1


class MembershipService:
    """Maintain the membership view of this entry and notify its listeners."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        channels: PeerChannels,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with this entry as the only known member."""
        self._own = own
        self._clock = clock
        self._channels = channels
        self.node = MemberNode(
            own, seeds, GrpcTransport(own.entry, channels), clock, rng
        )
        self._streams = HeartbeatStreams(self.node, channels, clock)
        self._changed = threading.Event()
        self.node.set_change_handler(self._changed.set)
        self.node.set_version_handler(self._report_version)
        self._published_view = self.node.view()
        self._listeners: list[Callable[[MembershipView], None]] = []
        self._version_listeners: list[Callable[[EntryId, ConfigVersion], None]] = []
        self._stopping = False
        self._next_key_refresh_s = clock.monotonic_s()

    def view(self) -> MembershipView:
        """Return the current view."""
        return self.node.view()

    def add_listener(self, listener: Callable[[MembershipView], None]) -> None:
        """Add a listener that is called with each new view."""
        self._listeners.append(listener)

    def add_version_listener(
        self, listener: Callable[[EntryId, ConfigVersion], None]
    ) -> None:
        """Add a listener that is called when a peer reports another version.

        It receives the peer and the configuration version that the peer reports.
        """
        self._version_listeners.append(listener)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses at which other entries may be reached."""
        self.node.add_seeds(addresses)

    def set_config_version(self, version: ConfigVersion) -> None:
        """Set the configuration version that heartbeats and exchanges report."""
        self.node.config_version = version

    def set_assignment_epoch(self, epoch: Epoch) -> None:
        """Set the assignment epoch that heartbeats report."""
        self.node.assignment_epoch = epoch

    def answer_exchange(self, message: Exchange) -> Exchange:
        """Merge a peer's records and return those that it lacks."""
        self._report_version(message.entry, message.config_version)
        return self.node.answer_exchange(message)

    def receive_heartbeats(self, heartbeats: Iterable[Heartbeat]) -> None:
        """Process the heartbeats of one member until its stream ends."""
        for heartbeat in heartbeats:
            if self._stopping:
                return
            self._report_version(heartbeat.entry, heartbeat.config_version)
            self.node.receive_heartbeat(heartbeat)

    def answer_probe(self, entry: EntryId, asker: EntryId) -> float | None:
        """Return the seconds since a member's last heartbeat; None if never.

        A probe for this entry itself comes from a monitor that receives no heartbeats
        from it although calls in the other direction work, so the heartbeat stream
        to that monitor is reconnected.
        """
        if entry == self._own.entry:
            monitor = self.view().find(asker)
            if monitor is not None:
                self._streams.reconnect(monitor.peer_address)
        return self.node.answer_probe(entry)

    def run(self, stop: threading.Event) -> None:
        """Run protocol steps and publish view changes until stopped."""
        while not stop.is_set():
            self.node.step()
            self._publish()
            self._refresh_keys()
            self._changed.wait(STEP_INTERVAL_S)
            if self._changed.is_set():
                self._changed.clear()
                self._clock.wait(stop, GOSSIP_BATCH_S)

    def leave(self) -> None:
        """Announce that this entry is leaving."""
        self.node.leave()

    def stop(self) -> None:
        """Announce that this entry is gone and stop its heartbeats."""
        self._stopping = True
        self.node.stop()
        # Other threads send the announcement; give them time to do so.
        self._clock.wait(threading.Event(), FINAL_GOSSIP_WAIT_S)
        self._streams.stop()

    def _publish(self) -> None:
        view = self.node.view()
        if view.version == self._published_view.version:
            return
        self._streams.set_monitors(self.node.monitors())
        before, self._published_view = self._published_view, view
        self._close_channels(before, view)
        for listener in self._listeners:
            try:
                listener(view)
            except Exception:
                _LOGGER.exception("membership: a listener failed")

    def _refresh_keys(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s >= self._next_key_refresh_s:
            self._next_key_refresh_s = now_s + KEY_REFRESH_S
            self._channels.refresh_keys()

    def _close_channels(self, before: MembershipView, view: MembershipView) -> None:
        used = {m.peer_address for m in view.members if m.state != MemberState.LOST}
        for member in before.alive():
            if member.peer_address not in used:
                self._channels.forget(member.peer_address)

    def _report_version(self, entry: EntryId, version: ConfigVersion) -> None:
        if version != self.node.config_version:
            for listener in self._version_listeners:
                listener(entry, version)
