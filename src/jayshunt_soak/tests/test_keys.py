"""Test that the checks of the soak detect keys that are answered wrongly."""

import unittest

from jayshunt_soak.keys import KeyProbe, ProbeKind, check_keys

DISTURBED = [(90.0, 100.0)]


class KeyChecksTest(unittest.TestCase):
    """Check calls in and out of the time that entries have for a change."""

    def test_each_wrong_answer_is_found(self) -> None:
        """A soak whose check finds nothing would show that keys work."""
        withdrawn, added = ProbeKind.WITHDRAWN_KEY, ProbeKind.ADDED_KEY
        other = ProbeKind.OTHER_WORKSPACE
        for kind, changed_s, sent_s, status, is_wrong in (
            (withdrawn, 10.0, 12.9, 200, False),
            (withdrawn, 10.0, 13.1, 200, True),
            (withdrawn, 10.0, 13.1, 401, False),
            (withdrawn, 95.0, 99.0, 410, False),
            (withdrawn, 95.0, 100.1, 410, True),
            (withdrawn, 95.0, 100.1, 503, False),
            (added, 10.0, 13.1, 401, True),
            (added, 95.0, 99.0, 401, False),
            (other, 0.0, 95.0, 200, True),
            (other, 0.0, 95.0, 409, False),
            (other, 0.0, 95.0, 410, False),
        ):
            probe = KeyProbe(kind, changed_s, sent_s, status, "GET a1")
            found = check_keys([probe], DISTURBED)
            self.assertEqual(is_wrong, bool(found), probe)


if __name__ == "__main__":
    unittest.main()
