"""Describe the claims of this process for the dump."""

from jayshunt.idempotency.claims import ClaimStore


def describe(claims: ClaimStore) -> dict:
    """Return refusals by code and unwritten outcomes, without keys and answers."""
    return claims.counts()
