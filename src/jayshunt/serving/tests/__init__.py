"""Test the HTTP server."""
