"""Test the routing slice."""
