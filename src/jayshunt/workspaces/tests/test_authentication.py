"""Test which calls get past the check of their key."""

import logging
import unittest

from jayshunt.clock import ManualClock
from jayshunt.platform.credentials import read_credential
from jayshunt.workspaces.authentication import needs_key, replace_keys
from jayshunt.workspaces.const import MAX_REFUSAL_LINES, MAX_WITHDRAWN_KEYS
from jayshunt.workspaces.models import (
    Caller,
    KeyRing,
    MalformedKey,
    NoKey,
    RefusalReason,
)
from jayshunt.workspaces.tests.builders import (
    MOUNTAIN,
    MOUNTAIN_KEY,
    RIVER,
    RIVER_KEY,
    STRICT,
    build_authenticator,
    build_keyed_config,
    present,
)


class KeyTest(unittest.TestCase):
    """Test the keys of successive configurations."""

    def setUp(self) -> None:
        """Build an authenticator that keeps its configuration at any age."""
        self.clock = ManualClock(0.0)
        self.authenticator = build_authenticator(self.clock)
        logging.getLogger("jayshunt.workspaces").setLevel(logging.CRITICAL)
        self.addCleanup(
            logging.getLogger("jayshunt.workspaces").setLevel, logging.NOTSET
        )

    def check(self, config, key: str):
        """Return the caller's workspace or the reason of the refusal."""
        identity = self.authenticator.check(config, present(key))
        return identity.workspace if isinstance(identity, Caller) else (identity.reason)

    def test_withdrawn_key_is_refused_on_the_next_call(self) -> None:
        """A caller that stays connected would keep its access."""
        first = build_keyed_config(1, river=RIVER_KEY, mountain=MOUNTAIN_KEY)
        second = build_keyed_config(2, mountain=MOUNTAIN_KEY)
        self.assertEqual(RIVER, self.check(first, RIVER_KEY))
        self.assertEqual(RefusalReason.WITHDRAWN_KEY, self.check(second, RIVER_KEY))
        self.assertEqual(MOUNTAIN, self.check(second, MOUNTAIN_KEY))
        # A thread that read the first version before the second was indexed.
        self.assertEqual(RefusalReason.WITHDRAWN_KEY, self.check(first, RIVER_KEY))
        third = build_keyed_config(3, river=RIVER_KEY)
        self.assertEqual(RIVER, self.check(third, RIVER_KEY))

    def test_restarted_entry_knows_only_the_keys_it_read(self) -> None:
        """A key that was withdrawn before the start must not be accepted."""
        config = build_keyed_config(7, mountain=MOUNTAIN_KEY)
        self.assertEqual(RefusalReason.UNKNOWN_KEY, self.check(config, RIVER_KEY))
        self.assertEqual(RefusalReason.UNKNOWN_KEY, self.check(config, "Ü"))

    def test_withdrawn_keys_take_bounded_memory(self) -> None:
        """The grown sites replace keys several times a minute."""
        keys = KeyRing(0)
        for version in range(1, MAX_WITHDRAWN_KEYS + 10):
            keys = replace_keys(keys, build_keyed_config(version, river=f"k{version}"))
        self.assertEqual(MAX_WITHDRAWN_KEYS, len(keys.withdrawn))
        self.assertIn(present(f"k{version - 1}").digest, keys.withdrawn)

    def test_keys_are_needed_only_where_the_configuration_says_so(self) -> None:
        """Deployments without workspaces, and public queues, take calls without."""
        keyed = build_keyed_config(1)
        public = build_keyed_config(1, is_public=True)
        self.assertTrue(needs_key(keyed, keyed.queues[0]))
        self.assertFalse(needs_key(public, public.queues[0]))

    def test_malformed_fields_are_no_keys(self) -> None:
        """A field that is read differently by a proxy could name another key."""
        self.assertEqual(NoKey(), read_credential([]))
        token = f"Token {RIVER_KEY}"
        for values in (["Token "], [""], ["Bearer x"], ["Tokenx"], [token, token]):
            self.assertEqual(MalformedKey(), read_credential(values), values)


class StrictRevokeTest(unittest.TestCase):
    """Test an entry that the store does not answer."""

    def test_keys_of_an_old_configuration(self) -> None:
        """An entry that is cut off accepts withdrawn keys unless it is strict."""
        config = build_keyed_config(1, river=RIVER_KEY)
        for bounds, age_s, expected in (
            ({}, 60.0, RIVER),
            ({"bounds": STRICT}, 4.9, RIVER),
            ({"bounds": STRICT}, 5.0, RefusalReason.UNCONFIRMED_CONFIG),
        ):
            clock = ManualClock(0.0)
            checker = build_authenticator(clock, confirmed_s=lambda: 0.0, **bounds)
            clock.advance(age_s)
            identity = checker.check(config, present(RIVER_KEY))
            found = getattr(identity, "reason", identity.workspace)
            self.assertEqual(expected, found, age_s)

    def test_call_without_a_key_needs_no_configuration(self) -> None:
        """No version could accept it, so the caller need not come back."""
        checker = build_authenticator(ManualClock(), STRICT)
        identity = checker.check(build_keyed_config(1), NoKey())
        self.assertEqual(RefusalReason.MISSING_KEY, identity.reason)


class SecrecyTest(unittest.TestCase):
    """Test what is shown about keys."""

    def test_log_and_dump_hold_no_key(self) -> None:
        """Logs and dumps are read by people who may not call for a workspace."""
        checker = build_authenticator(ManualClock(0.0))
        checker.check(build_keyed_config(1, river=RIVER_KEY), present(RIVER_KEY))
        config = build_keyed_config(2, mountain=MOUNTAIN_KEY)
        with self.assertLogs("jayshunt.workspaces", "INFO") as logs:
            checker.check(config, present(RIVER_KEY))
        fields = vars(logs.records[0])
        self.assertEqual(present(RIVER_KEY).digest[:8], fields["key_digest"])
        self.assertEqual((RIVER, 2), (fields["workspace"], fields["version"]))
        shown = repr(fields) + repr(checker.describe())
        for key in (RIVER_KEY, MOUNTAIN_KEY):
            self.assertNotIn(key, shown)
            self.assertNotIn(present(key).digest, shown)

    def test_log_is_bounded(self) -> None:
        """A caller that retries with a wrong key would fill the log."""
        clock = ManualClock(0.0)
        checker = build_authenticator(clock)
        config = build_keyed_config(1)
        with self.assertLogs("jayshunt.workspaces", "INFO") as logs:
            for _ in range(MAX_REFUSAL_LINES + 5):
                checker.check(config, NoKey())
            self.assertEqual(MAX_REFUSAL_LINES, len(logs.records))
            clock.advance(60.0)
            checker.check(config, NoKey())
        self.assertEqual(5, logs.records[-1].omitted_lines)


if __name__ == "__main__":
    unittest.main()
