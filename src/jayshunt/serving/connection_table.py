"""Keep the open connections of a server, and close some for others."""

import socket
import threading
from collections import Counter

from jayshunt.clock import Clock
from jayshunt.serving.connection import Activity, CallerConnection
from jayshunt.serving.const import MIN_LINGER_S, MIN_OCCUPIED_S

# In this order, connections are closed for a new one, and never one whose request is
# being served. The values are the times in seconds for which they stay open at least,
# as a request or an answer may be on its way.
CLOSED_FOR_CONNECTIONS = {
    Activity.IDLE: 0.0,
    Activity.LINGERING: MIN_LINGER_S,
    Activity.NEW: MIN_OCCUPIED_S,
    Activity.READING: MIN_OCCUPIED_S,
    Activity.WRITING: MIN_OCCUPIED_S,
}
# Connections that hold memory for requests without being served.
CLOSED_FOR_MEMORY = {
    Activity.READING: MIN_OCCUPIED_S,
    Activity.WRITING: MIN_OCCUPIED_S,
}


class ConnectionTable:
    """Open connections, with what each is doing.

    A connection is None before its thread runs, and in TLS before its handshake is
    done. `closed_counts` counts the connections closed for others by their activity.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._lock = threading.Lock()
        self._all_closed = threading.Condition(self._lock)
        self._open: dict[socket.socket, CallerConnection | None] = {}
        self._handshakes: dict[socket.socket, float] = {}
        self._closing: set[socket.socket] = set()
        self.closed_counts: Counter[str] = Counter()

    def add(self, plain: socket.socket) -> None:
        """Add an accepted connection."""
        with self._lock:
            self._open[plain] = None

    def begin_handshake(self, plain: socket.socket) -> None:
        """Note that the TLS handshake of a connection begins."""
        with self._lock:
            self._handshakes[plain] = self._clock.monotonic_s()

    def set_served(self, plain: socket.socket, served: CallerConnection) -> None:
        """Note that the requests of a connection are being read."""
        with self._lock:
            self._open[plain] = served
            self._handshakes.pop(plain, None)

    def remove(self, plain: socket.socket) -> None:
        """Remove a connection before it is closed."""
        with self._lock:
            self._open.pop(plain, None)
            self._handshakes.pop(plain, None)
            self._closing.discard(plain)
            self._all_closed.notify_all()

    def close_idlest(self) -> bool:
        """Close a connection for a new one; return whether there was any.

        It is the one that has been without a request for longest. If all have one,
        it is the slowest sender, else the slowest receiver.
        """
        return self._close_one(CLOSED_FOR_CONNECTIONS, None)

    def close_slowest(self, owner: object) -> bool:
        """Close the slowest sender or receiver other than `owner`, for its memory.

        Return whether there was any, or one is being closed.
        """
        return self._close_one(CLOSED_FOR_MEMORY, owner) or bool(self._closing)

    def close_all(self) -> int:
        """Shut down all connections; return their number."""
        with self._lock:
            for plain in self._open:
                shut_down(plain)
            return len(self._open)

    def wait_closed(self, timeout_s: float) -> bool:
        """Wait until no connection is open; return whether that is so."""
        end_s = self._clock.monotonic_s() + timeout_s
        with self._lock:
            while self._open:
                left_s = end_s - self._clock.monotonic_s()
                if left_s <= 0:
                    return False
                self._all_closed.wait(left_s)
        return True

    def count(self, activity: Activity) -> int:
        """Return the number of connections with an activity."""
        with self._lock:
            served = [one for one in self._open.values() if one is not None]
        return sum(one.activity[0] is activity for one in served)

    def _close_one(self, min_s: dict[Activity, float], owner: object) -> bool:
        now_s = self._clock.monotonic_s()
        ranks = {activity: rank for rank, activity in enumerate(min_s)}
        with self._lock:
            candidates = [
                (ranks[activity], since_s, activity.value, number, plain)
                for number, (plain, activity, since_s) in enumerate(
                    self._activities(owner)
                )
                if activity in min_s
                and now_s - since_s >= min_s[activity]
                and plain not in self._closing
            ]
            if not candidates:
                return False
            _, _, activity, _, victim = min(candidates)
            self._closing.add(victim)
            self.closed_counts[activity] += 1
            # Under the lock, as the descriptor may be reused once it is closed.
            shut_down(victim)
        return True

    def _activities(self, owner: object):
        for plain, served in self._open.items():
            if served is not None and served is not owner:
                yield plain, *served.activity
        for plain, since_s in self._handshakes.items():
            yield plain, Activity.READING, since_s


def shut_down(connection: socket.socket) -> None:
    """Shut down a connection, which wakes its thread."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller has closed it already.
        return
