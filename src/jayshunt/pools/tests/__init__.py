"""Test the pools package."""
