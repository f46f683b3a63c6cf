"""Keep a summary of interference in the store, so that a successor starts with it."""

import logging
import threading

from jayshunt.clock import Clock
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.records import TERM_KEY
from jayshunt.dispatch.store_models import Put, TransactionResult
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import Revision
from jayshunt.interference.model import InterferenceModel
from jayshunt.interference.summary import decode_summary, encode_summary
from jayshunt.platform.store import LeaseGone, PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

SUMMARY_KEY = "jayshunt/interference"
WRITE_INTERVAL_S = 5.0


class SummaryStore:
    """Read the summary once in a term, and write it while something is learned.

    A write is conditional on the term and on the record's revision. Images with names
    that a reader would refuse are left out.
    """

    def __init__(
        self,
        model: InterferenceModel,
        lock: threading.RLock,
        store: PlatformStore,
        term_condition: dict[str, Revision],
        clock: Clock,
    ) -> None:
        """Store a summary of `model`, which `lock` guards."""
        self._model = model
        self._lock = lock
        self._store = store
        self._term_condition = term_condition
        self._clock = clock
        self._revision = Revision(0)
        self._is_read = False
        self._written_observations = 0

    def run(self, stop: threading.Event) -> None:
        """Write the summary until stopped; raise TermEnded once the term is lost."""
        while not self._clock.wait(stop, WRITE_INTERVAL_S):
            try:
                self.write()
            except (StoreUnavailable, StoreOutcomeUnknown) as error:
                _LOGGER.info(
                    "interference: the summary was not stored",
                    extra={"reason": str(error)},
                )

    def read(self) -> None:
        """Add what earlier terms learned; do nothing if it was read before.

        Without an answer of the store, the term starts without it.
        """
        if self._is_read:
            return
        try:
            item = self._store.get(SUMMARY_KEY)
        except (StoreUnavailable, StoreOutcomeUnknown) as error:
            _LOGGER.info(
                "interference: the summary was not read", extra={"reason": str(error)}
            )
            return
        self._is_read = True
        if item is None or item.value is None:
            return
        self._revision = item.revision
        try:
            summary = decode_summary(item.value)
        except DECODE_ERRORS as error:
            _LOGGER.warning(
                "interference: ignoring a malformed summary",
                extra={"reason": repr(error)},
            )
            return
        age_s = max(0.0, self._clock.now_s() - summary.saved_at_s)
        with self._lock:
            self._model.merge(
                summary.pairs, summary.bases, self._clock.monotonic_s(), age_s
            )
        _LOGGER.info(
            "interference: read the summary",
            extra={"pairs": len(summary.pairs), "age_s": round(age_s, 1)},
        )

    def write(self) -> None:
        """Write the summary if anything was learned since the last write.

        Raise TermEnded if the term's key changed, and StoreUnavailable or
        StoreOutcomeUnknown as the store does.
        """
        with self._lock:
            observations = self._model.observations
            if observations == self._written_observations:
                return
            summary = self._model.summarize(
                self._clock.monotonic_s(), self._clock.now_s()
            )
        put = Put(SUMMARY_KEY, encode_summary(summary))
        result = self._transact(put)
        if result.revision is None:
            self._apply_conflict(result)
            result = self._transact(put)
        if result.revision is not None:
            self._revision = result.revision
            self._written_observations = observations

    def _transact(self, put: Put) -> TransactionResult:
        expected = {**self._term_condition, SUMMARY_KEY: self._revision}
        try:
            return self._store.transact(expected, (put,))
        except LeaseGone as error:
            raise TermEnded("the term's lease is gone") from error

    def _apply_conflict(self, result: TransactionResult) -> None:
        """Take over the record's revision; raise TermEnded if the term's key changed.

        While the term holds, the record can only have changed by a write of this term
        whose answer was lost, or before a summary that was not read.
        """
        found = {
            item.key: item.revision
            for item in result.conflicts
            if item.value is not None
        }
        if found.get(TERM_KEY) != self._term_condition[TERM_KEY]:
            raise TermEnded("the term's key changed")
        self._revision = found.get(SUMMARY_KEY, Revision(0))
