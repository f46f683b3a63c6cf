"""Read the key of a call."""

import hashlib
from collections.abc import Sequence

from jayshunt.workspaces.models import Credential, MalformedKey, NoKey, PresentedKey

AUTHORIZATION_FIELD = "authorization"
# Sent in the answer to a call without a valid key, as RFC 9110 requires.
CHALLENGE = ("WWW-Authenticate", "Token")

_SCHEME = "Token "


def read_credential(values: Sequence[str]) -> Credential:
    """Return what the values of a call's Authorization field present.

    The head is decoded as Latin-1, so that encoding it again yields the bytes that were
    sent. Only `Token KEY` is read, in this spelling, as the platform documents it.
    """
    match values:
        case []:
            return NoKey()
        case [value] if value.startswith(_SCHEME) and len(value) > len(_SCHEME):
            key = value[len(_SCHEME) :].encode("latin-1")
            return PresentedKey(hashlib.sha256(key).hexdigest())
        case _:
            return MalformedKey()
