"""Tests of the store package."""

import logging

# Expected warnings would hide the result of a test run.
logging.getLogger("jayshunt").addHandler(logging.NullHandler())
