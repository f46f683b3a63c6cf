"""Tests of the inventory package."""
