"""Define limits of the records about keys; times are in seconds."""

from jayshunt.ids import WorkspaceName

# The workspace of callers without a key, and of jobs that belong to no workspace.
NO_WORKSPACE = WorkspaceName("")

# Length of the prefix of a key's digest in logs: enough to find the key in the
# configuration, too short to be used in place of the key.
DIGEST_PREFIX_CHARS = 8
# How many withdrawn keys an entry remembers, to tell them from keys that never existed.
MAX_WITHDRAWN_KEYS = 1_000
# Log lines about refused calls in each period; further ones are only counted. A caller
# that retries with a wrong key must not push other lines out of the log.
MAX_REFUSAL_LINES = 50
REFUSAL_PERIOD_S = 10.0
