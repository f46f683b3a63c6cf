"""Stand in for the network between a process and a service."""

import socket
import threading
import time

from jayshunt_standins.server import LOOPBACK

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0


class Relay:
    """Pass TCP connections on to a target until it is cut.

    `cut` resets open connections and refuses new ones, as a network that answers
    does. `silence` keeps connections open and passes nothing on, as a network
    that drops packets does; new connections open and stay silent too. `delay_s`
    holds each piece back, `is_one_way` drops what the target answers.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port of loopback; `target` is IP:PORT."""
        self.delay_s = 0.0
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
        """Return IP and port."""
        return f"{LOOPBACK}:{self._server.getsockname()[1]}"

    def start(self) -> "Relay":
        """Start to accept connections."""
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def stop(self) -> None:
        """Close everything."""
        self._stopped = True
        self._passing.set()
        self._server.close()
        self._close_open()

    def cut(self) -> None:
        """Reset open connections and refuse new ones."""
        self._refusing = True
        self._close_open()

    def silence(self) -> None:
        """Keep connections and pass nothing on."""
        self._passing.clear()

    def restore(self) -> None:
        """Pass everything on again; silenced connections stay silent for good."""
        self._close_open()
        self._refusing = False
        self.delay_s = 0.0
        self.is_one_way = False
        self._passing.set()

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

    def _pump(self, source: socket.socket, sink: socket.socket, is_back: bool) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._passing.wait()
                if self.delay_s:
                    time.sleep(self.delay_s)
                if not (is_back and self.is_one_way):
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
