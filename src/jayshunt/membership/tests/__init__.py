"""Test the membership package."""

import logging

# Without a handler, expected warnings would hide the result of a test run.
logging.getLogger("jayshunt").addHandler(logging.NullHandler())
