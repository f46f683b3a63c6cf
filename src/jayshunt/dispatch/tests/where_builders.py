"""Build a dispatcher with workers in different states, and questions to it."""

import json
import time
from types import SimpleNamespace

from jayshunt.clock import SystemClock
from jayshunt.dispatch.dispatcher import Dispatcher
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.link import DispatcherLink
from jayshunt.dispatch.peer_api import PeerApi
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.tests.builders import QUEUE, SPARE, build_vm
from jayshunt.dispatch.tests.fleet_builders import FakeFleet
from jayshunt.serving.cancellation import Cancellation
from jayshunt.serving.connection import IncomingRequest

JOB_TEXT = json.dumps(
    {"steps": [{"cpu": 6_000, "memMb": 4_000, "count": 2, "estimateMs": 400}]}
)
QUESTION = {"queue": QUEUE, "job": JOB_TEXT}


def build_ready_dispatcher(fleet: FakeFleet) -> Dispatcher:
    """Return a dispatcher whose workers have all answered; its loops do not run."""
    dispatcher = fleet.build_dispatcher()
    now_s = time.monotonic()
    dispatcher._own._now_s = time.monotonic
    dispatcher._own.record_renewal(now_s)
    dispatcher._intake._read_all()
    dispatcher.ready.set()
    dispatcher.worker_list_read = True
    dispatcher._workers._apply_all(fleet.store.list("servers/")[0])
    for view in dispatcher.tracker.workers.values():
        view.last_answer_s = view.last_heard_s = now_s
        view.record_clock(0, now_s)
    return dispatcher


def list_vms(dispatcher: Dispatcher, views: dict[str, WorkerView], spare: int) -> None:
    """Let the dispatcher know the VMs of its workers and some spare ones."""
    now_s = dispatcher.now_s()
    vms = [build_vm(name) for name in views]
    vms += [build_vm(f"s{n}", SPARE, worker=None) for n in range(spare)]
    dispatcher.fleet.inventory.apply_list(vms, now_s)
    departures = dispatcher.fleet.departures
    departures.recent_orders = RecentOrders.read(dispatcher._store, now_s, 3.0)


def views_by_name(dispatcher: Dispatcher) -> dict[str, WorkerView]:
    """Return the views of the workers by their names."""
    return {str(name): view for name, view in dispatcher.tracker.workers.items()}


def build_peer_api(fleet: FakeFleet, dispatcher: Dispatcher | None) -> PeerApi:
    """Return the peers' API of an entry that knows of no other dispatcher."""
    election = SimpleNamespace(term=None, incarnation="entry-1", entry="entry-1")
    link = DispatcherLink(election, fleet.store, SystemClock(), None)
    link.own_dispatcher = dispatcher
    return PeerApi(link, dict, bytes)


def ask(api: PeerApi, question: dict) -> tuple[str, dict]:
    """Return the status line and the fields of the answer to a question."""
    head = SimpleNamespace(method="POST", target="/dispatch/where")
    body = json.dumps(question).encode()
    request = IncomingRequest(head, body, "127.0.0.1", Cancellation())
    statuses: list[str] = []
    (body,) = api(
        {"jayshunt.request": request}, lambda status, _: statuses.append(status)
    )
    return statuses[0], json.loads(body)
