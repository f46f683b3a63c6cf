"""Test the fault soak itself, and run a short one."""
