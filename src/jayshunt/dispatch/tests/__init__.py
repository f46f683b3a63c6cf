"""Test the dispatch of jobs to workers."""
