"""Define claims and their stored form."""

import base64
from dataclasses import dataclass, replace
from enum import Enum
from hashlib import blake2b

from jayshunt.idempotency.const import KEPT_HEADERS, MAX_ANSWER_BYTES, SHARDS
from jayshunt.ids import EntryId, RequestId
from jayshunt.routing.messages import CallerAnswer, CallerRequest

ClaimId = str


class ClaimState(Enum):
    """States of a claim.

    STARTED: the request may have been sent and its outcome is not stored. DONE:
    it ran. RELEASED: it is certain that nothing was sent. UNKNOWN: whether it ran
    can no longer be determined.
    """

    STARTED = "started"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Holder:
    """Process that holds a claim."""

    entry: EntryId
    incarnation: int


@dataclass(frozen=True)
class Claim:
    """One claim; `changed_s` is wall time.

    `token` is new for each `begin`, so that two attempts with the same request id
    differ. `request_digest` covers method, target and body, so that reuse of a key
    for a different request is detected. `answer` is set only in DONE, and not if
    there was none or its body was larger than MAX_ANSWER_BYTES.
    """

    state: ClaimState
    holder: Holder
    request: RequestId
    token: str
    request_digest: str
    changed_s: float
    answer: CallerAnswer | None = None

    def with_state(
        self, state: ClaimState, now_s: float, answer: CallerAnswer | None = None
    ) -> "Claim":
        """Return a copy in another state; an answer over the limit is left out."""
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        return replace(self, state=state, changed_s=now_s, answer=answer)


def claim_id(request: CallerRequest) -> ClaimId:
    """Return the claim id of a request; each class has its own key space."""
    text = f"{request.work_class}\n{request.key}".encode()
    return blake2b(text, digest_size=16).hexdigest()


def shard_of(claim: ClaimId) -> int:
    """Return the shard of a claim, a number below SHARDS computed from its id."""
    return int(claim[:8], 16) % SHARDS


def digest_request(request: CallerRequest) -> str:
    """Return a digest of the method, target and body, which a retry must repeat."""
    digest = blake2b(digest_size=12)
    for part in (request.method.encode(), request.target.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def claim_content(claim: Claim) -> dict:
    """Return the stored form of a claim."""
    content = {
        "state": claim.state.value,
        "entry": claim.holder.entry,
        "incarnation": claim.holder.incarnation,
        "request": claim.request,
        "token": claim.token,
        "digest": claim.request_digest,
        "changed_s": round(claim.changed_s, 3),
    }
    if claim.answer is not None:
        kept = [[n, v] for n, v in claim.answer.headers if n.lower() in KEPT_HEADERS]
        content["status"] = claim.answer.status
        content["headers"] = kept
        content["body"] = base64.b64encode(claim.answer.body).decode()
    return content


def read_claim(content: dict) -> Claim:
    """Return the claim from its stored form."""
    answer = None
    if "status" in content:
        headers = tuple((name, value) for name, value in content["headers"])
        body = base64.b64decode(content["body"])
        answer = CallerAnswer(content["status"], headers, body)
    return Claim(
        ClaimState(content["state"]),
        Holder(EntryId(content["entry"]), content["incarnation"]),
        RequestId(content["request"]),
        content["token"],
        content["digest"],
        content["changed_s"],
        answer,
    )
