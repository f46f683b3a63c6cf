"""Hold the operators' configuration and spread it to every process."""
