"""Store the operators' configuration and distribute it to every entry process."""
