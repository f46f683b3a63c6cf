"""Define the steps for zones that lose the platform or whose entries pause.

A marked request is one that must not be repeated.
"""

import itertools
import json
import signal
import time
from collections import Counter

from behave import given, then, when

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt_measure.testbed import EntryHandle, Testbed, VmPlan

POLL_S = 0.02
# Time limit for entries to discover each other and a broker after their start.
SETTLE_S = 15.0
DOCUMENT = {
    "pools": {"desk": {}, "yard": {}},
    "classes": {
        "quotes": {"pool": "desk", "target_ms": 3000},
        "deposits": {"pool": "yard", "kind": "job", "max_wait_s": 60},
    },
    "teams": {"depots": {"quota_cores": 100}},
}


@given(
    "zones north and south with {entries:d} entries and {upstreams:d} upstreams each"
)
def start_zones(context, entries: int, upstreams: int) -> None:
    """Start two zones that reach the platform over relays."""
    vms = []
    for zone in ("north", "south"):
        vms += [
            VmPlan(f"desk-{zone}-{n}", zone, f"{zone}-{n}", "upstream", "desk")
            for n in range(upstreams)
        ]
        vms.append(VmPlan(f"yard-{zone}", zone, f"{zone}-0", "worker", "yard"))
    zones = {"north": entries, "south": entries}
    context.testbed = Testbed(vms, zones, cuttable_zones=("north", "south")).start()
    context.testbed.configure(ConfigDocument.model_validate(DOCUMENT))
    context.numbers = itertools.count(1)
    for entry in context.testbed.entries:
        _wait_until(lambda entry=entry: _answered(_post(context, entry)), SETTLE_S)
    _wait_until(lambda: _all_alive(context.testbed), SETTLE_S)


@when("zone {zone} loses the platform without an answer")
def silence_platform(context, zone: str) -> None:
    """Drop all traffic between a zone and the platform, without an error."""
    for relay in context.testbed.relays[zone]:
        relay.silence()


@when("zone {zone} gets the platform back")
def restore_platform(context, zone: str) -> None:
    """Restore the connection of a zone to the platform."""
    for relay in context.testbed.relays[zone]:
        relay.restore()


@when("every entry of zone {zone} is paused")
def pause_zone(context, zone: str) -> None:
    """Suspend the processes of all entries of a zone with SIGSTOP."""
    for entry in _entries(context.testbed, zone):
        entry.process.send_signal(signal.SIGSTOP)


@when("every entry of zone {zone} resumes")
def resume_zone(context, zone: str) -> None:
    """Resume the processes of all entries of a zone."""
    for entry in _entries(context.testbed, zone):
        entry.process.send_signal(signal.SIGCONT)


@when("the first entry of zone {zone} is killed and replaced")
def replace_first(context, zone: str) -> None:
    """Replace an entry by a new process with the same settings."""
    entry = _entries(context.testbed, zone)[0]
    entry.process.kill()
    entry.process.wait()
    context.testbed.start_entry(entry)


@when("a change is accepted in zone {zone}")
def accept_change(context, zone: str) -> None:
    """Change a target at the first entry of the zone."""
    entry = _entries(context.testbed, zone)[0]
    result = context.testbed.operator_call(
        entry, "PUT", "classes/quotes/target", {"target_ms": 2500}
    )
    context.version = result["version"]
    context.accepted_s = time.monotonic()


@then("it is in force in zone {zone} within {limit_ms:d} ms")
def check_in_force(context, zone: str, limit_ms: int) -> None:
    """Wait until every entry of the zone reports the accepted version."""
    end_s = context.accepted_s + limit_ms / 1000
    for entry in _entries(context.testbed, zone):
        _wait_until(
            lambda: _config_version(context, entry) >= context.version, end_s=end_s
        )


@then("the first entry of zone {zone} has the configuration within {limit_s:d} s")
def check_fresh_entry(context, zone: str, limit_s: int) -> None:
    """Wait until the replaced entry reports a version."""
    entry = _entries(context.testbed, zone)[0]
    _wait_until(lambda: _config_version(context, entry) >= 1, limit_s)


@then("a request in zone {zone} is answered")
def check_answered(context, zone: str) -> None:
    """Send one request to each entry of the zone and check the answer."""
    for entry in _entries(context.testbed, zone):
        answer = _post(context, entry)
        assert _answered(answer), answer


@then("a request at the first entry of zone {zone} is answered within {limit_s:d} s")
def check_first_answers(context, zone: str, limit_s: int) -> None:
    """Send requests until one is answered."""
    entry = _entries(context.testbed, zone)[0]
    _wait_until(lambda: _answered(_post(context, entry)), limit_s)


@then("a marked request without a key in zone {zone} is answered")
def check_marked_without_key(context, zone: str) -> None:
    """Send one marked request without a key and check the answer."""
    answer = _post(context, _entries(context.testbed, zone)[0], repeat="never")
    assert _answered(answer), answer


@then("a marked request with a key in zone {zone} is answered")
def check_marked_with_key(context, zone: str) -> None:
    """Send one marked request with a new key and check the answer."""
    answer = _post_marked(context, zone)
    assert _answered(answer), answer


