"""Test the inventory slice."""
