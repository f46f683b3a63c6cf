"""Test how measurements count."""
