"""Show operators the state of the deployment and accept their changes."""
