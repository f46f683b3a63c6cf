"""Test the store slice."""
