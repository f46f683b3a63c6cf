"""Read the platform's lagging list of VMs."""
