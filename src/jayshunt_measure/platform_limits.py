"""List the limits of an entry on the platform for the reference."""

from collections.abc import Callable, Iterator

from jayshunt import logs
from jayshunt.dispatch import link
from jayshunt.dispatch.memory_budget import max_idle_worker_connections
from jayshunt.dispatch.models import Address, Bounds, EntryNode
from jayshunt.ids import EntryId, ZoneName
from jayshunt.platform import formats
from jayshunt.platform.server_limits import (
    SOCKET_BUFFER_BYTES,
    caller_limits,
    peer_limits,
    readiness_limits,
    request_sizes,
)
from jayshunt.serving import const

MEMORY_MB = (128, 300)
MAX_FDS = 4_100
SERVERS = {
    "callers": caller_limits,
    "peers": peer_limits,
    "readiness": readiness_limits,
}
CONNECTIONS_FROM = "`limits.memoryMb` and `limits.maxFds`"
HELD_FROM = "`limits.memoryMb`; bodies, long heads, what decoding them takes"
BODY_FROM = {
    "callers": "`limits.maxBodyBytes` of the configuration, else 1 MB, and at most "
    "what the memory allows"
}
NONE_ADDRESS = Address("127.0.0.1", 1)


def platform_limit_rows() -> Iterator[tuple]:
    """Yield each limit, its value for each size of the memory, and its origin."""
    for name, limits in SERVERS.items():
        yield _row(
            f"{name}: open connections",
            lambda node, limits=limits: limits(node).max_connections,
            CONNECTIONS_FROM,
        )
        yield _row(
            f"{name}: bytes held for requests",
            lambda node, limits=limits: limits(node).max_held_body_bytes,
            HELD_FROM,
        )
        yield _row(
            f"{name}: bytes of a body",
            lambda node, limits=limits: limits(node).max_body_bytes,
            BODY_FROM.get(name, "fixed, at most what the memory allows"),
        )
    yield _row(
        "callers: bytes of a head",
        lambda node: request_sizes(node, None).max_head_bytes,
        "`limits.maxHeaderBytes` of the configuration, at most 65536",
    )
    yield _row(
        "idle connections to workers",
        lambda node: max_idle_worker_connections(node.max_fds),
        "`limits.maxFds`",
    )
    for name, value in (
        ("values in a submission", formats.MAX_VALUES),
        ("kernel buffer of a connection, doubled by Linux", SOCKET_BUFFER_BYTES),
        ("seconds until an idle thread ends", const.THREAD_IDLE_S),
        ("bytes of queued notices", link.MAX_NOTICES_BYTES),
        ("bytes of a job sent with a notice", link.MAX_NOTICE_BYTES),
        ("queued log records", logs.MAX_QUEUED_RECORDS),
        ("bytes of queued log records", logs.MAX_QUEUED_BYTES),
        ("characters of a text in a log record", logs.MAX_TEXT_CHARS),
    ):
        yield name, f"`{value}`", f"`{value}`", "fixed"


def _row(name: str, value: Callable[[EntryNode], object], origin: str) -> tuple:
    return name, *(f"`{value(_build_node(mb))}`" for mb in MEMORY_MB), origin


def _build_node(memory_mb: int) -> EntryNode:
    return EntryNode(
        entry=EntryId("entry"),
        zone=ZoneName("zone"),
        front=NONE_ADDRESS,
        ready=NONE_ADDRESS,
        peer=NONE_ADDRESS,
        store=NONE_ADDRESS,
        machines=None,
        advice=None,
        cpu_cores=1.0,
        memory_mb=memory_mb,
        heartbeat_ms=1_500,
        bounds=Bounds(),
        max_fds=MAX_FDS,
    )
