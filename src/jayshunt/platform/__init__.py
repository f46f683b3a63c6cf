"""Translate between the domain model and the platform's protocols.

This package encodes, decodes and calls; it takes no scheduling decisions.
"""
