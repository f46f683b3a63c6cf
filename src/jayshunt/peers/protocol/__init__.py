"""Contain the protocol between entries and its generated code."""
