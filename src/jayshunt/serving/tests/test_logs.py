"""Test that a slow reader of the log never blocks the process."""

import logging
import unittest

from jayshunt.logs import DROPPED_MESSAGE, BoundedHandler


class BoundedHandlerTest(unittest.TestCase):
    """Guard against a log whose reader has stopped reading."""

    def test_full_queue_drops_and_tells_how_many(self) -> None:
        """A full queue must neither block requests nor lose the count of drops."""
        handler = BoundedHandler(max_records=3)
        for number in range(5):
            handler.emit(logging.makeLogRecord({"msg": str(number)}))
        self.assertEqual(2, handler.dropped)
        for _ in range(3):
            handler.queue.get_nowait()
        handler.emit(logging.makeLogRecord({"msg": "next"}))
        summary = handler.queue.get_nowait()
        self.assertEqual((DROPPED_MESSAGE, 2), (summary.msg, summary.dropped))
        self.assertEqual("next", handler.queue.get_nowait().msg)


if __name__ == "__main__":
    unittest.main()
