"""Manage fleet capacity and maintenance for shared upstreams."""

import os

# gRPC reads this at its import, which every slice may do first; its own lines on
# standard error would not have the log's format.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

__version__ = "0.1.0"
