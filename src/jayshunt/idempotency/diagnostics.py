"""Describe the claims of this process for the dump."""

from jayshunt.idempotency.claims import ClaimStore


def describe(claims: ClaimStore) -> dict:
    """Return refusals by code and open ends; keys and answers are left out."""
    return claims.counts()
