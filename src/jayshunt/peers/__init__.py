"""Connect entries with each other over gRPC."""
