"""Keep a job from being accepted once its caller was told that it does not exist.

A submission may still be under way when its caller gives up and cancels the job: in an
entry that is paused, in a dispatcher that an entry asked, or in a write that the store
carries out late.
"""

import logging
import threading

from jayshunt.checked import describe_invalid
from jayshunt.clock import Clock
from jayshunt.dispatch.errors import JobWithdrawn
from jayshunt.dispatch.malformed import MalformedEntries
from jayshunt.dispatch.records import (
    accepted_key,
    decode_withdrawal,
    encode_withdrawal,
    withdrawn_key,
)
from jayshunt.dispatch.store_models import Item, Put, TransactionResult
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import JobId, LeaseId, Revision, WorkspaceName
from jayshunt.platform.store import LeaseGone, PlatformStore
from jayshunt.store.errors import StoreUnavailable
from jayshunt.workspaces.ownership import may_access

_LOGGER = logging.getLogger(__name__)

# The store removes a withdrawal after half of this time to all of it. A submission is
# under way for some seconds: ACCEPT_TIMEOUT_S, a pause, and a write that comes late.
WITHDRAWN_TTL_S = 120.0
MAX_TRIES = 3


class Withdrawals:
    """Record cancellations of unknown jobs, and store jobs that are not withdrawn.

    Each of the two writes depends on the other one's key, so that only the first takes
    effect, also if the store carries out the other one later. One lease removes the
    withdrawals of WITHDRAWN_TTL_S / 2 together.
    """

    def __init__(self, store: PlatformStore, clock: Clock) -> None:
        """Start without a lease; one is granted for the first withdrawal."""
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._lease: LeaseId | None = None
        self._lease_used_until_s = 0.0
        self._malformed = MalformedEntries()

    def withdraw(self, job: JobId, caller: WorkspaceName) -> bool:
        """Record that a caller cancelled a job that is not stored.

        Return False if it was stored meanwhile. Raise StoreUnavailable or
        StoreOutcomeUnknown as the store does.
        """
        put = Put(withdrawn_key(job), encode_withdrawal(caller), self._valid_lease())
        try:
            result = self._store.transact({accepted_key(job): Revision(0)}, (put,))
        except LeaseGone as error:
            with self._lock:
                self._lease = None
            raise StoreUnavailable("store.txn", put.key, "the lease ended") from error
        return result.revision is not None

    def store_job(
        self, job: JobId, value: bytes, workspace: WorkspaceName
    ) -> TransactionResult:
        """Store an accepted job unless its id is stored already.

        Raise JobWithdrawn if a caller that may cancel the job did so before, and
        StoreUnavailable or StoreOutcomeUnknown as the store does. The withdrawal of
        another workspace is replaced by the job.
        """
        key, removals = accepted_key(job), ()
        withdrawn_revision = Revision(0)
        for _ in range(MAX_TRIES):
            expected = {key: Revision(0), withdrawn_key(job): withdrawn_revision}
            result = self._store.transact(expected, (Put(key, value),), removals)
            found = {item.key: item for item in result.conflicts if item.value}
            if result.revision is not None or key in found:
                stored = (found[key],) if key in found else ()
                return TransactionResult(result.revision, stored)
            withdrawal = found.get(withdrawn_key(job))
            if withdrawal is None:
                # It expired meanwhile.
                withdrawn_revision, removals = Revision(0), ()
                continue
            caller = self._caller_of(withdrawal)
            if caller is not None and may_access(workspace, caller):
                _LOGGER.info(
                    "dispatch: a job is refused, it was cancelled before",
                    extra={"job": job, "workspace": workspace},
                )
                raise JobWithdrawn
            withdrawn_revision, removals = withdrawal.revision, (withdrawal.key,)
        raise StoreUnavailable("store.txn", key, "its withdrawals keep changing")

    def _valid_lease(self) -> LeaseId:
        with self._lock:
            now_s = self._clock.monotonic_s()
            if self._lease is None or now_s >= self._lease_used_until_s:
                granted = self._store.grant_lease(WITHDRAWN_TTL_S)
                self._lease = granted.lease
                self._lease_used_until_s = now_s + granted.ttl_s / 2
            return self._lease

    def _caller_of(self, withdrawal: Item) -> WorkspaceName | None:
        """Return who withdrew a job, None if the record is malformed."""
        try:
            return decode_withdrawal(withdrawal.value)
        except DECODE_ERRORS as error:
            reason = describe_invalid(error)
            self._malformed.log(withdrawal.key, withdrawal.revision, reason)
            return None
