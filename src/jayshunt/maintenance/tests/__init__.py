"""Test the maintenance slice."""
