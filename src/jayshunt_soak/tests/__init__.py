"""Test the checks of the soak, and run short soaks."""
