"""Define the steps for requests during faults."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, ZoneName
from jayshunt.membership.models import Member
from jayshunt.membership.ranking import rank_members
from jayshunt_measure.testbed import Testbed, VmPlan
from jayshunt_standins.upstream import UpstreamFaults

TARGET_MS = 1500
MARKED_ID = "marked-1"
MEMBERS_TIMEOUT_S = 10.0


@given("{count:d} entries of zone {zone} share {number:d} upstreams of pool {pool}")
def start_shared_pool(context, count: int, zone: str, number: int, pool: str) -> None:
    """Start entries and wait until they know each other."""
    vms = [
        VmPlan(f"{pool}-{item}", zone, f"rack-{item}", "upstream", pool)
        for item in range(number)
    ]
    context.testbed = Testbed(vms, {zone: count}).start()
    work_class = {"pool": pool, "target_ms": TARGET_MS}
    context.testbed.configure(
        ConfigDocument.model_validate(
            {"pools": {pool: {}}, "classes": {"quotes": work_class}}
        )
    )
    wait_until(lambda: all_know_each_other(context.testbed), MEMBERS_TIMEOUT_S)
    members = [
        Member(EntryId(e.name), ZoneName(e.zone), e.peers, 1)
        for e in context.testbed.entries
    ]
    first = rank_members(f"broker|{zone}|{pool}", members)[0].entry
    by_name = {entry.name: entry for entry in context.testbed.entries}
    context.broker = by_name.pop(first)
    context.other = next(iter(by_name.values()))
    assert send(context.other, "warm-up").status == 200


@when("the broker of pool desk is killed")
def kill_broker(context) -> None:
    """Kill the broker, so that it cannot hand over its state."""
    context.broker.process.kill()
    context.broker.process.wait()


@when("a caller sends a marked request that runs {run_ms:d} ms to the broker")
def send_marked(context, run_ms: int) -> None:
    """Send a request that must not be repeated, without waiting for it."""
    executor = ThreadPoolExecutor(1)
    context.marked = executor.submit(
        send, context.broker, MARKED_ID, run_ms=run_ms, repeat="never"
    )
    executor.shutdown(wait=False)
    wait_until(lambda: MARKED_ID in received(context), 5)


@when("the broker is stopped while the request runs")
def stop_broker(context) -> None:
    """Stop the broker with SIGTERM, as maintenance does."""
    context.broker.process.terminate()


@when("upstream {name} answers every request with an error")
def break_upstream(context, name: str) -> None:
    """Make one instance fail every request."""
    context.testbed.upstreams[name].set_faults(UpstreamFaults(errors=True))


@when("upstream {name} goes silent")
def silence_upstream(context, name: str) -> None:
    """Make one instance keep its connections open and never answer."""
    context.testbed.upstreams[name].set_faults(UpstreamFaults(silent=True))


@then("the other entry answers {count:d} requests in a row within {limit_s:d} s")
def check_other_entry_answers(context, count: int, limit_s: int) -> None:
    """Send requests until the given number in a row is answered."""
    statuses: list[int] = []

    def last_are_answered() -> bool:
        statuses.append(send(context.other, f"after-{len(statuses)}").status)
        return len(statuses) >= count and set(statuses[-count:]) == {200}

    wait_until(last_are_answered, limit_s)


@then("the caller receives the whole answer")
def check_whole(context) -> None:
    """Check that the answer to the marked request is complete."""
    answer = context.marked.result(10)
    assert answer.status == 200, answer
    assert answer.body.endswith(f" {MARKED_ID} body-{MARKED_ID}".encode()), answer


@then("the marked request ran once")
def check_ran_once(context) -> None:
    """Check that the upstreams recorded one run of the marked request."""
    ran = [
        item
        for upstream in context.testbed.upstreams.values()
        for item in upstream.ran
        if item.request == MARKED_ID
    ]
    assert len(ran) == 1, ran


@then("all of {count:d} repeatable requests are answered")
def check_all_answered(context, count: int) -> None:
    """Send requests one after another; the broken instance must not affect any."""
    answers = [send(context.other, f"safe-{n}") for n in range(count)]
    statuses = [answer.status for answer in answers]
    assert statuses == [200] * count, statuses


@then("the caller hears that the outcome is unknown")
def check_unknown(context) -> None:
    """Check the outcome in the problem response."""
    problem = json.loads(context.marked.result(10).body)
    assert problem["outcome"] == "unknown", problem


@then("the marked request was received once")
def check_received_once(context) -> None:
    """Check that the upstreams received the marked request once."""
    assert received(context).count(MARKED_ID) == 1, received(context)


def send(entry, request: str, run_ms: int = 5, repeat: str = "safe"):
    """Send one request; return status 0 if the call fails."""
    try:
        return http_client.request(
            "POST",
            f"http://{entry.callers}/v1/classes/quotes/path",
            body=f"body-{request}".encode(),
            headers={
                "Jayshunt-Request-Id": request,
                "Jayshunt-Repeat": repeat,
                "Standin-Work-Ms": str(run_ms),
            },
            timeout_s=10,
            step="scenario",
        )
    except JayshuntError as error:
        return http_client.HttpAnswer(0, {}, str(error).encode())


def received(context) -> list[str]:
    """Return the ids of the requests that upstreams received."""
    upstreams = context.testbed.upstreams.values()
    return [name for upstream in upstreams for name in upstream.received]


def all_know_each_other(testbed: Testbed) -> bool:
    """Return whether every entry lists all entries and none as missing."""
    statuses = [testbed.operator_call(e, "GET", "status") for e in testbed.entries]
    return all(
        not status["missing"] and len(status["processes"]) == len(testbed.entries)
        for status in statuses
    )


def wait_until(condition, limit_s: float) -> None:
    """Wait until a condition is true, or fail after the time limit."""
    end_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end_s, f"not within {limit_s} s"
        time.sleep(0.02)
