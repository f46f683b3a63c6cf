"""Serve HTTP to callers, operators and peers."""
