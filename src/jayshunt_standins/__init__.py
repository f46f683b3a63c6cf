"""Stand in for the platform, the upstreams and the workers in tests."""
