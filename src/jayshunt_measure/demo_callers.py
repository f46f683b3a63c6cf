"""Send the demo's requests over persistent connections, as an application does."""

import http.client
import json
import random
import select
import time
from dataclasses import dataclass, field

from jayshunt_measure.testbed import EntryHandle, Testbed

CALL_TIMEOUT_S = 5.0
MAX_PAUSE_S = 0.05
# Like a load balancer, a caller avoids an entry that refuses connections for a time.
AVOID_S = 0.5
CLASSES = ("tables", "tasting")
PROBLEM_TYPE = "application/problem+json"


@dataclass(frozen=True)
class Sent:
    """Represent one request and the answer that its caller received.

    `status` is 0 if no complete answer was received. Times are monotonic seconds.
    """

    request: str
    entry: str
    started_s: float
    ended_s: float
    status: int
    outcome: str
    is_complete: bool


@dataclass
class DemoCaller:
    """Send requests one after another, over one persistent connection per entry.

    The client never retries a request, so that every request that an entry drops is
    counted.
    """

    number: int
    testbed: Testbed
    rng: random.Random
    sent: list[Sent] = field(default_factory=list)
    _connections: dict[str, http.client.HTTPConnection] = field(default_factory=dict)
    _avoided_until_s: dict[str, float] = field(default_factory=dict)

    def run(self, end_s: float) -> list[Sent]:
        """Send requests until the given monotonic time and return them."""
        while time.monotonic() < end_s:
            self._send_one(f"demo-{self.number}-{len(self.sent)}")
            time.sleep(self.rng.uniform(0, MAX_PAUSE_S))
        for connection in self._connections.values():
            connection.close()
        return self.sent

    def _send_one(self, request: str) -> None:
        method = self.rng.choice(("POST", "POST", "PUT"))
        path = f"/v1/classes/{self.rng.choice(CLASSES)}/book"
        headers = {
            "Jayshunt-Request-Id": request,
            "Standin-Work-Ms": str(self.rng.randint(2, 30)),
            "Content-Type": "text/plain",
        }
        entry, connection = self._connect()
        body = f"body-{request}"
        started_s = time.monotonic()
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            result = (0, "unknown", False)
        else:
            result = _read_result(response, data, request, body)
        times = started_s, time.monotonic()
        self.sent.append(Sent(request, entry.name, *times, *result))

    def _connect(self) -> tuple[EntryHandle, http.client.HTTPConnection]:
        while True:
            entry = self._choose()
            connection = self._connections.get(entry.name)
            if connection is None:
                host, _, port = entry.callers.rpartition(":")
                connection = http.client.HTTPConnection(
                    host, int(port), timeout=CALL_TIMEOUT_S
                )
                self._connections[entry.name] = connection
            if connection.sock is not None and _is_closed_by_peer(connection):
                connection.close()
            try:
                if connection.sock is None:
                    connection.connect()
                return entry, connection
            except OSError:
                # Nothing was sent, so the request can safely go to another entry.
                self._avoided_until_s[entry.name] = time.monotonic() + AVOID_S

    def _choose(self) -> EntryHandle:
        now_s = time.monotonic()
        entries = [
            entry
            for entry in self.testbed.entries
            if self._avoided_until_s.get(entry.name, 0.0) <= now_s
        ]
        return self.rng.choice(entries or self.testbed.entries)


def _read_result(
    response: http.client.HTTPResponse, data: bytes, request: str, body: str
) -> tuple[int, str, bool]:
    if response.headers.get("Content-Type") == PROBLEM_TYPE:
        return response.status, json.loads(data)["outcome"], False
    own_id = response.headers.get("Jayshunt-Request-Id") == request
    is_complete = own_id and data.endswith(f" {request} {body}".encode())
    return response.status, "ran", is_complete


def _is_closed_by_peer(connection: http.client.HTTPConnection) -> bool:
    readable, _, _ = select.select([connection.sock], [], [], 0)
    return bool(readable)
