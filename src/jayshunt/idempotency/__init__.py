"""Claim requests that must run at most once."""
