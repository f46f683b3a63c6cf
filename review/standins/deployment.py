"""Run a small deployment: entries as processes, and the stand-ins around them."""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from standins.advice import Advice
from standins.http import HOST, call
from standins.machines import Machine, Machines
from standins.record import Record, read
from standins.store import Store

REVIEW = Path(__file__).resolve().parent.parent
ROOT = REVIEW.parent
HEARTBEAT_S = 1.5
TIME_LIMIT_S = 112.0
QUEUE_HOST = "jobs.example"
# The bounds of the site kuppi-jono.
BOUNDS = {
    "seedLagS": 3,
    "reuseDelayS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 10000,
    "stopMs": 900,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 2,
    "saveS": 1,
    "restoreMs": 100,
    "noticeMs": 4500,
    "moveS": 1.5,
    "upkeepS": 2,
    "requireFence": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


def free_ports(count: int) -> list[int]:
    """Return free loopback ports below the range of outgoing connections."""
    found: list[int] = []
    port = 12_000 + os.getpid() % 400 * 40
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


class CannotRun(Exception):
    """Raised when a case could not be brought about."""


class Entry:
    """One entry, started with the command of the deploy file."""

    def __init__(self, number: int, ports: list[int], folder: Path) -> None:
        """Assign `ports`: front, ready, control, and the two of the port range."""
        self.name = f"front-{number}"
        self.zone = f"z{number}"
        self.ports = ports
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """Return the address for callers."""
        return f"{HOST}:{self.ports[0]}"

    @property
    def inner(self) -> str:
        """Return the address for other entries."""
        return f"{HOST}:{self.ports[3]}"


class Deployment:
    """A store, machines with workers, and entries in zones of their own.

    `routes` are the queues of the first configuration, `services` the pools. Events are
    in `record`, logs of the entries in a temporary folder, or in REVIEW_KEEP if set.
    """

    def __init__(
        self,
        case: Path,
        machines: list[Machine],
        routes: list[dict],
        services: list[dict],
        entries: int = 3,
        advice_policy: tuple[float, float, int] | None = None,
    ) -> None:
        """Prepare settings; start nothing."""
        self.record_path = case / "record.txt"
        self.record_path.unlink(missing_ok=True)
        self.record = Record(self.record_path, "script")
        keep = os.environ.get("REVIEW_KEEP")
        self._kept = keep is not None
        self.folder = Path(keep) if keep else Path(tempfile.mkdtemp())
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store = Store(HEARTBEAT_S)
        spare = {row["name"] for row in services if row.get("spare")}
        ports = free_ports(5 * entries + len(machines))
        for machine in machines:
            machine.port = ports.pop()
        self.machines = Machines(
            machines, self.store, self.record_path, BOUNDS, HEARTBEAT_S, spare
        )
        self.entries = [
            Entry(n + 1, ports[5 * n : 5 * n + 5], self.folder) for n in range(entries)
        ]
        self.config = {
            "version": 7,
            "routes": routes,
            "services": services,
            "limits": {},
        }
        self.advice = (
            None if advice_policy is None else Advice(self.store, *advice_policy)
        )

    async def start(self) -> None:
        """Start everything, and wait until an entry dispatches to all workers."""
        await self.store.start()
        await self.machines.start()
        if self.advice is not None:
            await self.advice.server.start()
        self.store.put("op/config", self.config)
        for entry in self.entries:
            self._write_settings(entry)
            self.start_entry(entry)
        await self.wait_for_dispatcher(set())
        await asyncio.sleep(3.0)

    def stop(self) -> None:
        """Kill every process that was started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        self.machines.stop()
        if not self._kept:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start_entry(self, entry: Entry) -> None:
        """Start an entry with the command of its role in the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "JAYSHUNT_CONFIG": str(entry.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with entry.log.open("ab") as log:
            entry.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(" "),
                env=environment,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )
        self.record.write("entry started", entry=entry.name, pid=entry.process.pid)

    def kill_entry(self, entry: Entry) -> None:
        """Kill an entry."""
        entry.process.kill()
        entry.process.wait()
        self.record.write("entry killed", entry=entry.name)

    def dispatcher(self) -> Entry | None:
        """Return the entry that holds the term, as the store shows it."""
        term = self.store.content("jayshunt/term")
        found = [e for e in self.entries if term and e.name == term["entry"]]
        return found[0] if found else None

    async def wait_for_dispatcher(self, not_in: set[str], timeout_s=20.0) -> Entry:
        """Return the entry that dispatches once it is none of `not_in`."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            entry = self.dispatcher()
            if entry is not None and entry.name not in not_in:
                self.record.write("dispatches", entry=entry.name)
                return entry
            await asyncio.sleep(0.05)
        raise CannotRun("no entry dispatches")

    async def request(
        self,
        entry: Entry,
        method: str,
        prefix: str,
        job: str = "",
        content: dict | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict] | None:
        """Send a caller's request to an entry, and record it with its answer."""
        headers = {"Host": QUEUE_HOST, "X-Deadline-Ms": str(int(timeout_s * 1000))}
        path = prefix + job
        self.record.write("sent", method=method, path=path, entry=entry.name)
        answer = await call(method, entry.front, path, content, headers, timeout_s)
        self.record.write(
            "answered",
            method=method,
            path=path,
            entry=entry.name,
            status=None if answer is None else answer[0],
            content=None if answer is None else answer[1],
        )
        return answer

    async def submit(self, entry: Entry, prefix: str, steps: list[dict], **work) -> str:
        """Submit a job until it is accepted; return its id.

        `work` is the `spec`: `ms`, `how` and `cpu` of each task.
        """
        job = new_job_id()
        content = {"spec": json.dumps(work), "steps": steps}
        for _ in range(20):
            answer = await self.request(entry, "POST", prefix, job, content)
            if answer is not None and 200 <= answer[0] < 300:
                return job
            await asyncio.sleep(0.5)
        raise CannotRun("a job was not accepted")

    async def state(self, entry: Entry, prefix: str, job: str) -> str | None:
        """Return the state that an entry shows of a job."""
        answer = await self.request(entry, "GET", prefix, job)
        return answer[1].get("state") if answer and answer[0] == 200 else None

    def events(self) -> list[dict]:
        """Return what was recorded so far."""
        return read(self.record_path)

    def _write_settings(self, entry: Entry) -> None:
        front, ready, control, first, last = entry.ports
        seeds = [f"{HOST}:{e.ports[2]}" for e in self.entries[:3]]
        top = {
            "nodeName": entry.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": entry.zone,
            "region": "r1",
            "portRange": [first, last],
            "seeds": seeds,
            "bootstrap": True,
            "lossCounts": False,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
                "upkeep",
                "sharing",
            ],
            "orders": "rpc",
        }
        if self.advice is not None:
            top["advice"] = self.advice.server.address
        tables = {
            "zones": {e.zone: "r1" for e in self.entries},
            "listenAddrs": {
                "front": f"{HOST}:{front}",
                "readyAddr": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.server.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "address": self.machines.server.address,
                "ratePerS": 64.0,
                "duties": [],
                "dutiesPerS": 64.0,
            },
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        entry.settings.write_text("\n".join(lines) + "\n")


def route(name: str, service: str, **fields) -> dict:
    """Return one queue of the configuration, with the prefix /NAME/."""
    return {
        "name": name,
        "host": QUEUE_HOST,
        "prefix": f"/{name}/",
        "type": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "service": service,
        "attempts": 3,
        "stretch": 1.6,
        **fields,
    }


def service(name: str, spare: bool = False) -> dict:
    """Return one pool of the configuration."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 64,
        "protocol": "h1",
        "tls": False,
        "rejectsOverload": True,
        "spare": spare,
    }


def new_job_id() -> str:
    """Return an id as a client chooses it."""
    return secrets.token_hex(8)


def run_case(case) -> None:
    """Run a case and exit: 1 if it returns what broke the rule, 0 if nothing did.

    `case` is a coroutine function without arguments; it returns a list of texts. Exit
    with 2 if the case could not run.
    """
    try:
        broken = asyncio.run(_run_with_limit(case))
    except BaseException as error:
        # Also an error of the script itself must not look like a broken rule.
        traceback.print_exc()
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        print(text)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


async def _run_with_limit(case) -> list[str]:
    """Run a case for TIME_LIMIT_S at most; SIGTERM ends it, and what it started."""
    task = asyncio.ensure_future(case())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, TIME_LIMIT_S)
