"""Start the entries of a small deployment with stand-ins on loopback."""

import http.client
import itertools
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from fleet import Fleet, Record
from store import Store

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = """seedLagS = 3
reuseDelayS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 2
saveS = 1
restoreMs = 100
noticeMs = 4500
moveS = 1.5
upkeepS = 2
requireFence = false
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
"""


_PORTS = itertools.count(11_000 + os.getpid() * 37 % 20_000)


def free_ports(count):
    """Return free loopback ports below the range of outgoing connections."""
    found = []
    while len(found) < count:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


class Entry:
    """Run one entry as a process with the command of the deploy file."""

    def __init__(self, bed, name, zone, ports, extra=""):
        """Write the settings; `start` starts the process."""
        self.bed, self.name = bed, name
        self.front, self.ready, self.control, self.peer = ports
        self.settings = bed.folder / f"{name}.toml"
        self.settings.write_text(self._settings(zone, extra))
        self.log = bed.folder / f"{name}.log"
        self.process = None

    def _settings(self, zone, extra):
        bed = self.bed
        lines = [f'nodeName = "{self.name}"', 'role = "entry"', f'zone = "{zone}"']
        lines += ['machineClass = "front"', 'serves = ["front"]', 'ip = "127.0.0.1"']
        lines += ['region = "g"', f"portRange = [{self.peer},{self.peer + 1}]"]
        lines += ["seeds = []", "bootstrap = true", "lossCounts = false"]
        lines += ['discovery = "platform"', 'entry = "vip"', "heartbeatMs = 1500"]
        lines += ['orders = "rpc"']
        if bed.advice is not None:
            lines += [f'advice = "{bed.advice.address}"']
        lines += ["[listenAddrs]", f'front = "127.0.0.1:{self.front}"']
        lines += [f'readyAddr = "127.0.0.1:{self.ready}"']
        lines += [f'control = "127.0.0.1:{self.control}"', "[limits]"]
        lines += ["cpuShare = 0.537", "cores = 2", "memoryMb = 300", "maxFds = 4100"]
        lines += ["linkMbps = 1000.0", "diskMb = 0", "[bounds]", BOUNDS, "[platform]"]
        lines += [f'address = "{bed.store_address(self.name)}"', 'form = "kv"']
        lines += ["writesPerS = 400", "readsPerS = 2000", "historyS = 20"]
        lines += ["valueBytes = 1048576", "ttlMinMs = 1000", "[cloudApi]"]
        lines += [f'address = "{bed.fleet.address}"', "ratePerS = 64.0"]
        lines += ["duties = []", "dutiesPerS = 64.0", extra]
        return "\n".join(lines) + "\n"

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["JAYSHUNT_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log, cwd=ROOT
            )
        self.bed.record.add("entry-starts", name=self.name)

    def send(self, number):
        """Send a signal to the process."""
        self.bed.record.add(
            "signal", name=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def call(self, method, path, body=None, timeout_s=3.0):
        """Call the entry as a client; return the status and the body, or None."""
        link = http.client.HTTPConnection("127.0.0.1", self.front, timeout=timeout_s)
        headers = {"Host": "jobs.example", "X-Deadline-Ms": str(int(timeout_s * 1000))}
        data = None if body is None else json.dumps(body).encode()
        if data is not None:
            headers["Content-Type"] = "application/json"
        try:
            link.request(method, path, data, headers)
            answer = link.getresponse()
            text = answer.read()
            fields = json.loads(text) if text else {}
            found = (answer.status, fields)
        except (OSError, http.client.HTTPException, ValueError):
            found = None
        finally:
            link.close()
        status = "none" if found is None else found[0]
        fields = {} if found is None else found[1]
        self.bed.record.add(
            "client",
            entry=self.name,
            call=f"{method} {path}",
            status=status,
            got=fields,
        )
        return found


class Bed:
    """Hold the stand-ins and the entries of one run."""

    def __init__(self, record, spare="spare", advice=None, names="front", **fleet):
        """Start the stand-ins; `advice` is the stand-in for the advice service.

        `record` is a path, or the record of another bed.
        """
        # The processes that this one started are ended also if it runs too long.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record if isinstance(record, Record) else Record(record)
        self._names = names
        self.advice = advice
        self.store = Store()
        self.fleet = Fleet(self.store, self.record, spare, **fleet)
        self.store.start()
        self.fleet.start()
        if advice is not None:
            advice.start()
        self.entries = []
        self.version = 0
        self._store_paths = {}

    def store_address(self, entry):
        """Return the address at which an entry reaches the store."""
        return self._store_paths.get(entry, self.store.address)

    def put_config(self, routes, services):
        """Write the operator's next configuration."""
        self.version += 1
        fields = {"version": self.version, "routes": routes, "services": services}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        value = json.dumps({**fields, "limits": limits}).encode()
        self.store.put("op/config", value)
        names = [route["name"] for route in routes]
        self.record.add("config", version=self.version, routes=names)

    def start_entries(self, count=3, extra=""):
        """Start the entries in zones of their own, and wait until all are ready."""
        ports = free_ports(5 * count)
        for n in range(count):
            own = ports[5 * n : 5 * n + 4]
            self.entries.append(
                Entry(self, f"{self._names}-{n}", f"z{n + 1}", own, extra)
            )
        for entry in self.entries:
            entry.start()

    def wait_ready(self, timeout_s=20.0):
        """Wait until every entry is ready and one dispatches; return whether so."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if self.dispatcher() is not None and all(map(self._is_ready, self.entries)):
                self.record.add("all-ready", dispatcher=self.dispatcher().name)
                return True
            time.sleep(0.1)
        return False

    def _is_ready(self, entry):
        link = http.client.HTTPConnection("127.0.0.1", entry.ready, timeout=1.0)
        try:
            link.request("GET", "/readyz")
            return link.getresponse().status == 200
        except OSError:
            return False
        finally:
            link.close()

    def dispatcher(self):
        """Return the entry that holds the term, None without one."""
        value = self.store.read("jayshunt/term")
        if value is None:
            return None
        holder = json.loads(value)["entry"]
        return next((e for e in self.entries if e.name == holder), None)

    def submit(self, path, body, entries=None, tries=5):
        """Hand a job in, at one entry after the other until one accepts it."""
        for n in range(tries):
            entry = (entries or self.entries)[n % len(entries or self.entries)]
            found = entry.call("POST", path, body)
            if found is not None and 200 <= found[0] < 300:
                return True
            time.sleep(0.3)
        return False

    def stop(self):
        """End all processes and remove the folder."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, **others):
    """Return a route of the configuration."""
    fields = {"name": name, "host": "jobs.example", "prefix": prefix}
    fields |= {"type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600}
    fields |= {"priority": 0, "service": service, "attempts": 3, "stretch": 1.6}
    return {**fields, **others}


def service(name, **others):
    """Return a service of the configuration."""
    fields = {"name": name, "healthPath": "/healthz", "maxConns": 64}
    fields |= {"protocol": "h1", "tls": False, "rejectsOverload": True, "spare": False}
    return {**fields, **others}


def repeat(function, interval_s):
    """Call a function every `interval_s` in the background; return its stop."""
    stopped = threading.Event()

    def run():
        while not stopped.wait(interval_s):
            function()

    threading.Thread(target=run, daemon=True).start()
    return stopped.set
