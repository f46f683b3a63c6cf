"""Test the membership slice."""
