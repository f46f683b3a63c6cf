"""Tests of the configuration package."""

import logging

# Expected warnings would clutter the output of a test run.
logging.getLogger("jayshunt").addHandler(logging.NullHandler())
