"""Stand in for an instance of an upstream service."""

import socket
import struct
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler

from jayshunt_standins.server import Call, DropConnection, Reply, StandInServer

RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass
class UpstreamFaults:
    """Define how the instance fails.

    `silent` keeps connections open and never answers. `reset_before` resets the
    connection before the work, `reset_after` after half of the answer. `errors`
    answers 500 without work. `late_s` delays each answer. `leaving` answers 503 to
    health checks, while requests still run. `down` resets every connection.
    `silent_existing` never answers on the connections that are open when it is set,
    while new ones work.
    """

    silent: bool = False
    reset_before: bool = False
    reset_after: bool = False
    errors: bool = False
    late_s: float = 0.0
    leaving: bool = False
    down: bool = False
    silent_existing: bool = False


@dataclass(frozen=True)
class CompletedRequest:
    """Record one request that ran; times are seconds since the Unix epoch.

    `leaving` is whether the instance was leaving when the request started.
    """

    request: str
    started_s: float
    ended_s: float
    leaving: bool = False


class UpstreamStandIn(StandInServer):
    """Run requests, record each, and count those that exceed the slots.

    The header `Standin-Work-Ms` sets the run time of a request. The body of the answer
    repeats the id and the body of the request, so that a caller can detect the answer
    to another request. `GET /standin/ran` returns the requests that ran and the most
    slots ever in use; `since` and `received_since` are the numbers of rows to skip
    because they were read before. `PUT /standin/faults` sets the faults.
    """

    def __init__(self, name: str, slots: int = 8, port: int = 0) -> None:
        """Start without faults."""
        super().__init__(port)
        self.name = name
        self.slots = slots
        self.faults = UpstreamFaults()
        self._lock = threading.Lock()
        self._in_use = 0
        self._silenced: frozenset[socket.socket] = frozenset()
        self.peak_slots = 0
        self.over_slots = 0
        self.ran: list[CompletedRequest] = []
        self.received: list[str] = []
        self.leaving_since_s: float | None = None
        self.answer_headers: dict[str, str] = {}

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults."""
        if faults.leaving and not self.faults.leaving:
            self.leaving_since_s = time.time()
        silenced = self.connections.current() if faults.silent_existing else ()
        self._silenced = frozenset(silenced)
        self.faults = faults

    def serve(self, handler: BaseHTTPRequestHandler, call: Call) -> None:
        """Answer one call, or fail as the faults define."""
        if call.path.startswith("/standin/"):
            self.send(handler, self._control(call))
            return
        if self.faults.down:
            _reset(call.connection)
        if call.path == "/healthz":
            status = 503 if self.faults.leaving or self.faults.errors else 200
            state = "leaving" if self.faults.leaving else "serving"
            self.send(handler, Reply(status, {"state": state}))
            return
        self.received.append(call.headers.get("Jayshunt-Request-Id", ""))
        if self._is_silent(call.connection):
            self._stay_silent(call.connection)
        if self.faults.reset_before:
            _reset(call.connection)
        if self.faults.errors:
            self.send(handler, Reply(500, {"error": "broken"}))
            return
        reply = self._run(call)
        if self.faults.reset_after:
            handler.wfile.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(reply.body)
            )
            handler.wfile.write(reply.body[: len(reply.body) // 2])
            _reset(call.connection)
        self.send(handler, reply)

    def _run(self, call: Call) -> Reply:
        started_s, leaving = time.time(), self.faults.leaving
        with self._lock:
            self._in_use += 1
            self.peak_slots = max(self.peak_slots, self._in_use)
            self.over_slots += self._in_use > self.slots
        try:
            time.sleep(float(call.headers.get("Standin-Work-Ms", 5)) / 1000)
            time.sleep(self.faults.late_s)
        finally:
            request = call.headers.get("Jayshunt-Request-Id", "")
            with self._lock:
                self._in_use -= 1
                self.ran.append(
                    CompletedRequest(request, started_s, time.time(), leaving)
                )
        body = f"{self.name} {request} ".encode() + call.body
        headers = {"Content-Type": "text/plain", **self.answer_headers}
        if self.faults.leaving:
            headers["Connection"] = "close"
        return Reply(200, body=body, headers=headers)

    def _stay_silent(self, connection: socket.socket) -> None:
        while self._is_silent(connection):
            time.sleep(0.05)
        raise DropConnection

    def _is_silent(self, connection: socket.socket) -> bool:
        return self.faults.silent or connection in self._silenced

    def _control(self, call: Call) -> Reply:
        if call.method == "PUT":
            self.set_faults(UpstreamFaults(**call.json()))
        since = int(call.query.get("since", 0))
        received_since = int(call.query.get("received_since", 0))
        with self._lock:
            received = self.received[received_since:]
            ran = [vars(item) for item in self.ran[since:]]
        return Reply(
            200,
            {
                "name": self.name,
                "slots": self.slots,
                "peak_slots": self.peak_slots,
                "over_slots": self.over_slots,
                "received": received,
                "peak_connections": self.connections.peak,
                "leaving_since_s": self.leaving_since_s,
                "ran": ran,
            },
        )


def _reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    connection.close()
    raise DropConnection
