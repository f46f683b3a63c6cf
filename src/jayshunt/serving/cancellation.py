"""Notice callers who disconnect while their request is being served."""

import logging
import select
import socket
import threading
from collections.abc import Callable

_LOGGER = logging.getLogger(__name__)

# Edge triggered, so that a caller who has gone is reported once.
EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR | select.EPOLLET


class Cancellation:
    """Tell whoever serves a request that its caller has gone.

    A callback that is added after the caller has gone runs at once.
    """

    def __init__(self) -> None:
        """Start with the caller present."""
        self._lock = threading.Lock()
        self._callback: Callable[[], None] | None = None
        self.cancelled = False

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Run the callback once if the caller goes before the answer is ready."""
        with self._lock:
            self._callback = callback
            cancelled = self.cancelled
        if cancelled:
            callback()

    def cancel(self) -> None:
        """Record that the caller has gone and run the callback."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
            callback = self._callback
        if callback is not None:
            callback()


class DisconnectWatcher:
    """Run one thread that waits for callers' ends of all connections.

    A connection is registered once and not per request, so that a request costs
    no system call here. A caller who half-closes its connection counts as gone,
    as it does with common servers.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._wake_read, self._wake_write = socket.socketpair()
        self._epoll.register(self._wake_read.fileno(), select.EPOLLIN)
        self._thread: threading.Thread | None = None
        self.disconnect_count = 0

    def start(self) -> None:
        """Start to wait."""
        self._thread = threading.Thread(
            target=self._run, name="disconnects", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """End the thread and forget every connection."""
        self._wake_write.send(b"x")
        if self._thread is not None:
            self._thread.join()
        self._epoll.close()
        self._wake_read.close()
        self._wake_write.close()

    def add(self, connection: socket.socket, callback: Callable[[], None]) -> None:
        """Run the callback when the other end closes or half-closes."""
        with self._lock:
            self._callbacks[connection.fileno()] = callback
        self._epoll.register(connection.fileno(), EVENTS)

    def remove(self, connection: socket.socket) -> None:
        """Forget a connection before it is closed and its number is reused."""
        with self._lock:
            self._callbacks.pop(connection.fileno(), None)
        try:
            self._epoll.unregister(connection.fileno())
        except (OSError, ValueError):
            _LOGGER.debug("serving: a connection was not watched any more")

    def _run(self) -> None:
        while True:
            for fd, _ in self._epoll.poll():
                if fd == self._wake_read.fileno():
                    return
                with self._lock:
                    callback = self._callbacks.get(fd)
                    # The number may belong to a newer connection by now.
                    if callback is None or not _peer_has_closed(fd):
                        continue
                try:
                    callback()
                except Exception:
                    _LOGGER.exception("serving: a cancellation failed")
                self.disconnect_count += 1


def _peer_has_closed(fd: int) -> bool:
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    return bool(poll.poll(0))
