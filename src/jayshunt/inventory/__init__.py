"""Read the platform's list of VMs, which may lag behind."""
