"""Name the limits of routing."""

CONNECT_TIMEOUT_MS = 500
MAX_IDLE_PER_INSTANCE = 16
# Instances close idle connections, and middleboxes forget them silently.
IDLE_LIMIT_S = 15.0
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)
