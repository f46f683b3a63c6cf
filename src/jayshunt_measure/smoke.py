"""Send one request through one entry."""

import sys
from typing import Annotated

import typer

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt_measure.testbed import Testbed, VmPlan


def smoke(
    binary: Annotated[str, typer.Option(help="The jayshunt binary to start.")],
) -> None:
    """Serve one request with the binary; exit non-zero if the answer is wrong."""
    testbed = Testbed(
        vms=[VmPlan("desk-1", "north", "rack-1", "upstream", "desk")],
        entries_per_zone={"north": 1},
        command=(sys.executable, binary),
    ).start()
    try:
        testbed.configure(
            ConfigDocument.model_validate(
                {
                    "pools": {"desk": {}},
                    "classes": {"quotes": {"pool": "desk", "target_ms": 5000}},
                }
            )
        )
        answer = http_client.request(
            "POST",
            f"http://{testbed.entries[0].callers}/v1/classes/quotes/rate",
            body=b"splitter",
            headers={"Jayshunt-Request-Id": "smoke-1"},
            timeout_s=10,
            step="smoke",
        )
    finally:
        testbed.stop()
    if (answer.status, answer.body) != (200, b"desk-1 smoke-1 splitter"):
        typer.echo(f"wrong answer: {answer}")
        raise typer.Exit(1)
    typer.echo("the binary served the request")
