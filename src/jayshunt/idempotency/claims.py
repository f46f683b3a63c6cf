"""Claim idempotency keys in the store before their requests are sent."""

import logging
import threading
import uuid
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.idempotency.const import (
    CLAIM_TIMEOUT_S,
    FLUSH_INTERVAL_S,
    MAX_PENDING_FINISHES,
    RETRY_AFTER_S,
    shard_key,
)
from jayshunt.idempotency.models import (
    Claim,
    ClaimId,
    ClaimState,
    Holder,
    claim_content,
    claim_id,
    digest_request,
    read_claim,
    shard_of,
)
from jayshunt.idempotency.retention import evict_claims
from jayshunt.membership.models import MembershipView, MemberState
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.store.documents import Content
from jayshunt.store.errors import StoreUnavailable
from jayshunt.store.group_commit import GroupCommitter

_LOGGER = logging.getLogger(__name__)

STEP = "idempotency.claim"


class ClaimStore:
    """Claims that let a request with an idempotency key be sent once, by any entry.

    `begin` writes a claim before the request is sent, `finish` writes its outcome.
    `is_gone(holder)` returns whether the process that holds a claim is lost or was
    restarted; a lost one may still report its outcome.
    """

    def __init__(
        self,
        own: Holder,
        commits: GroupCommitter,
        is_gone: Callable[[Holder], bool],
        clock: Clock,
    ) -> None:
        """Start without active claims."""
        self._own = own
        self._commits = commits
        self._is_gone = is_gone
        self._clock = clock
        self._lock = threading.Lock()
        self._active: dict[ClaimId, Claim] = {}
        self._unwritten: dict[str, tuple[ClaimId, Claim]] = {}
        self._refused: Counter[str] = Counter()

    def begin(
        self, request: CallerRequest, timeout_s: float = CLAIM_TIMEOUT_S
    ) -> CallerAnswer | None:
        """Claim a request before it is sent; return its stored answer if there is one.

        Nothing happens for a request that may be repeated or has no key. Raise
        JayshuntError `in_progress`, `outcome_unknown`, `already_run`, `key_reused`,
        `claims_full` or `store_unavailable`; only the first three mean that an
        attempt of this request was or may have been sent. The caller sends the
        request only if this returns None, and then calls `finish` once.
        """
        if not needs_claim(request):
            return None
        identity = claim_id(request)
        claim = Claim(
            ClaimState.STARTED,
            self._own,
            request.request,
            uuid.uuid4().hex[:12],
            digest_request(request),
            self._clock.now_s(),
        )
        existing: list[Claim] = []

        def change(content: Content | None) -> Content | None:
            existing.clear()
            return self._with_claim(content, identity, claim, existing)

        self._wait(self._submit(identity, change), timeout_s, identity, claim)
        if existing:
            return self._answer_retry(existing[0])
        with self._lock:
            self._active[identity] = claim
        return None

    def finish(
        self, request: CallerRequest, result: CallerAnswer | JayshuntError
    ) -> None:
        """Store the outcome of a claimed request, without waiting for the write.

        An error with outcome NOT_RUN releases the claim. One with outcome UNKNOWN
        sets it to unknown. A write that fails is retried by `run`, up to
        MAX_PENDING_FINISHES at a time. Nothing happens for a request that this
        process did not claim.
        """
        if not needs_claim(request):
            return
        identity = claim_id(request)
        with self._lock:
            claim = self._active.pop(identity, None)
        if claim is None:
            return
        final = _final_claim(claim, result, self._clock.now_s())
        with self._lock:
            if len(self._unwritten) < MAX_PENDING_FINISHES:
                self._unwritten[final.token] = (identity, final)
        self._write_outcome(identity, final)

    def run(self, stop: threading.Event) -> None:
        """Retry failed writes of outcomes until stopped."""
        while not stop.is_set():
            self._clock.wait(stop, FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Submit again every outcome that is not yet in the store."""
        with self._lock:
            unwritten = dict(self._unwritten)
        for identity, final in unwritten.values():
            self._write_outcome(identity, final)

    def counts(self) -> dict[str, int]:
        """Return the refusals of retries by code and the number of pending writes."""
        with self._lock:
            return {**self._refused, "unwritten_ends": len(self._unwritten)}

    def _submit(self, identity: ClaimId, change: Callable) -> Future:
        return self._commits.submit(shard_key(shard_of(identity)), change)

    def _with_claim(
        self,
        content: Content | None,
        identity: ClaimId,
        claim: Claim,
        existing: list[Claim],
    ) -> Content | None:
        claims = (content or {}).get("claims", {})
        stored = claims.get(identity)
        if stored is not None:
            known = read_claim(stored)
            self._check_same(known, claim)
            if known.state is not ClaimState.RELEASED and known.token != claim.token:
                if known.state is ClaimState.STARTED and self._is_gone(known.holder):
                    known = known.with_state(ClaimState.UNKNOWN, claim.changed_s)
                    existing.append(known)
                    claims = {**claims, identity: claim_content(known)}
                    return {**content, "claims": claims}
                existing.append(known)
                return None
        claims = evict_claims(claims, claim.changed_s, self._is_gone)
        return {
            **(content or {}),
            "claims": {**claims, identity: claim_content(claim)},
        }

    def _check_same(self, known: Claim, claim: Claim) -> None:
        if known.request_digest != claim.request_digest:
            raise self._refusal(
                "key_reused",
                Outcome.NOT_RUN,
                "the key was used for a request with another method, path or body",
                None,
            )

    def _wait(
        self,
        future: Future,
        timeout_s: float,
        identity: ClaimId,
        claim: Claim,
    ) -> None:
        try:
            future.result(timeout_s)
        except TimeoutError:
            if not future.cancel():
                # The claim may still be written, but its request will not be sent.
                self._release_later(identity, claim)
            raise StoreUnavailable(
                STEP, "store", "the claim was not written in time"
            ) from None
        except JayshuntError as error:
            if error.outcome is not Outcome.UNKNOWN:
                raise
            # The claim may be written, but its request was not and will not be sent.
            self._release_later(identity, claim)
            raise StoreUnavailable(STEP, error.peer, error.detail) from error

    def _release_later(self, identity: ClaimId, claim: Claim) -> None:
        final = claim.with_state(ClaimState.RELEASED, self._clock.now_s())
        with self._lock:
            self._unwritten[final.token] = (identity, final)

    def _answer_retry(self, known: Claim) -> CallerAnswer:
        held_by = f"request {known.request} at {known.holder.entry}"
        match known.state:
            case ClaimState.DONE if known.answer is not None:
                return known.answer
            case ClaimState.DONE:
                raise self._refusal(
                    "already_run",
                    Outcome.RAN,
                    f"{held_by} ran; its answer was too large to keep",
                    None,
                )
            case ClaimState.UNKNOWN:
                raise self._refusal(
                    "outcome_unknown",
                    Outcome.UNKNOWN,
                    f"whether {held_by} ran cannot be found out",
                    None,
                )
        raise self._refusal(
            "in_progress",
            Outcome.UNKNOWN,
            f"{held_by} may still run",
            RETRY_AFTER_S,
        )

    def _write_outcome(self, identity: ClaimId, final: Claim) -> None:
        def change(content: Content | None) -> Content | None:
            claims = (content or {}).get("claims", {})
            stored = claims.get(identity)
            # A claim that was evicted or replaced by a later request's stays so.
            if stored is None or not _is_same_attempt(read_claim(stored), final):
                return None
            return {**content, "claims": {**claims, identity: claim_content(final)}}

        def done(future: Future) -> None:
            if future.cancelled() or future.exception() is not None:
                _LOGGER.info(
                    "idempotency: the outcome of %s was not written", final.request
                )
                return
            with self._lock:
                self._unwritten.pop(final.token, None)

        try:
            self._submit(identity, change).add_done_callback(done)
        except StoreUnavailable:
            _LOGGER.warning(
                "idempotency: the outcome of %s was not written", final.request
            )

    def _refusal(
        self, code: str, outcome: Outcome, detail: str, retry_after_s: float | None
    ) -> JayshuntError:
        with self._lock:
            self._refused[code] += 1
        return JayshuntError(
            code,
            step=STEP,
            outcome=outcome,
            retry_after_s=retry_after_s,
            detail=detail,
        )


def needs_claim(request: CallerRequest) -> bool:
    """Return whether a request must be claimed before it is sent."""
    return not request.repeatable and request.key is not None


def holder_gone_check(view: Callable[[], MembershipView]) -> Callable[[Holder], bool]:
    """Return a predicate that is true if a holder is lost or was restarted.

    A holder that is not in the view is not known to be gone. One that is declared
    lost may still return and report the outcome, which then replaces `unknown`.
    """

    def is_gone(holder: Holder) -> bool:
        member = view().find(holder.entry)
        if member is None:
            return False
        is_newer = member.incarnation > holder.incarnation
        return is_newer or member.state is MemberState.LOST

    return is_gone


def _is_same_attempt(stored: Claim, final: Claim) -> bool:
    # A holder that was taken for gone may still return and report the outcome.
    is_open = stored.state in (ClaimState.STARTED, ClaimState.UNKNOWN)
    return is_open and stored.token == final.token


def _final_claim(
    claim: Claim, result: CallerAnswer | JayshuntError, now_s: float
) -> Claim:
    match result:
        case JayshuntError(outcome=Outcome.NOT_RUN):
            return claim.with_state(ClaimState.RELEASED, now_s)
        case JayshuntError(outcome=Outcome.UNKNOWN):
            return claim.with_state(ClaimState.UNKNOWN, now_s)
        case JayshuntError():
            return claim.with_state(ClaimState.DONE, now_s)
    return claim.with_state(ClaimState.DONE, now_s, result)
