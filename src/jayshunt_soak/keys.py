"""Replace keys of workspaces during a soak, and try keys that must be refused."""

import random
import threading
import time
from dataclasses import dataclass
from enum import Enum

from jayshunt_soak.callers import Caller, Load, SubmittedJob
from jayshunt_soak.checks import is_impaired
from jayshunt_soak.const import (
    CONFIG_APPLY_S,
    KEPT_VERSIONS,
    PUBLIC_POOL,
    REVOKE_S,
    WORKSPACES,
)
from jayshunt_soak.platform import formats
from jayshunt_soak.testbed import Testbed

PROBE_INTERVAL_S = 0.15
# A new configuration is stored after this many probes. Keys stay in force for
# KEPT_VERSIONS configurations, which is longer than CONFIG_APPLY_S.
PROBES_PER_VERSION = 8
REFUSED = (401, 503)


class ProbeKind(Enum):
    """List what a call tries."""

    WITHDRAWN_KEY = "withdrawn key"
    ADDED_KEY = "added key"
    OTHER_WORKSPACE = "key of another workspace"


@dataclass(frozen=True)
class KeyProbe:
    """Record one call and the status of its answer; times are monotonic seconds.

    `changed_s` is the time by which the key was certainly withdrawn or added.
    """

    kind: ProbeKind
    changed_s: float
    sent_s: float
    status: int
    call: str


class KeyProber:
    """Store configurations with other keys, and call entries with all kinds of keys."""

    def __init__(self, testbed: Testbed, load: Load, seed: int) -> None:
        """Create a prober for the jobs of `load`; nothing runs yet."""
        self._testbed = testbed
        self._load = load
        self._rng = random.Random(f"{seed}-keys")
        self._caller = Caller(testbed, self._rng)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.probes: list[KeyProbe] = []

    def start(self) -> None:
        """Start the calls."""
        self._thread.start()

    def stop(self) -> None:
        """End the calls."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        count = 0
        while not self._stopping.wait(PROBE_INTERVAL_S):
            count += 1
            if count % PROBES_PER_VERSION == 0:
                self._testbed.store_next_config()
            jobs = [
                job
                for job in list(self._load.jobs)
                if job.accepted_s is not None and job.pool != PUBLIC_POOL
            ]
            if jobs:
                self._probe(self._rng.choice(jobs))
        self._caller.disconnect()

    def _probe(self, job: SubmittedJob) -> None:
        times_s = list(self._testbed.config_times_s)
        kind = self._rng.choice(list(ProbeKind))
        match kind:
            case ProbeKind.WITHDRAWN_KEY if len(times_s) > KEPT_VERSIONS:
                version = self._rng.randint(1, len(times_s) - KEPT_VERSIONS)
                key = formats.versioned_key(job.workspace, version)
                changed_s = times_s[version - 1 + KEPT_VERSIONS]
                self._call(kind, changed_s, "GET", job, key)
            case ProbeKind.ADDED_KEY:
                version = max(1, len(times_s) - KEPT_VERSIONS + 1)
                key = formats.versioned_key(job.workspace, version)
                probe = self._call(kind, times_s[version - 1], "GET", job, key)
                # The key may have been withdrawn before the call was answered.
                is_kept = len(self._testbed.config_times_s) < version + KEPT_VERSIONS
                if probe is not None and not is_kept:
                    self.probes.remove(probe)
            case ProbeKind.OTHER_WORKSPACE:
                (other,) = (name for name in WORKSPACES if name != job.workspace)
                method = self._rng.choice(("GET", "DELETE", "POST"))
                self._call(kind, 0.0, method, job, formats.stable_key(other))

    def _call(
        self,
        kind: ProbeKind,
        changed_s: float,
        method: str,
        job: SubmittedJob,
        key: str,
    ) -> KeyProbe | None:
        """Record a call and return it; return None without an answer."""
        body = formats.submission(job.steps) if method == "POST" else None
        sent_s = time.monotonic()
        answer = self._caller.call(method, job.path, body, key)
        if answer is None:
            return None
        call = f"{method} {job.job_id}"
        probe = KeyProbe(kind, changed_s, sent_s, answer[0], call)
        self.probes.append(probe)
        return probe


def check_keys(
    probes: list[KeyProbe], impairments: list[tuple[float, float]]
) -> list[str]:
    """Return one line for each call that was answered against the rules for keys.

    Entries in touch with the store apply a configuration within CONFIG_APPLY_S.
    Others stop accepting keys when it was not confirmed for REVOKE_S.
    """
    return [
        f"key: {probe.call} with {probe.kind.value} got {probe.status}"
        f" {probe.sent_s - probe.changed_s:.2f} s after the change"
        for probe in probes
        if _is_wrong(probe, impairments)
    ]


def _is_wrong(probe: KeyProbe, impairments: list[tuple[float, float]]) -> bool:
    age_s = probe.sent_s - probe.changed_s
    is_due = age_s > CONFIG_APPLY_S and not is_impaired(probe.sent_s, impairments)
    match probe.kind:
        case ProbeKind.WITHDRAWN_KEY:
            return probe.status not in REFUSED and (is_due or age_s > REVOKE_S)
        case ProbeKind.ADDED_KEY:
            return probe.status == 401 and is_due
        case ProbeKind.OTHER_WORKSPACE:
            return probe.status in (200, 401)


def check_secrecy(testbed: Testbed) -> list[str]:
    """Return one line for each log and each record in the store that holds a key."""
    mark = formats.KEY_MARK.encode()
    texts = {log.name: log.read_bytes() for log in testbed.folder.glob("*.log")}
    texts |= testbed.store.values("jayshunt/")
    return [
        f"secret: {name} holds a key" for name, text in texts.items() if mark in text
    ]
