"""Manage fleet capacity and maintenance for shared upstreams."""

import os

# gRPC reads this when it is imported, which any package may do first. Its own
# messages on standard error would not have the format of the log.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

__version__ = "0.1.0"
