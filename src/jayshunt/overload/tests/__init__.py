"""Test the decisions under overload."""
