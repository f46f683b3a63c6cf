"""Route callers' requests to upstream instances."""
