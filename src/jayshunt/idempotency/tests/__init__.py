"""Test the idempotency package."""
