"""Check the health of the instances of this entry's brokers."""

import io
import json
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

import pycurl

from jayshunt.admission.broker import Broker
from jayshunt.admission.const import (
    HEALTH_INTERVAL_S,
    HEALTH_PATH,
    HEALTH_STEP_S,
    HEALTH_TIMEOUT_MS,
)
from jayshunt.admission.instances import HealthReport
from jayshunt.clock import Clock
from jayshunt.ids import PoolName, VmId

_LOGGER = logging.getLogger(__name__)


@dataclass
class Check:
    """Represent a health check in progress."""

    broker: Broker
    vm: VmId
    handle: pycurl.Curl
    body: io.BytesIO


class HealthChecker:
    """Check every instance once a second, all concurrently on one thread."""

    def __init__(
        self, list_brokers: Callable[[], dict[PoolName, Broker]], clock: Clock
    ) -> None:
        """Create a checker; `list_brokers` returns this entry's brokers by pool."""
        self._list_brokers = list_brokers
        self._clock = clock
        self._due_s = 0.0

    def run(self, stop: threading.Event) -> None:
        """Check the instances that are due until stopped."""
        while not stop.is_set():
            self.check(self._select_due())
            self._clock.wait(stop, HEALTH_STEP_S)

    def check(self, chosen: list[tuple[Broker, VmId, str]]) -> None:
        """Check the given instances and report the results to their brokers."""
        if not chosen:
            return
        multi = pycurl.CurlMulti()
        checks = [_prepare(broker, vm, address) for broker, vm, address in chosen]
        by_handle = {check.handle: check for check in checks}
        for check in checks:
            multi.add_handle(check.handle)
        active = len(checks)
        while active:
            _, active = multi.perform()
            for handle in _finished_handles(multi):
                self._report(by_handle[handle])
            if active:
                multi.select(0.05)
        for check in checks:
            multi.remove_handle(check.handle)
            check.handle.close()
        multi.close()

    def _select_due(self) -> list[tuple[Broker, VmId, str]]:
        now_s = self._clock.monotonic_s()
        all_due = now_s >= self._due_s
        if all_due:
            self._due_s = now_s + HEALTH_INTERVAL_S
        chosen = []
        for broker in self._list_brokers().values():
            soon, broker.health_checks_due = broker.health_checks_due, set()
            for vm, state in list(broker.instances.states.items()):
                if all_due or vm in soon:
                    chosen.append((broker, vm, state.assignment.address))
        return chosen

    def _report(self, check: Check) -> None:
        check.broker.report_health(check.vm, _health_report(check))


def _prepare(broker: Broker, vm: VmId, address: str) -> Check:
    body = io.BytesIO()
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, f"http://{address}{HEALTH_PATH}")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.TIMEOUT_MS, HEALTH_TIMEOUT_MS)
    handle.setopt(pycurl.WRITEFUNCTION, body.write)
    handle.setopt(pycurl.HTTPHEADER, ["Connection: close"])
    return Check(broker, vm, handle, body)


def _finished_handles(multi: pycurl.CurlMulti) -> list[pycurl.Curl]:
    _, succeeded, failed = multi.info_read()
    return [*succeeded, *(item[0] for item in failed)]


def _health_report(check: Check) -> HealthReport:
    """Return the result of a finished check.

    An instance without a health endpoint answers 4xx and counts as serving.
    """
    status = check.handle.getinfo(pycurl.RESPONSE_CODE)
    if status == 0 or status >= 500:
        try:
            state = json.loads(check.body.getvalue() or b"{}").get("state")
        except (ValueError, AttributeError):
            state = None
        return HealthReport.LEAVING if state == "leaving" else HealthReport.FAILING
    return HealthReport.SERVING
