"""Test the connections between entries."""

import logging
import os

# Expected warnings would hide the verdict of a test run.
logging.getLogger("jayshunt").addHandler(logging.NullHandler())
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
