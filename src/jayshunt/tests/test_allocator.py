"""Test the configuration of the C library's allocator."""

import unittest
from unittest import mock

from jayshunt import allocator


class AllocatorTest(unittest.TestCase):
    """Guard against an entry that cannot start with another C library."""

    def test_c_library_without_the_option(self) -> None:
        """The options are glibc's; without them the process must start all the same."""
        for library in (mock.Mock(spec=[]), OSError()):
            effect = {"side_effect": [library]}
            with mock.patch.object(allocator.ctypes, "CDLL", **effect):
                self.assertFalse(allocator.limit_free_memory())


if __name__ == "__main__":
    unittest.main()
