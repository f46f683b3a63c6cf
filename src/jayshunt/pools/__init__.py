"""Decide which VM serves which pool."""
