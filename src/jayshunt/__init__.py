"""Manage fleet capacity and maintenance for shared upstreams."""

__version__ = "0.1.0"
