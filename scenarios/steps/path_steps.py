"""Define the steps for the path of a request from the caller to the upstream."""

import json

from behave import given, then, when

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt_measure.testbed import Testbed, VmPlan

REQUEST_ID = "scenario-1"
TIMES = {"never": 0, "once": 1}


@given("{count:d} entry in zone {zone} with {upstreams:d} upstreams in pool {pool}")
def start_testbed(context, count: int, zone: str, upstreams: int, pool: str) -> None:
    """Start entries and upstreams."""
    vms = [
        VmPlan(f"{pool}-{number}", zone, f"rack-{number}", "upstream", pool)
        for number in range(upstreams)
    ]
    context.testbed = Testbed(vms, {zone: count}).start()


@given("class {name} of pool {pool} answers within {target_ms:d} ms")
def configure_class(context, name: str, pool: str, target_ms: int) -> None:
    """Apply a configuration with one class."""
    document = ConfigDocument.model_validate(
        {"pools": {pool: {}}, "classes": {name: {"pool": pool, "target_ms": target_ms}}}
    )
    context.testbed.configure(document)


@when('a caller posts "{body}" to class {name}')
def post_request(context, body: str, name: str) -> None:
    """Send one request."""
    context.body = body
    context.answer = http_client.request(
        "POST",
        f"http://{context.testbed.entries[0].callers}/v1/classes/{name}/path",
        body=body.encode(),
        headers={"Jayshunt-Request-Id": REQUEST_ID},
        timeout_s=10,
        step="scenario",
    )


@then("the caller receives its own whole answer")
def check_answer(context) -> None:
    """Check that the answer has the request id and the body that was sent."""
    assert context.answer.status == 200, context.answer
    expected = f" {REQUEST_ID} {context.body}".encode()
    assert context.answer.body.endswith(expected), context.answer


@then("the caller is refused with code {code} and outcome {outcome}")
def check_refusal(context, code: str, outcome: str) -> None:
    """Check the code and the outcome in the problem response."""
    problem = json.loads(context.answer.body)
    assert problem["code"] == code, problem
    assert problem["outcome"] == outcome, problem


@then("the request ran {times}")
def check_runs(context, times: str) -> None:
    """Check how often the upstreams ran the request."""
    ran = [
        item
        for upstream in context.testbed.upstreams.values()
        for item in upstream.ran
        if item.request == REQUEST_ID
    ]
    assert len(ran) == TIMES[times], ran
