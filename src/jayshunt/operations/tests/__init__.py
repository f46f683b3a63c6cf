"""Test what operators read."""
