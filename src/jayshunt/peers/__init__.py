"""Connect entries to each other over gRPC."""
