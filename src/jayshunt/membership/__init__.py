"""Track which entries are alive, by heartbeats and gossip."""
