"""Decide what the workspaces of a deployment may submit and run."""
