"""Authenticate workspaces, and decide what each of them may run and submit."""
