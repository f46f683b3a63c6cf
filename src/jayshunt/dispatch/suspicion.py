"""End the term of a dispatcher that others cannot reach, before its lease runs out.

Two entries have to find it silent, of two zones unless it lasts, and both have to
reach the store. That is safe although the holder may be alive: workers refuse its
token once its successor called them, its writes depend on the term's key, and the
successor leaves the VMs that it ordered lately, and for a lease more the workers
that are out of reach, alone.
"""

import json
import logging
from dataclasses import asdict, dataclass, replace
from enum import Enum

from jayshunt.clock import Clock
from jayshunt.dispatch.records import SUSPECT_KEY
from jayshunt.dispatch.store_models import Item, Put, Term
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, Revision, ZoneName
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)

# A holder that was suspended for less than this renews its lease before others can
# replace it; a slow call of an entry takes 0.6 s.
SUSPECT_AFTER_S = 2.0
# Entries of one zone may only have lost their path to the others.
ONE_ZONE_AFTER_S = 3.5


@dataclass(frozen=True)
class Suspicion:
    """Hold which entry finds the holder of a token silent, as stored."""

    token: Revision
    entry: EntryId
    zone: ZoneName
    is_ended: bool = False


class SuspectAction(Enum):
    """Name what an entry does about a silent holder."""

    WAIT = "wait"
    RECORD = "record"
    END = "end"


def next_action(
    own: Suspicion, stored: Suspicion | None, silent_s: float
) -> SuspectAction:
    """Return what an entry does that finds the holder silent for some time."""
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
    """Return the stored form."""
    return json.dumps(asdict(suspicion)).encode()


def decode_suspicion(item: Item | None) -> Suspicion | None:
    """Return the suspicion that is stored, None if there is none."""
    if item is None or item.value is None:
        return None
    return Suspicion(**json.loads(item.value))


class DispatcherFailureDetector:
    """Own this entry's part in ending the term of a silent holder."""

    def __init__(
        self, entry: EntryId, zone: ZoneName, store: PlatformStore, clock: Clock
    ) -> None:
        """Start without a suspicion."""
        self._entry = entry
        self._zone = zone
        self._store = store
        self._clock = clock
        self._token: Revision | None = None
        self._silent_since_s = 0.0
        self._has_recorded = False

    def record_answer(self) -> None:
        """Take in that the holder answered; an own record of silence goes."""
        self._token = None
        if self._has_recorded:
            self._has_recorded = False
            self._withdraw()

    def record_silence(self, term: Term) -> None:
        """Take in that the holder of a term did not answer a call."""
        now_s = self._clock.monotonic_s()
        if self._token != term.token:
            self._token, self._silent_since_s = term.token, now_s
            return
        silent_s = now_s - self._silent_since_s
        if silent_s < SUSPECT_AFTER_S or self._store.failing_for_s() > 0:
            return
        try:
            self._act(term, silent_s)
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: a silent dispatcher is left to its lease",
                extra={"token": term.token, "reason": str(error)},
            )

    def _act(self, term: Term, silent_s: float) -> None:
        item = self._store.get(SUSPECT_KEY)
        own = Suspicion(term.token, self._entry, self._zone)
        stored = decode_suspicion(item)
        step = next_action(own, stored, silent_s)
        if step is SuspectAction.WAIT:
            return
        if step is SuspectAction.END and stored.is_ended:
            # Written again, the record would outlive the successor's care for it.
            self._store.end_lease(term.lease)
            return
        put = own if step is SuspectAction.RECORD else replace(own, is_ended=True)
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
                "step": step.value,
            },
        )
        self._has_recorded = step is SuspectAction.RECORD
        if step is SuspectAction.END:
            self._store.end_lease(term.lease)

    def _withdraw(self) -> None:
        try:
            item = self._store.get(SUSPECT_KEY)
            stored = decode_suspicion(item)
            if stored is None or stored.entry != self._entry or stored.is_ended:
                return
            self._store.transact({SUSPECT_KEY: item.revision}, (), (SUSPECT_KEY,))
        except JayshuntError as error:
            _LOGGER.info(
                "dispatch: a suspicion was not withdrawn", extra={"reason": str(error)}
            )
