"""Check the health of VMs that return from a reboot."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from jayshunt import http_client
from jayshunt.errors import JayshuntError
from jayshunt.ids import VmId
from jayshunt.maintenance.const import PROBE_TIMEOUT_S
from jayshunt.pools.models import Assignment

MAX_CONCURRENT_PROBES = 8


class HealthProbes:
    """Request `/healthz` from VMs, several at once."""

    def __init__(self) -> None:
        """Create the executor; its threads start at the first probe."""
        self._executor = ThreadPoolExecutor(MAX_CONCURRENT_PROBES, "probe")

    def check(self, assignments: Iterable[Assignment]) -> dict[VmId, bool]:
        """Return for each VM whether it answers as healthy."""
        probed = list(assignments)
        if not probed:
            return {}
        answers = self._executor.map(_is_healthy, probed)
        return {a.vm: healthy for a, healthy in zip(probed, answers, strict=True)}

    def stop(self) -> None:
        """Shut the executor down."""
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
