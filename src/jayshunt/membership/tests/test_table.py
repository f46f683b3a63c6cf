"""Test how member records are merged."""

import itertools
import unittest

from jayshunt.ids import EntryId
from jayshunt.membership.models import MemberState
from jayshunt.membership.table import MemberTable
from jayshunt.membership.tests.builders import build_member


class MemberTableTest(unittest.TestCase):
    """Test the precedence of member records."""

    def test_any_order_of_updates_gives_the_same_members(self) -> None:
        """A late update must not restore a state that a newer one replaced."""
        updates = [
            build_member("b", incarnation=1),
            build_member("b", incarnation=1, state=MemberState.SUSPECT),
            build_member("b", incarnation=1, state=MemberState.LOST),
            build_member("b", incarnation=2),
        ]
        for order in itertools.permutations(updates):
            table = MemberTable(build_member("a"))
            table.merge([build_member("b", incarnation=0)])
            for member in order:
                table.merge([member])
            self.assertEqual(table.find(EntryId("b")), updates[-1])

    def test_member_refutes_its_own_loss(self) -> None:
        """A live member that others declare lost must raise its incarnation."""
        table = MemberTable(build_member("a", incarnation=3))
        lost = build_member("a", incarnation=3, state=MemberState.LOST)
        changed = table.merge([lost]).changed
        self.assertEqual(changed, (build_member("a", incarnation=4),))

    def test_outdated_update_does_not_restore_a_forgotten_member(self) -> None:
        """An outdated update must not add a forgotten member again."""
        table = MemberTable(build_member("a"))
        alive = build_member("b", incarnation=5)
        lost = build_member("b", incarnation=5, state=MemberState.LOST)
        table.merge([alive, lost])
        table.forget(EntryId("b"))
        merged = table.merge([alive])
        self.assertIsNone(table.find(EntryId("b")))
        self.assertEqual(merged.corrections, (lost,))
        table.merge([build_member("b", incarnation=6)])
        self.assertEqual(table.find(EntryId("b")).incarnation, 6)

    def test_old_loss_counts_as_suspicion(self) -> None:
        """A loss declared across a partition must not remove a live member."""
        table = MemberTable(build_member("a"))
        table.merge([build_member("b")])
        lost = build_member("b", state=MemberState.LOST)
        table.merge([lost], lost_as_suspect=True)
        self.assertIs(table.find(EntryId("b")).state, MemberState.SUSPECT)
