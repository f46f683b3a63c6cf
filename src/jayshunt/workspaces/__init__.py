"""Authenticate callers by the keys of workspaces, and check who owns a job."""
