"""Describe the connections between entries for diagnostics."""

from jayshunt.peers.channels import PeerChannels


def describe(channels: PeerChannels) -> dict:
    """Return the addresses that have a channel; keys are never included."""
    return {
        "channels": channels.addresses(),
        "authenticated": channels.authenticated,
    }
