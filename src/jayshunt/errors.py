"""Define the errors that all packages raise."""

from enum import Enum

# What decoding a malformed document can raise: OverflowError for a number such as
# 1e999, RecursionError for deeply nested JSON.
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class Outcome(Enum):
    """Whether the work of a failed call ran.

    NOT_RUN is used only when it is certain that nothing ran. Where that cannot
    be known the outcome is UNKNOWN. RAN means that the work ran although the call
    failed, for example because its answer was not kept.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class JayshuntError(Exception):
    """Error with a stable code, the step that failed and the peer.

    `code` is stable across versions and documented for callers. `step` names
    the step at which the failure arose, `peer` the other end (an address or an
    id), or "" when there is none. `retry_after_s` is the number of seconds after
    which a new attempt is useful, or None if no time is known.
    """

    def __init__(
        self,
        code: str,
        *,
        step: str,
        peer: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
        detail: str = "",
    ) -> None:
        """Initialize the error; `detail` defaults to the code."""
        super().__init__(detail or code)
        self.code = code
        self.step = step
        self.peer = peer
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.detail = detail or code

    def __str__(self) -> str:
        """Return one line for the log."""
        peer = f" peer={self.peer}" if self.peer else ""
        return f"{self.detail} (code={self.code} step={self.step}{peer})"
