"""Derive the limits of an entry's three servers from the memory of its VM."""

from collections.abc import Callable

from jayshunt.dispatch.memory_budget import (
    CALLERS_SHARE,
    PEERS_SHARE,
    READINESS_SHARE,
    ServerShare,
    divide_memory,
    max_connections,
    max_request_bytes,
)
from jayshunt.dispatch.models import EntryNode, FleetConfig
from jayshunt.platform.formats import MAX_VALUES
from jayshunt.serving.const import (
    MAX_HEAD_BYTES,
    RECEIVED_FACTOR,
    TEXT_FACTOR,
    VALUE_BYTES,
)
from jayshunt.serving.limits import ServerLimits, SizeLimits

# The limit of a caller's body where neither the configuration nor the memory sets one.
DEFAULT_BODY_BYTES = 1024 * 1024
# A job inside the limits of its fields takes less in any common encoding.
MIN_BODY_BYTES = 128 * 1024
# One job that an entry submits through the dispatcher, or a batch of notices.
PEER_BODY_BYTES = 512 * 1024
READINESS_BODY_BYTES = 4 * 1024
# A body takes several times its size while it is decoded.
MIN_HELD_BODIES = 10
# The configuration may allow longer heads than the default, up to this.
MAX_CONFIGURED_HEAD_BYTES = 64 * 1024
# The kernel doubles it. Jobs and answers of usual size fit into one buffer.
SOCKET_BUFFER_BYTES = 8 * 1024
# The balancer stops sending new connections after two missed readiness checks,
# one second apart.
READY_GRACE_S = 2.4
# The sum with READY_GRACE_S stays below the 6 s after which the platform sends
# SIGKILL. The stops of the background tasks and of the two other servers add to it.
DRAIN_TIMEOUT_S = 2.2
PEER_DRAIN_TIMEOUT_S = 0.5
# What a refused submission may have done elsewhere is not known before its job is
# looked up, and 503 would say that it never runs.
REFUSED_CALLER_STATUS = 504


def caller_limits(node: EntryNode) -> ServerLimits:
    """Return the limits of the callers' server; the configuration may lower them."""
    return _limits(
        node,
        CALLERS_SHARE,
        body_bytes=DEFAULT_BODY_BYTES,
        overload_status=REFUSED_CALLER_STATUS,
        drain_grace_s=READY_GRACE_S,
        drain_timeout_s=DRAIN_TIMEOUT_S,
    )


def peer_limits(node: EntryNode) -> ServerLimits:
    """Return the limits of the server for other entries, tools and metrics."""
    return _limits(
        node,
        PEERS_SHARE,
        body_bytes=PEER_BODY_BYTES,
        are_answers_charged=True,
        drain_grace_s=0.0,
        drain_timeout_s=PEER_DRAIN_TIMEOUT_S,
    )


def readiness_limits(node: EntryNode) -> ServerLimits:
    """Return the limits of the server for readiness checks, which have no bodies."""
    return _limits(
        node,
        READINESS_SHARE,
        body_bytes=READINESS_BODY_BYTES,
        drain_grace_s=0.0,
        drain_timeout_s=PEER_DRAIN_TIMEOUT_S,
    )


class CurrentSizes:
    """Limits of callers' requests by the configuration in force.

    They are derived once for each version, and not for each request.
    """

    def __init__(
        self, node: EntryNode, config: Callable[[], FleetConfig | None]
    ) -> None:
        """Use the configuration that `config` returns, None before the first one."""
        self._node = node
        self._config = config
        self._derived = (None, request_sizes(node, None))

    def __call__(self) -> SizeLimits:
        """Return the limits of the next request."""
        config = self._config()
        derived_from, sizes = self._derived
        if config is not derived_from:
            sizes = request_sizes(self._node, config)
            self._derived = (config, sizes)
        return sizes


def request_sizes(node: EntryNode, config: FleetConfig | None) -> SizeLimits:
    """Return the limits of a caller's request by the configuration and the memory."""
    head_bytes, body_bytes = MAX_HEAD_BYTES, DEFAULT_BODY_BYTES
    if config is not None:
        head_bytes = config.max_head_bytes or head_bytes
        body_bytes = config.max_body_bytes or body_bytes
    return SizeLimits(
        min(head_bytes, MAX_CONFIGURED_HEAD_BYTES),
        min(body_bytes, _largest_body_bytes(_held_bytes(node, CALLERS_SHARE))),
    )


def _limits(
    node: EntryNode, share: ServerShare, body_bytes: int, **others: object
) -> ServerLimits:
    budget = divide_memory(node.memory_mb)
    held_bytes = _held_bytes(node, share)
    body_bytes = min(body_bytes, _largest_body_bytes(held_bytes))
    return ServerLimits(
        max_connections=max_connections(budget, node.max_fds, share),
        max_body_bytes=body_bytes,
        max_held_body_bytes=max(held_bytes, MIN_HELD_BODIES * body_bytes),
        socket_buffer_bytes=SOCKET_BUFFER_BYTES,
        **others,
    )


def _held_bytes(node: EntryNode, share: ServerShare) -> int:
    """Return how many received bytes may be held, each with its copies."""
    budget = divide_memory(node.memory_mb)
    return int(max_request_bytes(budget, share) / RECEIVED_FACTOR)


def _largest_body_bytes(held_bytes: int) -> int:
    """Return the largest body that takes at most half of what may be held."""
    values_bytes = MAX_VALUES * VALUE_BYTES / RECEIVED_FACTOR
    left = (held_bytes / 2 - values_bytes) / (1 + TEXT_FACTOR / RECEIVED_FACTOR)
    return max(MIN_BODY_BYTES, int(left))
