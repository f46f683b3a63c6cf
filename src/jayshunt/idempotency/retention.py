"""Limit the age and size of the claims in a document."""

from collections.abc import Callable

from jayshunt.errors import JayshuntError
from jayshunt.idempotency.const import (
    CLAIM_OVERHEAD_BYTES,
    MAX_ANSWER_BYTES,
    MAX_SHARD_BYTES,
    RETENTION_S,
    RETRY_AFTER_S,
)
from jayshunt.idempotency.models import ClaimId, ClaimState, Holder
from jayshunt.ids import EntryId

# Space reserved for a new claim and the body of the answer that may be stored with
# it, without its headers; base64 takes four characters for three bytes.
NEW_CLAIM_BYTES = CLAIM_OVERHEAD_BYTES + MAX_ANSWER_BYTES * 4 // 3


def evict_claims(
    claims: dict[ClaimId, dict], now_s: float, is_gone: Callable[[Holder], bool]
) -> dict[ClaimId, dict]:
    """Return the claims without the expired ones, with space for a new claim.

    Claims past the retention are evicted first, then others, the oldest first. A
    STARTED claim is never evicted unless its holder is gone; if only such claims are
    left, the new one is refused with `claims_full`. `is_gone` returns whether a
    holder is lost or was restarted.
    """
    oldest_s = now_s - RETENTION_S
    kept = {
        identity: content
        for identity, content in claims.items()
        if content["changed_s"] >= oldest_s or _may_run(content, is_gone)
    }
    total_bytes = sum(stored_bytes(content) for content in kept.values())
    if total_bytes + NEW_CLAIM_BYTES <= MAX_SHARD_BYTES:
        return kept
    for identity, content in sorted(kept.items(), key=lambda c: c[1]["changed_s"]):
        if _may_run(content, is_gone):
            continue
        total_bytes -= stored_bytes(content)
        del kept[identity]
        if total_bytes + NEW_CLAIM_BYTES <= MAX_SHARD_BYTES:
            return kept
    raise JayshuntError(
        "claims_full",
        step="idempotency.claim",
        retry_after_s=RETRY_AFTER_S,
        detail=f"{len(kept)} marked requests are in progress",
    )


def stored_bytes(content: dict) -> int:
    """Return the approximate size of a stored claim."""
    headers = sum(len(n) + len(v) + 8 for n, v in content.get("headers", ()))
    return CLAIM_OVERHEAD_BYTES + len(content.get("body", "")) + headers


def _may_run(content: dict, is_gone: Callable[[Holder], bool]) -> bool:
    if content["state"] != ClaimState.STARTED.value:
        return False
    return not is_gone(Holder(EntryId(content["entry"]), content["incarnation"]))
