"""Connect entries with each other over gRPC."""

import os

# gRPC writes lines of its own format to standard error, beside the log.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
