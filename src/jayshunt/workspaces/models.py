"""Define what a call presents, which keys are in force, and what a check returns."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import ConfigVersion, WorkspaceName
from jayshunt.workspaces.const import NO_WORKSPACE


class RefusalReason(Enum):
    """List why a call is refused; the values are those of the metric's label."""

    MISSING_KEY = "missing_key"
    MALFORMED_KEY = "malformed_key"
    UNKNOWN_KEY = "unknown_key"
    WITHDRAWN_KEY = "withdrawn_key"
    UNCONFIRMED_CONFIG = "unconfirmed_config"
    OTHER_WORKSPACE = "other_workspace"
    ID_TAKEN = "id_taken"


# --- what a call presents ----------------------------------------------------------


@dataclass(frozen=True)
class NoKey:
    """Represent a call without a key."""


@dataclass(frozen=True)
class MalformedKey:
    """Represent a call whose key can't be read; nothing of it is kept."""


@dataclass(frozen=True)
class PresentedKey:
    """Represent a call with a key, by the key's SHA-256 digest in hexadecimal."""

    digest: str


Credential = NoKey | MalformedKey | PresentedKey


# --- how current the configuration must be -----------------------------------------


@dataclass(frozen=True)
class AnyAge:
    """Keys of the configuration in force are accepted, however old it is."""


@dataclass(frozen=True)
class ConfirmedWithin:
    """Keys are accepted only if the store confirmed the configuration lately."""

    max_age_s: float


RevokePolicy = AnyAge | ConfirmedWithin


# --- keys in force -----------------------------------------------------------------


@dataclass(frozen=True)
class KeyRing:
    """Store the workspace of each key of one configuration version, by key digest.

    `withdrawn` holds keys of earlier versions that this one lacks, the newest last.
    """

    version: ConfigVersion
    workspaces: Mapping[str, WorkspaceName] = field(default_factory=dict)
    withdrawn: Mapping[str, WorkspaceName] = field(default_factory=dict)


# --- results -----------------------------------------------------------------------


@dataclass(frozen=True)
class Caller:
    """Represent a caller that may call the queue; public queues have no workspace."""

    workspace: WorkspaceName = NO_WORKSPACE


@dataclass(frozen=True)
class Refused:
    """Represent a refused call.

    `digest_prefix` and `workspace` are empty if the call's key or the key's workspace
    is not known.
    """

    reason: RefusalReason
    digest_prefix: str = ""
    workspace: WorkspaceName = NO_WORKSPACE


Identity = Caller | Refused
