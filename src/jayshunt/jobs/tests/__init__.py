"""Test the jobs package."""
