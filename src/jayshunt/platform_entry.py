"""Create and connect the components of an entry on the users' platform.

Such an entry dispatches jobs in the formats of `jayshunt.platform`. The command
`jayshunt entry` runs `composition.EntryProcess` instead.
"""

import logging
import random
import threading

from jayshunt.clock import SystemClock
from jayshunt.dispatch.config_follower import ConfigFollower
from jayshunt.dispatch.diagnostics import describe
from jayshunt.dispatch.dispatcher import Dispatcher
from jayshunt.dispatch.entry import EntryJobService
from jayshunt.dispatch.handover import HandoverMonitor
from jayshunt.dispatch.job_memory import JobMemory
from jayshunt.dispatch.link import DispatcherLink
from jayshunt.dispatch.memory_budget import divide_memory
from jayshunt.dispatch.metrics import EntryMetrics
from jayshunt.dispatch.models import EntryNode, Resources, Worker
from jayshunt.dispatch.peer_api import PeerApi, ReadyApi
from jayshunt.dispatch.stop_limits import count_stoppable_runs
from jayshunt.dispatch.suspicion import DispatcherFailureDetector
from jayshunt.dispatch.term import OwnTerm, TermElection
from jayshunt.ids import WorkspaceName
from jayshunt.platform.const import CONFIG_KEY
from jayshunt.platform.formats import decode_config
from jayshunt.platform.front_api import FrontApi
from jayshunt.platform.server_limits import (
    CurrentSizes,
    caller_limits,
    peer_limits,
    readiness_limits,
)
from jayshunt.platform.store import PlatformStore
from jayshunt.platform.worker_calls import WorkerClient
from jayshunt.serving.http_server import HttpServer
from jayshunt.tasks import TaskGroup
from jayshunt.workspaces.authentication import Authenticator
from jayshunt.workspaces.limits import limits_of
from jayshunt.workspaces.refusals import RefusalLog

_LOGGER = logging.getLogger(__name__)


class PlatformEntry:
    """Components of one entry; the dispatcher runs here while it holds the term."""

    def __init__(self, node: EntryNode) -> None:
        """Create the components without starting them."""
        self._node = node
        self._clock = SystemClock()
        rng = random.Random()
        self._store = PlatformStore(node.store)
        self._config = ConfigFollower(
            self._store, self._clock, CONFIG_KEY, decode_config
        )
        self._election = TermElection(
            node, self._store, self._clock, rng, self._make_dispatcher
        )
        failure_detector = DispatcherFailureDetector(
            node.entry, node.zone, self._store, self._clock
        )
        self._link = DispatcherLink(
            self._election,
            self._store,
            self._clock,
            failure_detector,
            JobMemory(divide_memory(node.memory_mb).jobs_bytes).room(),
        )
        self._handover_monitor = HandoverMonitor(
            self._election, self._link, self._store, self._clock
        )
        self._metrics = EntryMetrics(self._store, self._link)
        refusals = RefusalLog(self._clock, self._metrics.observe_key_refusal)
        self._authenticator = Authenticator(
            node.bounds, self._clock, lambda: self._config.read_s, refusals
        )
        self._job_service = EntryJobService(
            self._store,
            self._link,
            self._clock,
            refusals,
            self._limit_of,
            self._metrics.observe_refusal,
            count_stoppable_runs(node.bounds),
        )
        self._tasks = TaskGroup("entry")
        self._front_server = HttpServer(
            *node.front,
            FrontApi(
                self._job_service,
                self._config.current,
                self._metrics.observe_answer,
                self._authenticator,
            ),
            caller_limits(node),
            sizes=CurrentSizes(node, self._config.current),
            name="front",
        )
        self._ready_server = HttpServer(
            *node.ready,
            ReadyApi(self._is_ready),
            readiness_limits(node),
            name="readiness",
        )
        self._peer_server = HttpServer(
            *node.peer,
            PeerApi(self._link, self._dump, self._metrics.render),
            peer_limits(node),
            name="peers",
        )
        self._metrics.describe_servers = self._describe_servers

    def start(self) -> None:
        """Start every component."""
        node = self._node
        _LOGGER.info(
            "entry: starting",
            extra={"entry": node.entry, "zone": node.zone, "front": str(node.front)},
        )
        for task in (
            self._config.run,
            self._election.follow,
            self._election.renew,
            self._link.send_notices,
            self._link.poll_refusals,
            self._handover_monitor.run,
        ):
            self._tasks.supervise(task)
        for server in (self._peer_server, self._ready_server, self._front_server):
            server.start()

    def stop(self) -> None:
        """Hand over the dispatch, answer accepted requests, stop every component."""
        _LOGGER.info("entry: stopping")
        self._front_server.begin_stop()
        self._election.leave()
        self._front_server.stop()
        self._tasks.stop(timeout_s=0.3)
        self._ready_server.stop()
        self._peer_server.stop()
        _LOGGER.info("entry: stopped")

    def _is_ready(self) -> bool:
        if self._config.current() is None or self._front_server.draining:
            return False
        return not self._job_service.is_isolated()

    def _make_dispatcher(self, own: OwnTerm) -> Dispatcher:
        dispatcher = Dispatcher(
            self._node,
            own,
            self._store,
            self._clock,
            self._config.current,
            lambda reason: self._on_deposed(own, reason),
            _connect_worker,
        )
        dispatcher.planner.observe_wait = self._metrics.observe_task_wait
        self._link.own_dispatcher = dispatcher
        self._link.handover_lease = None
        return dispatcher

    def _on_deposed(self, own: OwnTerm, reason: str) -> None:
        if own.has_ended:
            return
        own.has_ended = True
        _LOGGER.warning("dispatch: lost the term", extra={"reason": reason})
        threading.Thread(target=self._election.resign, daemon=True).start()

    def _limit_of(self, workspace: WorkspaceName) -> Resources | None:
        return limits_of(self._config.current()).get(workspace)

    def _dump(self) -> dict:
        state = describe(
            self._node, self._config, self._election, self._link, self._authenticator
        )
        return {**state, "servers": self._describe_servers()}

    def _describe_servers(self) -> dict[str, dict]:
        servers = (self._front_server, self._ready_server, self._peer_server)
        return {server.name: server.diagnostics() for server in servers}


def _connect_worker(worker: Worker, token: int) -> WorkerClient:
    return WorkerClient(worker.worker, worker.address, token)
