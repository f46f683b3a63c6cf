"""Test the jobs slice."""
