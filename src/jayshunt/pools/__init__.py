"""Decide which VM serves which pool, and move VMs between pools."""
