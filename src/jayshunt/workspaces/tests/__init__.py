"""Test the decisions about workspaces."""
