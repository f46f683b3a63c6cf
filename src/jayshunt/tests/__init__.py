"""Tests of the modules that all packages share."""
