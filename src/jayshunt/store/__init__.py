"""Keep what must last in the platform's key-value service."""
