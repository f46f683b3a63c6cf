"""Test the settings slice."""
