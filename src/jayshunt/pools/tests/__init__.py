"""Test the pools slice."""
