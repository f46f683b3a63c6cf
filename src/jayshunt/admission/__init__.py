"""Admit requests by granting slots of a pool's instances in one zone."""
