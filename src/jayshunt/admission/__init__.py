"""Admit requests to the slots of a pool's instances in one zone."""
