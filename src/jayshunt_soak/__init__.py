"""Run the real programs under seeded faults and check the guarantees to callers."""
