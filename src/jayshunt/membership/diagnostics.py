"""Describe the state of membership for diagnostics."""

from jayshunt.membership.service import MembershipService


def describe(service: MembershipService) -> dict:
    """Return members, monitors and heartbeat ages for the diagnostic dump."""
    view = service.view()
    return {
        "view_version": view.version,
        "members": [
            {
                "entry": member.entry,
                "zone": member.zone,
                "region": member.region,
                "peer_address": member.peer_address,
                "incarnation": member.incarnation,
                "state": member.state.value,
                "program_version": member.program_version,
            }
            for member in view.members
        ],
        "monitors": [member.entry for member in service.node.monitors()],
        "silence_s": service.node.heartbeat_ages_s(),
    }
