"""Test the forecast of demand."""
