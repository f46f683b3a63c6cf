"""Run several control nodes in one process, controlled by JSON lines on stdin."""

import json
import os
import resource
import socket
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from jayshunt.composition import EntryProcess
from jayshunt.errors import JayshuntError
from jayshunt.settings.loader import load_settings
from jayshunt_measure.control_node import ControlNode, NodePlan
from jayshunt_measure.traffic import Traffic, TrafficCounter

MAX_ACCEPTS = 32


class NodeHost:
    """Execute commands from stdin and write events to stdout, as JSON lines.

    A connection to the black hole address is accepted by the kernel and never answered.
    """

    def __init__(self) -> None:
        """Create the host without nodes."""
        self._nodes: dict[str, ControlNode] = {}
        self._lock = threading.Lock()
        self._traffic = TrafficCounter().start()
        self._executor = ThreadPoolExecutor(MAX_ACCEPTS)
        self._entry_process: EntryProcess | None = None
        self._black_hole_socket = socket.create_server(("127.0.0.1", 0), backlog=1024)
        port = self._black_hole_socket.getsockname()[1]
        self._black_hole_address = f"127.0.0.1:{port}"

    def run(self) -> None:
        """Execute commands until the end of the input."""
        for line in sys.stdin:
            command = json.loads(line)
            getattr(self, f"do_{command.pop('do')}")(**command)

    def do_start(self, plan: dict) -> None:
        """Start a node."""
        plan["seeds"] = tuple(plan["seeds"])
        node = ControlNode(NodePlan(**plan), self.report, self._black_hole_address)
        self._nodes[node.plan.entry] = node
        node.start()
        self.report({"event": "started", "entry": node.plan.entry})

    def do_full(self, settings: str) -> None:
        """Start a complete entry in this process."""
        self._entry_process = EntryProcess(load_settings(Path(settings)))
        self._entry_process.start()
        self.report({"event": "started", "entry": Path(settings).stem})

    def do_stop(self, entry: str, graceful: bool) -> None:
        """Stop a node."""
        self._nodes.pop(entry).stop(graceful)
        self.report({"event": "stopped", "entry": entry})

    def do_cut(self, entry: str, addresses: list[str]) -> None:
        """Cut a node off from exactly the given peers."""
        self._nodes[entry].channels.cut(frozenset(addresses))

    def do_accept(self, entry: str, name: str, quota: float) -> None:
        """Change the configuration at a node, as an operator does."""
        self._executor.submit(self._accept, entry, name, quota)

    def do_edit(self, entry: str, base: int, name: str, quota: float) -> None:
        """Send an edit that is based on version `base`, as an operator does."""
        self._executor.submit(self._accept, entry, name, quota, base)

    def do_load(self, entry: str, document: dict) -> None:
        """Replace the whole configuration document at a node."""
        self._nodes[entry].load(document)

    def do_stats(self, mark: str, services: dict[str, str]) -> None:
        """Report the resources that this process has used so far.

        `services` maps remote addresses to services; other addresses are peers.
        """
        groups = dict.fromkeys(("peers", *services.values()), 0)
        traffic = Traffic()
        for remote, part in self._traffic.by_remote().items():
            traffic += part
            groups[services.get(remote, "peers")] += part.payload_bytes
        nodes = [*self._nodes.values()] + (
            [self._entry_process] if self._entry_process else []
        )
        pages = int(open("/proc/self/statm").read().split()[1])
        self.report(
            {
                "event": "stats",
                "mark": mark,
                "pid": os.getpid(),
                "nodes": len(nodes),
                "is_controller": bool(
                    self._entry_process and self._entry_process.controller.holds_lease
                ),
                "cpu_s": time.process_time(),
                "payload_bytes": traffic.payload_bytes,
                **{f"{name}_bytes": value for name, value in groups.items()},
                "wire_bytes": traffic.wire_bytes,
                "segments": traffic.segments,
                "rss_bytes": pages * resource.getpagesize(),
                "threads": threading.active_count(),
                "store_calls": sum(n.store.calls for n in nodes),
                "store_writes": sum(n.store.writes for n in nodes),
            }
        )

    def report(self, event: dict) -> None:
        """Write one event with the monotonic time of the system."""
        line = json.dumps({**event, "at_s": time.monotonic()}) + "\n"
        with self._lock:
            sys.stdout.write(line)
            sys.stdout.flush()

    def _accept(
        self, entry: str, name: str, quota: float, base: int | None = None
    ) -> None:
        started_s = time.monotonic()
        event = {"event": "accepted", "entry": entry, "name": name, "quota": quota}
        event["base"] = base
        event["started_s"] = started_s
        try:
            node = self._nodes[entry]
            if base is None:
                snapshot = node.accept(name, quota)
            else:
                snapshot = node.edit(base, name, quota)
            event.update(version=snapshot.version, digest=snapshot.digest)
        except JayshuntError as error:
            event.update(event="refused", outcome=error.outcome.value, code=error.code)
        self.report(event)


if __name__ == "__main__":
    try:
        NodeHost().run()
    finally:
        # Skip the cleanup: many threads of the nodes are blocked in calls, and there is
        # no output left to flush.
        os._exit(0)
