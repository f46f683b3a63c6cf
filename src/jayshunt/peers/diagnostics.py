"""Report the connections between entries."""

from jayshunt.peers.channels import PeerChannels


def describe(channels: PeerChannels) -> dict:
    """Return the addresses with a channel; keys are never shown."""
    return {
        "channels": channels.addresses(),
        "authenticated": channels.authenticated,
    }
