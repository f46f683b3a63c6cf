"""Test that two versions of the program can exchange messages."""

import unittest

from jayshunt.membership.messages import Exchange
from jayshunt.membership.tests.builders import build_member
from jayshunt.membership.wire import exchange_from_message, exchange_to_message
from jayshunt.peers.protocol import peer_pb2

# Field 1000 with the varint 7, as a newer version could add.
UNKNOWN_FIELD = b"\xc0\x3e\x07"


class VersionsTest(unittest.TestCase):
    """Test mixed versions, as during a roll-out of the program itself."""

    def test_unknown_field_is_ignored(self) -> None:
        """A field that a newer version added must not break an exchange."""
        exchange = Exchange("a", (build_member("b"),), complete=True, digest=5)
        raw = exchange_to_message(exchange).SerializeToString() + UNKNOWN_FIELD
        read = peer_pb2.ExchangeMessage.FromString(raw)
        self.assertEqual(exchange_from_message(read), exchange)

    def test_unknown_state_leaves_the_other_members(self) -> None:
        """A state that only a newer version knows must not drop other members."""
        message = exchange_to_message(
            Exchange("a", (build_member("b"), build_member("c")))
        )
        message.members[0].state = "resting"
        members = exchange_from_message(message).members
        self.assertEqual([member.entry for member in members], ["c"])

    def test_missing_fields_of_an_older_version_have_defaults(self) -> None:
        """A record without region and digest, of an older version, must be accepted."""
        message = peer_pb2.ExchangeMessage(entry="a")
        message.members.add(entry="b", state="alive", incarnation=3)
        read = exchange_from_message(message)
        self.assertEqual((read.digest, read.members[0].incarnation), (0, 3))
