"""Test the store slice."""

import logging

# Expected warnings would hide the verdict of a test run.
logging.getLogger("jayshunt").addHandler(logging.NullHandler())
