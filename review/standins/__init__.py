"""Stand-ins for callers, workers and the platform, used by the review's scripts."""
