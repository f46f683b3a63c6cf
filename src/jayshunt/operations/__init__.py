"""Let operators see and steer the deployment."""
