"""Stand in for the users' platform over HTTP: store, list of VMs and workers."""
