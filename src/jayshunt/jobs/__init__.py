"""Run long jobs on workers."""
