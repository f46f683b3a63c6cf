"""Test the translation to and from the platform's protocols."""
