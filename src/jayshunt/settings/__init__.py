"""Read the settings of one process."""
