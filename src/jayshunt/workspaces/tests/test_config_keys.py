"""Test what the follower of the configuration does with documents that hold keys."""

import threading
import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.config_follower import ConfigFollower
from jayshunt.dispatch.const import CONFIG_WATCH_S
from jayshunt.dispatch.store_models import Put, WatchAnswer
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.ids import Revision
from jayshunt.platform.formats import decode_config
from jayshunt.platform.store import PlatformStore
from jayshunt.platform.tests.scripted_server import ScriptedServer
from jayshunt.store.errors import StoreUnavailable
from jayshunt.workspaces.tests.builders import RIVER_KEY

KEY = "op/config"
VALID = b'{"version": 1, "tenants": []}'


class LateStore(FakeStore):
    """Answer each watch late by `delay_s`, for `watches` times."""

    def __init__(self, clock: ManualClock, stop: threading.Event) -> None:
        """Start with a configuration."""
        super().__init__()
        self.clock = clock
        self.stop = stop
        self.delay_s = 0.0
        self.watches = 1
        self.transact({}, (Put(KEY, VALID),))

    def watch(self, prefix, after, wait_s, stop=None) -> WatchAnswer:
        """Return no events after the wait and the delay."""
        self.clock.advance(wait_s + self.delay_s)
        self.watches -= 1
        if not self.watches:
            self.stop.set()
        return super().watch(prefix, after, wait_s, stop)


class ConfigKeysTest(unittest.TestCase):
    """Test the age of a configuration, and what is logged about a malformed one."""

    def setUp(self) -> None:
        """Follow a store on a manual clock."""
        self.clock = ManualClock(0.0)
        self.stop = threading.Event()
        self.store = LateStore(self.clock, self.stop)
        self.follower = ConfigFollower(self.store, self.clock, KEY, decode_config)

    def test_late_answer_confirms_the_time_at_which_it_was_given(self) -> None:
        """A key withdrawn meanwhile would be accepted for longer than allowed."""
        self.store.delay_s = 0.5
        self.follower.run(self.stop)
        self.assertEqual(CONFIG_WATCH_S, self.follower.read_s)

    def test_malformed_document_is_not_quoted(self) -> None:
        """A document that can't be decoded still holds keys of callers."""
        for value in (
            b'{"version": "%s"}',
            b'["%s"]',
            b'{"tenants": "%s", "version": [1',
            b'{"version": 2, "tenants": [{"apiKeys": ["%s"]}], "routes": [7]}',
            b'{"version": 2, "services": "%s", "tenants": {}}',
            b'"\xff%s"',
        ):
            self.store.transact({}, (Put(KEY, value % RIVER_KEY.encode()),))
            follower = ConfigFollower(self.store, self.clock, KEY, decode_config)
            self.stop.clear()
            self.store.watches = 1
            with self.assertLogs("jayshunt", "ERROR") as logs:
                follower.run(self.stop)
            self.assertIsNone(follower.current(), value)
            self.assertNotIn(RIVER_KEY, repr([vars(r) for r in logs.records]), value)

    def test_malformed_response_is_not_quoted(self) -> None:
        """The text of a decoding error was logged and held the whole response."""
        server = ScriptedServer()
        self.addCleanup(server.shutdown)
        server.answers = [(200, b"\xff" + RIVER_KEY.encode())]
        with self.assertRaises(StoreUnavailable) as caught:
            PlatformStore(server.address).watch(KEY, Revision(0), 0.1)
        self.assertNotIn(RIVER_KEY, str(caught.exception))


if __name__ == "__main__":
    unittest.main()
