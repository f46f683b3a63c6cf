"""Command-line interface of jayshunt."""
