"""Send one request through an entry and check that it starts no process."""

import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt_measure import audited
from jayshunt_measure.testbed import Testbed, VmPlan

# Indexes of fields of /proc/PID/stat after the process name: page faults and CPU times
# of children that were waited for.
CHILD_FAULTS_FIELD, CHILD_TIME_FIELDS = 8, slice(13, 15)


def smoke(
    binary: Annotated[str, typer.Option(help="The jayshunt binary to start.")],
) -> None:
    """Serve one request with the binary; exit non-zero if anything is wrong.

    The binary unpacks to an empty directory, as at the first start on a VM, and
    must start no other process while it unpacks, serves and stops.
    """
    with tempfile.TemporaryDirectory(prefix="jayshunt-") as folder:
        root, log = Path(folder) / "root", Path(folder) / "audit.log"
        log.touch()
        testbed = Testbed(
            vms=[VmPlan("desk-1", "north", "rack-1", "upstream", "desk")],
            entries_per_zone={"north": 1},
            command=(sys.executable, "-E", audited.__file__, str(log), binary),
            environment={"SHIV_ROOT": str(root)},
        )
        started_s = time.monotonic()
        try:
            testbed.start()
            answer = _send_one(testbed)
            served_s = time.monotonic() - started_s
            children = _find_children(testbed.entries[0].process.pid)
        finally:
            testbed.stop()
        attempts = log.read_text()
        size = sum(f.stat().st_size for f in root.rglob("*") if f.is_file())
    problems = []
    if (answer.status, answer.body) != (200, b"desk-1 smoke-1 splitter"):
        problems.append(f"wrong answer: {answer}")
    if children or attempts:
        problems.append(f"child processes: {children} {attempts}")
    if not size:
        problems.append("the binary did not unpack to SHIV_ROOT")
    for problem in problems:
        typer.echo(problem)
    if problems:
        raise typer.Exit(1)
    typer.echo(
        f"the binary served a request {served_s:.1f} s after its first start, unpacked "
        f"{size / 2**20:.1f} MB and started no process"
    )


def _send_one(testbed: Testbed) -> http_client.HttpAnswer:
    document = {
        "pools": {"desk": {}},
        "classes": {"quotes": {"pool": "desk", "target_ms": 5000}},
    }
    testbed.configure(ConfigDocument.model_validate(document))
    return http_client.request(
        "POST",
        f"http://{testbed.entries[0].callers}/v1/classes/quotes/rate",
        body=b"splitter",
        headers={"Jayshunt-Request-Id": "smoke-1"},
        timeout_s=10,
        step="smoke",
    )


def _find_children(pid: int) -> str:
    """Describe the running and reaped children of a process; empty if none."""
    folder = Path(f"/proc/{pid}")
    running = [(task / "children").read_text() for task in folder.glob("task/*")]
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    reaped = [fields[CHILD_FAULTS_FIELD], *fields[CHILD_TIME_FIELDS]]
    found = "".join(running).strip()
    if not found and all(value == "0" for value in reaped):
        return ""
    return f"running {found!r}, page faults and CPU times of reaped ones {reaped}"
