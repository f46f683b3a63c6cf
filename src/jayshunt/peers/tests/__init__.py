"""Test the connections between entries."""

import logging
import os

# Without a handler, expected warnings would hide the result of a test run.
logging.getLogger("jayshunt").addHandler(logging.NullHandler())
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
