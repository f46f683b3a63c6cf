"""Test that a slow reader of the log never blocks the process."""

import json
import logging
import sys
import unittest

from jayshunt.logs import (
    DROPPED_MESSAGE,
    MAX_EXCEPTION_CHARS,
    MAX_QUEUED_BYTES,
    MAX_TEXT_CHARS,
    BoundedHandler,
    JsonFormatter,
)


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

    def test_queue_is_bounded_by_bytes(self) -> None:
        """Tracebacks take many times the memory of plain records."""
        handler = BoundedHandler()
        for _ in range(1_500):
            record = {"msg": "", "exc_text": "x" * MAX_EXCEPTION_CHARS}
            handler.emit(logging.makeLogRecord(record))
        self.assertGreater(handler.dropped, 0)
        queued = handler.queue.qsize()
        self.assertLessEqual(queued * MAX_EXCEPTION_CHARS, MAX_QUEUED_BYTES)
        while handler.queue.qsize():
            handler.queue.get_nowait()
        self.assertEqual(0, handler.queue._held_bytes)

    def test_records_hold_no_long_texts_or_frames(self) -> None:
        """Queued records must not keep the bodies of the requests they tell of."""
        handler = BoundedHandler()
        try:
            raise ValueError("x" * 100_000)
        except ValueError as error:
            logger = logging.getLogger("test")
            record = logger.makeRecord(
                "test",
                40,
                "",
                0,
                "%s",
                (error,),
                sys.exc_info(),
                extra={"a": "y" * 9999},
            )
            handler.emit(record)
        queued = handler.queue.get_nowait()
        self.assertIsNone(queued.exc_info or queued.args)
        self.assertLessEqual(len(queued.msg) + len(queued.a), 2 * MAX_TEXT_CHARS)
        line = json.loads(JsonFormatter().format(queued))
        self.assertLessEqual(len(line["exception"]), MAX_EXCEPTION_CHARS)


if __name__ == "__main__":
    unittest.main()
