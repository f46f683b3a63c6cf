"""Persist state in the platform's key-value service."""
