"""Test the HTTP server towards callers."""
