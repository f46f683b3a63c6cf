"""Define how members reach each other."""

from collections.abc import Callable
from typing import Protocol

from jayshunt.ids import EntryId
from jayshunt.membership.messages import Exchange

OnExchange = Callable[[Exchange | None], None]
OnProbe = Callable[[float | None], None]


class MembershipTransport(Protocol):
    """Send calls without waiting; a callback receives None for a failed call."""

    def exchange(self, address: str, message: Exchange, on_reply: OnExchange) -> None:
        """Send an exchange and pass the reply on."""

    def probe(self, address: str, entry: EntryId, on_reply: OnProbe) -> None:
        """Ask a monitor for how many seconds it has not heard a member."""
