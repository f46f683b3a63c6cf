"""Check the health of VMs that come back from a reboot."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from jayshunt import http_client
from jayshunt.errors import JayshuntError
from jayshunt.ids import VmId
from jayshunt.maintenance.const import PROBE_TIMEOUT_S
from jayshunt.pools.models import Assignment

PROBES_AT_ONCE = 8


class HealthProbes:
    """Ask VMs for `/healthz`, several at once."""

    def __init__(self) -> None:
        """Create the executor; its threads start at the first probe."""
        self._executor = ThreadPoolExecutor(PROBES_AT_ONCE, "probe")

    def check(self, assignments: Iterable[Assignment]) -> dict[VmId, bool]:
        """Return which VMs answer as healthy."""
        checked = list(assignments)
        if not checked:
            return {}
        answers = self._executor.map(_is_healthy, checked)
        return {a.vm: healthy for a, healthy in zip(checked, answers, strict=True)}

    def stop(self) -> None:
        """End the executor."""
        self._executor.shutdown(wait=False, cancel_futures=True)


def _is_healthy(assignment: Assignment) -> bool:
    try:
        answer = http_client.request(
            "GET",
            f"http://{assignment.address}/healthz",
            timeout_s=PROBE_TIMEOUT_S,
            step="maintenance.probe",
        )
    except JayshuntError:
        return False
    return answer.status == 200
