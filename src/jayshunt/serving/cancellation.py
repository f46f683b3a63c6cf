"""Detect callers that disconnect while their request is being served."""

import logging
import select
import socket
import threading
from collections.abc import Callable

_LOGGER = logging.getLogger(__name__)

# Edge-triggered, so that each disconnect is reported only once.
EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR | select.EPOLLET


class Cancellation:
    """One-time signal that runs a callback when a request's caller disconnects.

    A callback that is added after the disconnect runs at once.
    """

    def __init__(self) -> None:
        """Start without a callback, not cancelled."""
        self._lock = threading.Lock()
        self._callback: Callable[[], None] | None = None
        self.cancelled = False

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Run the callback once if the caller disconnects before its answer."""
        with self._lock:
            self._callback = callback
            cancelled = self.cancelled
        if cancelled:
            callback()

    def cancel(self) -> None:
        """Record the disconnect and run the callback; further calls do nothing."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
            callback = self._callback
        if callback is not None:
            callback()


class DisconnectWatcher:
    """Thread that watches all connections for disconnects with epoll.

    A connection is registered once and not per request, so that a request costs
    no system call here. A caller that half-closes its connection counts as
    disconnected, as in common servers.
    """

    def __init__(self) -> None:
        """Create the epoll instance without connections."""
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._wake_read, self._wake_write = socket.socketpair()
        self._epoll.register(self._wake_read.fileno(), select.EPOLLIN)
        self._thread: threading.Thread | None = None
        self.disconnect_count = 0

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(
            target=self._run, name="disconnects", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the epoll instance."""
        self._wake_write.send(b"x")
        if self._thread is not None:
            self._thread.join()
        self._epoll.close()
        self._wake_read.close()
        self._wake_write.close()

    def add(self, connection: socket.socket, callback: Callable[[], None]) -> None:
        """Run the callback when the caller closes or half-closes the connection."""
        with self._lock:
            self._callbacks[connection.fileno()] = callback
        self._epoll.register(connection.fileno(), EVENTS)

    def remove(self, connection: socket.socket) -> None:
        """Stop watching a connection, before its closed descriptor can be reused."""
        with self._lock:
            self._callbacks.pop(connection.fileno(), None)
        try:
            self._epoll.unregister(connection.fileno())
        except (OSError, ValueError):
            _LOGGER.debug("serving: the connection was no longer watched")

    def _run(self) -> None:
        while True:
            for fd, _ in self._epoll.poll():
                if fd == self._wake_read.fileno():
                    return
                with self._lock:
                    callback = self._callbacks.get(fd)
                    # A newer connection may have reused the descriptor since the event.
                    if callback is None or not _peer_has_closed(fd):
                        continue
                try:
                    callback()
                except Exception:
                    _LOGGER.exception("serving: unexpected error in a cancellation")
                self.disconnect_count += 1


def _peer_has_closed(fd: int) -> bool:
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    return bool(poll.poll(0))
