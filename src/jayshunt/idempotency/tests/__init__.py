"""Test the idempotency slice."""