@then("a marked request with a key in zone {zone} is answered within {limit_s:d} s")
def check_marked_soon(context, zone: str, limit_s: int) -> None:
    """Send marked requests until one is answered."""
    _wait_until(lambda: _answered(_post_marked(context, zone)), limit_s)


@then("a marked request with a key in zone {zone} is refused as not run")
def check_marked_refused(context, zone: str) -> None:
    """Send one marked request and check that it is refused and did not run."""
    answer = _post_marked(context, zone)
    problem = json.loads(answer.body)
    assert problem["outcome"] == "not_run", problem
    assert problem["code"] == "store_unavailable", problem
    assert _run_counts(context)[answer.headers["jayshunt-request-id"]] == 0


@then("a job in zone {zone} is refused as not run")
def check_job_refused(context, zone: str) -> None:
    """Submit one job and check that the answer says that it did not run."""
    answer = _submit(context, zone)
    problem = json.loads(answer.body)
    assert answer.status >= 500, problem
    assert problem["outcome"] == "not_run", problem


@then("a job in zone {zone} is accepted within {limit_s:d} s")
def check_job_accepted(context, zone: str, limit_s: int) -> None:
    """Submit jobs until one is accepted, or fail."""
    _wait_until(lambda: _submit(context, zone).status == 202, limit_s)


@then("zone {zone} counts the entries of zone {other} as lost within {limit_ms:d} ms")
def check_lost(context, zone: str, other: str, limit_ms: int) -> None:
    """Wait until each entry of a zone lists the entries of the other as lost."""
    lost = {entry.name for entry in _entries(context.testbed, other)}
    end_s = time.monotonic() + limit_ms / 1000
    for entry in _entries(context.testbed, zone):
        _wait_until(
            lambda: lost <= _members_in_state(context, entry, "lost"), end_s=end_s
        )


@then("every entry counts every other as alive within {limit_s:d} s")
def check_all_alive(context, limit_s: int) -> None:
    """Wait until all entries list each other as alive."""
    _wait_until(lambda: _all_alive(context.testbed), limit_s)


@then("no request ran twice")
def check_runs_once(context) -> None:
    """Check the number of runs that the upstreams recorded per request."""
    twice = [request for request, count in _run_counts(context).items() if count > 1]
    assert not twice, twice


def _entries(testbed: Testbed, zone: str) -> list[EntryHandle]:
    return [entry for entry in testbed.entries if entry.zone == zone]


def _post(context, entry: EntryHandle, key: str = "", repeat: str = "safe"):
    request = f"zones-{next(context.numbers)}"
    headers = {"Jayshunt-Request-Id": request, "Jayshunt-Repeat": repeat}
    if key:
        headers["Idempotency-Key"] = key
    try:
        return http_client.request(
            "POST",
            f"http://{entry.callers}/v1/classes/quotes/rate",
            body=request.encode(),
            headers=headers,
            timeout_s=10,
            step="scenario",
        )
    except JayshuntError as error:
        return error


def _post_marked(context, zone: str):
    entry = _entries(context.testbed, zone)[0]
    return _post(context, entry, f"key-{next(context.numbers)}", "never")


def _answered(answer) -> bool:
    if isinstance(answer, JayshuntError) or answer.status != 200:
        return False
    request = answer.headers["jayshunt-request-id"]
    return answer.body.endswith(f" {request} {request}".encode())


def _submit(context, zone: str):
    entry = _entries(context.testbed, zone)[0]
    job = {"class": "deposits", "team": "depots", "command": "work-ms=10"}
    return http_client.request(
        "POST",
        f"http://{entry.callers}/v1/jobs",
        body=json.dumps(job).encode(),
        timeout_s=15,
        step="scenario",
    )


def _run_counts(context) -> Counter:
    upstreams = context.testbed.upstreams.values()
    return Counter(item.request for upstream in upstreams for item in upstream.ran)


def _dump(testbed: Testbed, entry: EntryHandle) -> dict:
    return testbed.operator_call(entry, "GET", "dump?scope=entry")


def _config_version(context, entry: EntryHandle) -> int:
    config = context.testbed.operator_call(entry, "GET", "config")
    return config["version"]


def _members_in_state(context, entry: EntryHandle, state: str) -> set[str]:
    members = _dump(context.testbed, entry)["membership"]["members"]
    return {member["entry"] for member in members if member["state"] == state}


def _all_alive(testbed: Testbed) -> bool:
    names = {entry.name for entry in testbed.entries}
    for entry in testbed.entries:
        members = _dump(testbed, entry)["membership"]["members"]
        if {m["entry"] for m in members if m["state"] == "alive"} != names:
            return False
    return True


def _wait_until(condition, limit_s: float = 0.0, end_s: float | None = None) -> None:
    """Wait until a condition is true, or fail after the time limit."""
    end_s = time.monotonic() + limit_s if end_s is None else end_s
    while not condition():
        assert time.monotonic() < end_s, "the condition did not hold in time"
        time.sleep(POLL_S)
