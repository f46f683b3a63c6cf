"""Run the real programs under seeded faults and check what callers were promised."""
