"""Check that callers of an entry that stops get an answer to each whole request."""

import http.client
import itertools
import random
import signal
import socket
import tempfile
import threading
import time
import unittest
from collections import Counter
from pathlib import Path
from typing import BinaryIO

from jayshunt_soak.const import HOST, PUBLIC_POOL, QUEUE_HOST
from jayshunt_soak.crowd_testbed import (
    CrowdTestbed,
    EntryLimits,
    EntryProcess,
    Port,
    wait_until_dispatching,
)
from jayshunt_soak.crowds import job_path, ordinary_job
from jayshunt_soak.platform import formats

CALLERS = 12
LIMITS = EntryLimits(memory_mb=300)
CHANGES = 30
CHANGES_BEFORE_STOP = 6
CHANGE_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 10.0


class Callers:
    """Call one entry on open connections until it takes no new ones.

    Some send their requests in pairs, some in two parts with a pause between them.
    `counts` has the answers by status, "unanswered" are whole requests without one.
    """

    def __init__(self, entry: EntryProcess) -> None:
        """Start the callers."""
        self._entry = entry
        self.counts: Counter[str] = Counter()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def wait(self) -> None:
        """Wait until all connections have ended."""
        for thread in self._threads:
            thread.join(STOP_TIMEOUT_S)

    def _run(self, number: int) -> None:
        rng = random.Random(number)
        while True:
            try:
                port = self._entry.port(Port.FRONT)
                connection = socket.create_connection((HOST, port), ANSWER_TIMEOUT_S)
            except OSError:
                return
            with connection, connection.makefile("rb") as answers:
                while self._exchange(connection, answers, number % 3, rng):
                    time.sleep(rng.uniform(0.0, 0.1))

    def _exchange(
        self,
        connection: socket.socket,
        answers: BinaryIO,
        style: int,
        rng: random.Random,
    ) -> bool:
        """Send one or two requests; return whether the connection goes on."""
        requests = [_request(rng) for _ in range(2 if style == 1 else 1)]
        data = b"".join(requests)
        cut = len(data) // 2 if style == 2 else len(data)
        answered, is_last = 0, False
        try:
            connection.sendall(data[:cut])
            if cut < len(data):
                time.sleep(rng.uniform(0.0, 0.3))
                connection.sendall(data[cut:])
            while answered < len(requests):
                status, is_last = _read_answer(answers)
                self.counts[status] += 1
                answered += 1
        except OSError:
            self.counts["unanswered"] += len(requests) - answered
            return False
        return not is_last


def _request(rng: random.Random) -> bytes:
    """Return a submission, or a question for the number of waiting jobs."""
    method, path, body = "GET", formats.queue_path(PUBLIC_POOL), b""
    if rng.random() < 0.5:
        method, path, body = "POST", job_path(rng.getrandbits(64)), ordinary_job()
    head = f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _read_answer(answers: BinaryIO) -> tuple[str, bool]:
    """Return the status of a whole answer, and whether it is the last one."""
    start = answers.readline().split()
    if not start:
        raise ConnectionError
    fields = http.client.parse_headers(answers)
    length = int(fields["Content-Length"])
    if len(answers.read(length)) < length:
        raise ConnectionError
    return start[1].decode(), fields["Connection"] == "close"


class StopTest(unittest.TestCase):
    """Stop the entry that dispatches, beside changes of settings and configuration."""

    def test_each_request_is_answered_through_a_stop(self) -> None:
        """Requests that had been received behind others lost their answer.

        SIGHUP and new configurations must cut none off, nor SIGHUP the stop itself.
        """
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        testbed = self.enterContext(CrowdTestbed(folder))
        for _ in range(2):
            # A port that is free belongs to an entry only once that listens.
            self.assertTrue(wait_until_dispatching(testbed.start_entry(LIMITS)))
        versions = itertools.count(2)
        all_callers = [Callers(entry) for entry in testbed.entries]
        for entry, callers in zip(testbed.entries, all_callers):
            for number in range(CHANGES):
                testbed.store.put(formats.CONFIG_KEY, formats.config(next(versions)))
                entry.process.send_signal(signal.SIGHUP)
                if number == CHANGES_BEFORE_STOP:
                    entry.process.send_signal(signal.SIGTERM)
                time.sleep(CHANGE_INTERVAL_S)
            self.assertEqual(0, entry.process.wait(STOP_TIMEOUT_S))
            callers.wait()
            self.assertEqual(0, callers.counts["unanswered"], callers.counts)
            self.assertGreater(callers.counts["200"], CALLERS, callers.counts)


if __name__ == "__main__":
    unittest.main()
