"""Measure jayshunt against stand-ins on loopback."""
