"""Decide which jobs are admitted and served first while demand exceeds capacity."""
