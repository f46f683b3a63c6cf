"""Define what entries tell each other of the configuration."""

from dataclasses import dataclass

from jayshunt.ids import ConfigVersion, EntryId


@dataclass(frozen=True)
class Notice:
    """Tell which version is in force at an entry."""

    entry: EntryId
    version: ConfigVersion
    digest: str = ""
    peer_address: str = ""
