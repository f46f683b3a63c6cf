"""Decide from a call's key which workspace calls, or why the call is refused."""

import threading
from collections import Counter
from collections.abc import Callable
from itertools import islice

from jayshunt.clock import Clock
from jayshunt.dispatch.models import Bounds, FleetConfig, QueueConfig
from jayshunt.ids import ConfigVersion, WorkspaceName
from jayshunt.workspaces.const import (
    DIGEST_PREFIX_CHARS,
    MAX_WITHDRAWN_KEYS,
    NO_WORKSPACE,
)
from jayshunt.workspaces.models import (
    AnyAge,
    Caller,
    ConfirmedWithin,
    Credential,
    Identity,
    KeyRing,
    MalformedKey,
    NoKey,
    PresentedKey,
    RefusalReason,
    Refused,
    RevokePolicy,
)
from jayshunt.workspaces.refusals import RefusalLog

# Below the first version that the operator can store.
NO_KEYS = KeyRing(ConfigVersion(-1))


def needs_key(config: FleetConfig, queue: QueueConfig) -> bool:
    """Return whether calls to a queue need a key of a workspace."""
    return config.requires_keys and not queue.is_public


def revoke_policy(bounds: Bounds) -> RevokePolicy:
    """Return how current the configuration must be by the deployment's bounds."""
    if not bounds.is_revoke_strict:
        return AnyAge()
    return ConfirmedWithin(bounds.revoke_ms / 1000)


def replace_keys(before: KeyRing, config: FleetConfig) -> KeyRing:
    """Return the keys of a configuration, which replace those of an earlier version.

    A key that several workspaces list belongs to the first of them.
    """
    workspaces: dict[str, WorkspaceName] = {}
    for row in config.workspaces:
        for digest in row.key_digests:
            workspaces.setdefault(digest, row.workspace)
    known = {**before.withdrawn, **before.workspaces}
    gone = [(k, name) for k, name in known.items() if k not in workspaces]
    excess = max(0, len(gone) - MAX_WITHDRAWN_KEYS)
    return KeyRing(config.version, workspaces, dict(islice(gone, excess, None)))


def is_confirmed(policy: RevokePolicy, age_s: float | None) -> bool:
    """Return whether a configuration that was confirmed `age_s` ago may be used.

    The age is None if the store never confirmed it.
    """
    match policy:
        case AnyAge():
            return True
        case ConfirmedWithin(max_age_s):
            return age_s is not None and age_s < max_age_s


def identify(credential: Credential, keys: KeyRing, is_current: bool) -> Identity:
    """Return the caller of a queue that needs a key, or why the call is refused.

    If the configuration is not current, no key can be accepted or called unknown.
    """
    match credential:
        case NoKey():
            return Refused(RefusalReason.MISSING_KEY)
        case MalformedKey():
            return Refused(RefusalReason.MALFORMED_KEY)
        case PresentedKey(digest):
            workspace = keys.workspaces.get(digest)
            if workspace is not None and is_current:
                return Caller(workspace)
            return _refuse_key(digest, workspace, keys, is_current)


def _refuse_key(
    digest: str, workspace: WorkspaceName | None, keys: KeyRing, is_current: bool
) -> Refused:
    prefix = digest[:DIGEST_PREFIX_CHARS]
    if not is_current:
        reason = RefusalReason.UNCONFIRMED_CONFIG
        return Refused(reason, prefix, workspace or NO_WORKSPACE)
    former = keys.withdrawn.get(digest)
    if former is None:
        return Refused(RefusalReason.UNKNOWN_KEY, prefix)
    return Refused(RefusalReason.WITHDRAWN_KEY, prefix, former)


class Authenticator:
    """Check the key of each call against the configuration in force.

    Serves a few thousand calls a second on half a core: the keys are indexed once for
    each configuration version, and a call costs one lookup.
    """

    def __init__(
        self,
        bounds: Bounds,
        clock: Clock,
        confirmed_s: Callable[[], float | None],
        refusals: RefusalLog,
    ) -> None:
        """Start without keys.

        `confirmed_s` returns the monotonic time at which the store last confirmed the
        configuration, None before the first time.
        """
        self._policy = revoke_policy(bounds)
        self._clock = clock
        self._confirmed_s = confirmed_s
        self._refusals = refusals
        self._keys = NO_KEYS
        self._lock = threading.Lock()

    def check(self, config: FleetConfig, credential: Credential) -> Identity:
        """Return the caller of a queue that needs a key, or why it is refused."""
        keys = self._keys
        if keys.version < config.version:
            keys = self._index(config)
        is_current = is_confirmed(self._policy, self._config_age_s())
        identity = identify(credential, keys, is_current)
        if isinstance(identity, Refused):
            self._refusals.record(
                identity.reason,
                key_digest=identity.digest_prefix,
                workspace=identity.workspace,
                version=keys.version,
            )
        return identity

    def describe(self) -> dict:
        """Return counts for the state dump; it contains no key and no digest."""
        keys = self._keys
        return {
            "version": keys.version,
            "keys": dict(Counter(keys.workspaces.values())),
            "withdrawn_keys": len(keys.withdrawn),
            "config_age_s": self._config_age_s(),
            "refused": self._refusals.counts(),
        }

    def _config_age_s(self) -> float | None:
        confirmed_s = self._confirmed_s()
        return None if confirmed_s is None else self._clock.monotonic_s() - confirmed_s

    def _index(self, config: FleetConfig) -> KeyRing:
        """Index the keys of a version, unless a later one is indexed already.

        A thread that read the configuration before others did must not bring withdrawn
        keys back.
        """
        with self._lock:
            if self._keys.version < config.version:
                self._keys = replace_keys(self._keys, config)
            return self._keys
