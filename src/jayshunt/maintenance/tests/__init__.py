"""Test the maintenance package."""
