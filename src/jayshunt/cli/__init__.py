"""Run jayshunt from the command line."""
