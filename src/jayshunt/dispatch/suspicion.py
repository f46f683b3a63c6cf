"""End the term of an unreachable dispatcher before its lease expires.

Two entries that both reach the store must find it silent. They must be in different
zones, unless the silence lasts for ONE_ZONE_AFTER_S. This is safe even if the holder
is still running: workers refuse its token once its successor has called them, and its
writes are conditional on the term's key. The successor also issues no orders for VMs
that the holder ordered recently, and leaves unreachable workers alone for one more
term lease.
"""

import json
import logging
from dataclasses import asdict, dataclass, replace
from enum import Enum

from jayshunt.checked import describe_invalid
from jayshunt.clock import Clock
from jayshunt.dispatch.malformed import MalformedEntries
from jayshunt.dispatch.record_models import StoredSuspicion
from jayshunt.dispatch.records import SUSPECT_KEY
from jayshunt.dispatch.store_models import Item, Put, Term
from jayshunt.errors import DECODE_ERRORS, JayshuntError
from jayshunt.ids import EntryId, Revision, ZoneName
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)

# A holder suspended for less than this can renew its lease before it is replaced. It
# exceeds RENEW_STALL_S, so that a replaced holder asks the store before it acts. A call
# between entries may take 0.6 s, so one slow call does not suffice.
SUSPECT_AFTER_S = 2.0
# Two suspecting entries of one zone wait for this long, as their zone itself may be
# partitioned from the others.
ONE_ZONE_AFTER_S = 3.5


@dataclass(frozen=True)
class Suspicion:
    """Record, in the store, that an entry suspects the holder of a token.

    A second entry that agrees replaces it by its own with `is_ended` set, and then ends
    the lease.
    """

    token: Revision
    entry: EntryId
    zone: ZoneName
    is_ended: bool = False


class SuspectAction(Enum):
    """List what an entry can do about a silent holder."""

    WAIT = "wait"
    RECORD = "record"
    END = "end"


def next_action(
    own: Suspicion, stored: Suspicion | None, silent_s: float
) -> SuspectAction:
    """Return what an entry does after the holder was silent to it for `silent_s`."""
    if silent_s < SUSPECT_AFTER_S:
        return SuspectAction.WAIT
    if stored is None or stored.token != own.token:
        return SuspectAction.RECORD
    if stored.is_ended:
        return SuspectAction.END
    if stored.entry == own.entry:
        return SuspectAction.WAIT
    if stored.zone != own.zone or silent_s >= ONE_ZONE_AFTER_S:
        return SuspectAction.END
    return SuspectAction.WAIT


def encode_suspicion(suspicion: Suspicion) -> bytes:
    """Return a suspicion as JSON for the store."""
    return json.dumps(asdict(suspicion)).encode()


def decode_suspicion(
    item: Item | None, malformed: MalformedEntries | None = None
) -> Suspicion | None:
    """Return the suspicion in a store item, or None if it is absent or malformed.

    A malformed one is logged unless `malformed` shows that it was before.
    """
    if item is None or item.value is None:
        return None
    try:
        fields = StoredSuspicion.model_validate_json(item.value)
    except DECODE_ERRORS as error:
        log = malformed or MalformedEntries()
        log.log(SUSPECT_KEY, item.revision, describe_invalid(error))
        return None
    return Suspicion(
        Revision(fields.token),
        EntryId(fields.entry),
        ZoneName(fields.zone),
        fields.is_ended,
    )


class DispatcherFailureDetector:
    """Detect a silent dispatcher and end its term once another entry agrees."""

    def __init__(
        self, entry: EntryId, zone: ZoneName, store: PlatformStore, clock: Clock
    ) -> None:
        """Start with no suspicion of any holder."""
        self._entry = entry
        self._zone = zone
        self._store = store
        self._clock = clock
        self._token: Revision | None = None
        self._silent_since_s = 0.0
        self._has_stored_suspicion = False
        self._malformed = MalformedEntries()

    def record_answer(self) -> None:
        """Clear the silence and remove this entry's stored suspicion, if any."""
        self._token = None
        if self._has_stored_suspicion:
            self._has_stored_suspicion = False
            self._withdraw()

    def record_silence(self, term: Term, sent_s: float) -> None:
        """Record an unanswered call and act once the holder was silent for too long.

        The silence counts from `sent_s`, when its first unanswered call was sent, and
        only while this entry reaches the store: an entry that comes back from a network
        partition usually reaches the store first, and the holder a moment later.
        """
        if self._token != term.token:
            self._token, self._silent_since_s = term.token, sent_s
        silent_s = min(
            self._clock.monotonic_s() - self._silent_since_s,
            self._store.reachable_for_s(),
        )
        if silent_s < SUSPECT_AFTER_S:
            return
        try:
            self._act(term, silent_s)
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: failed to act on a silent dispatcher, its lease will expire",
                extra={"token": term.token, "reason": str(error)},
            )

    def _act(self, term: Term, silent_s: float) -> None:
        item = self._store.get(SUSPECT_KEY)
        own = Suspicion(term.token, self._entry, self._zone)
        stored = decode_suspicion(item, self._malformed)
        action = next_action(own, stored, silent_s)
        if action is SuspectAction.WAIT:
            return
        if action is SuspectAction.END and stored.is_ended:
            # The successor removes the record only at the revision that it read. One
            # that is written again would stay and delay each later successor.
            self._store.end_lease(term.lease)
            return
        put = own if action is SuspectAction.RECORD else replace(own, is_ended=True)
        revision = Revision(0) if item is None else item.revision
        result = self._store.transact(
            {SUSPECT_KEY: revision}, (Put(SUSPECT_KEY, encode_suspicion(put)),)
        )
        if result.revision is None:
            return
        _LOGGER.warning(
            "dispatch: the dispatcher is silent",
            extra={
                "dispatcher": term.entry,
                "token": term.token,
                "silent_s": round(silent_s, 2),
                "step": action.value,
            },
        )
        self._has_stored_suspicion = action is SuspectAction.RECORD
        if action is SuspectAction.END:
            self._store.end_lease(term.lease)

    def _withdraw(self) -> None:
        try:
            item = self._store.get(SUSPECT_KEY)
            stored = decode_suspicion(item, self._malformed)
            if stored is None or stored.entry != self._entry or stored.is_ended:
                return
            self._store.transact({SUSPECT_KEY: item.revision}, (), (SUSPECT_KEY,))
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: failed to remove a suspicion", extra={"reason": str(error)}
            )
