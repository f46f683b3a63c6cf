"""Tests of interference between tasks that share a worker."""
