"""Simulate the network between a process and a service, with its faults."""

import socket
import threading
import time

from jayshunt_standins.server import LOOPBACK

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0


class Relay:
    """Forward TCP connections to a target, unless a fault is set.

    `cut` closes open connections and new ones at once, as a network that rejects
    packets does. `silence` keeps connections open and forwards nothing, as a network
    that drops packets does; new connections are accepted and stay silent too.
    `delay_s` delays each chunk that is received, `connect_delay_s` each new connection
    to the target, and `is_one_way` drops the bytes that the target sends.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free loopback port; `target` is IP:PORT."""
        self.delay_s = 0.0
        self.connect_delay_s = 0.0
        self.is_one_way = False
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = socket.create_server((LOOPBACK, 0), backlog=256)
        self._passing = threading.Event()
        self._passing.set()
        self._refusing = False
        self._stopped = False
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """Return the address of the relay as IP:PORT."""
        return f"{LOOPBACK}:{self._server.getsockname()[1]}"

    def start(self) -> "Relay":
        """Start accepting connections."""
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._stopped = True
        self._passing.set()
        self._server.close()
        self._close_open()

    def cut(self) -> None:
        """Close open connections, and close new ones as soon as they are accepted."""
        self._refusing = True
        self._close_open()

    def silence(self) -> None:
        """Keep connections open and forward nothing."""
        self._passing.clear()

    def restore(self) -> None:
        """Close open connections and forward new ones again.

        Connections that were silenced never resume.
        """
        self._close_open()
        self._refusing = False
        self.delay_s = self.connect_delay_s = 0.0
        self.is_one_way = False
        self._passing.set()

    def reset(self) -> None:
        """Close open connections; new ones are treated as before."""
        self._close_open()

    def exchange_targets(self, other: "Relay") -> None:
        """Forward new connections to the target of another relay, and vice versa."""
        self._target, other._target = other._target, self._target
        self._close_open()
        other._close_open()

    def _accept(self) -> None:
        while not self._stopped:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            if self._refusing:
                client.close()
                continue
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        time.sleep(self.connect_delay_s)
        try:
            server = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open |= {client, server}
        threading.Thread(
            target=self._pump, args=(client, server, False), daemon=True
        ).start()
        self._pump(server, client, True)

    def _pump(
        self, source: socket.socket, sink: socket.socket, is_from_target: bool
    ) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._passing.wait()
                if self.delay_s:
                    time.sleep(self.delay_s)
                if not (is_from_target and self.is_one_way):
                    sink.sendall(data)
        except OSError:
            pass
        for connection in (source, sink):
            _shutdown(connection)
        with self._lock:
            self._open -= {source, sink}

    def _close_open(self) -> None:
        with self._lock:
            connections, self._open = self._open, set()
        for connection in connections:
            _shutdown(connection)


def _shutdown(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
