"""Load the settings of an entry process."""
