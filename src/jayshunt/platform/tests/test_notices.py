"""Test that notices to the dispatcher are bounded."""

import json
import threading
import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.link import (
    MAX_NOTICES_BYTES,
    MAX_REPORTS,
    NOTICE_TRIES,
    DispatcherLink,
)
from jayshunt.dispatch.tests.builders import JOB
from jayshunt.errors import JayshuntError
from jayshunt.platform.server_limits import MIN_BODY_BYTES


class RecordingLink(DispatcherLink):
    """Record the calls to the dispatcher, which refuses all of them."""

    def __init__(self) -> None:
        """Start without calls."""
        super().__init__(None, None, ManualClock(), None)
        self.bodies: list[bytes] = []
        self.stop = threading.Event()

    def _call(self, call: str, body: dict, wait_s: float) -> dict:
        self.bodies.append(json.dumps(body).encode())
        if len(self.bodies) > NOTICE_TRIES:
            self.stop.set()
        raise JayshuntError("refused", step="test")


class NoticesTest(unittest.TestCase):
    """Guard against notices that fill the memory or that no dispatcher accepts."""

    def test_batches_fit_into_a_call(self) -> None:
        """A batch over the limit of the peers' port would be refused for ever."""
        link = RecordingLink()
        for _ in range(100):
            link.notify_accepted(JOB, b'"' * 20_000, 1)
        self.assertEqual(2, len(link._take_batch()))
        link.send_notices(link.stop)
        self.assertLess(max(map(len, link.bodies)), MIN_BODY_BYTES)

    def test_refused_batch_is_dropped(self) -> None:
        """Later notices must not wait for one that is refused each time."""
        link = RecordingLink()
        link.notify_cancelled(JOB)
        sent = threading.Thread(target=link.send_notices, args=(link.stop,))
        sent.start()
        while len(link.bodies) < NOTICE_TRIES:
            sent.join(0.001)
        link.notify_accepted(JOB, b"{}", 1)
        sent.join(5.0)
        self.assertIn(b"accepted", link.bodies[-1])

    def test_queue_is_bounded_by_bytes(self) -> None:
        """Notices of large jobs wait while no dispatcher answers."""
        link = RecordingLink()
        link.notify_accepted(JOB, b"x" * 1_000_000, 1)
        self.assertEqual(0, link._notices.qsize())
        with self.assertLogs("jayshunt.dispatch.link", "WARNING"):
            for _ in range(500):
                link.notify_accepted(JOB, b"x" * 20_000, 1)
        self.assertLessEqual(link._notices.qsize() * 20_000, MAX_NOTICES_BYTES)
        while link._notices.qsize():
            link._take_batch()
        self.assertEqual(0, link._notices_bytes)

    def test_reports_are_bounded(self) -> None:
        """A client of the peers' port could report under any number of names."""
        link = RecordingLink()
        for number in range(MAX_REPORTS + 10):
            link.record_report({"entry": f"e-{number}", "store_answer_age_s": 0.1})
        self.assertEqual(MAX_REPORTS, len(link.reports()))


if __name__ == "__main__":
    unittest.main()
