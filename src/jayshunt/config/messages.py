"""Define the messages about configuration versions between entries."""

from dataclasses import dataclass

from jayshunt.ids import ConfigVersion, EntryId


@dataclass(frozen=True)
class Notice:
    """Announce the version that is in force on an entry."""

    entry: EntryId
    version: ConfigVersion
    digest: str = ""
    peer_address: str = ""
