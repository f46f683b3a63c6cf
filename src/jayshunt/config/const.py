"""Name the keys and limits of the configuration."""

CURRENT_KEY = "config/current"
HISTORY_PREFIX = "config/history/"
