"""Test the measurements."""
