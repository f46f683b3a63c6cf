"""Stand in for the users' platform: store, list of VMs and workers, over HTTP."""
