"""Send callers' requests to upstream instances."""
