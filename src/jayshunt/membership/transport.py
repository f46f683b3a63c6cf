"""Define the transport interface of membership calls."""

from collections.abc import Callable
from typing import Protocol

from jayshunt.ids import EntryId
from jayshunt.membership.messages import Exchange

OnExchange = Callable[[Exchange | None], None]
OnProbe = Callable[[float | None], None]


class MembershipTransport(Protocol):
    """Send calls asynchronously; the callback receives None for a failed call."""

    def exchange(self, address: str, message: Exchange, on_reply: OnExchange) -> None:
        """Send an exchange and pass the reply to `on_reply`."""

    def probe(self, address: str, entry: EntryId, on_reply: OnProbe) -> None:
        """Ask a peer for the seconds since a member's last heartbeat.

        `on_reply` also gets None if the peer received no heartbeat of the member.
        """
