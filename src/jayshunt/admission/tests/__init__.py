"""Test the admission slice."""
