"""Define the options and helpers that the operators' commands share."""

import getpass
import os
import time
from pathlib import Path
from typing import Annotated

import typer

from jayshunt.cli.const import WAIT_POLL_S, ExitCode
from jayshunt.cli.operator_client import OperatorClient

Entries = Annotated[
    list[str],
    typer.Option(
        "--entry",
        envvar="JAYSHUNT_ENTRY",
        help="Operator address of any entry, IP:PORT; repeat it to try several.",
    ),
]
TokenFile = Annotated[
    Path,
    typer.Option(
        "--token-file", envvar="JAYSHUNT_TOKEN_FILE", help="File with the token."
    ),
]
AuthorityFile = Annotated[
    Path | None,
    typer.Option(
        "--ca-file",
        envvar="JAYSHUNT_CA_FILE",
        help="CA certificate of the entries; enables TLS.",
    ),
]
Author = Annotated[
    str | None,
    typer.Option(
        "--author",
        envvar="JAYSHUNT_AUTHOR",
        help="Author name for the history; by default the user name.",
    ),
]
Reason = Annotated[str, typer.Option("--reason", help="Reason for the history.")]
DryRun = Annotated[
    bool,
    typer.Option("--dry-run", help="Show what would change and accept nothing."),
]
Wait = Annotated[
    float,
    typer.Option(
        "--wait",
        min=0,
        metavar="SECONDS",
        help="Wait until the change is in force on every live process.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def create_client(
    entries: list[str],
    token_file: Path,
    authority_file: Path | None,
    author: str | None = None,
) -> OperatorClient:
    """Return a client; raise BadParameter if the token file cannot be read."""
    try:
        token = token_file.read_text().strip()
    except OSError as error:
        raise typer.BadParameter(f"{token_file}: {error.strerror}") from error
    # Several addresses in one environment variable are separated by commas.
    addresses = [part for entry in entries for part in entry.split(",") if part]
    name = author or os.environ.get("USER") or getpass.getuser()
    return OperatorClient(addresses, token, name, authority_file)


def send_change(
    client: OperatorClient,
    method: str,
    path: str,
    content: object,
    *,
    reason: str,
    dry_run: bool,
    wait_s: float,
    base_version: int | None = None,
) -> None:
    """Send a change and wait for its roll-out, or print its effect on a dry run."""
    result = client.call(
        method,
        path,
        content,
        reason=reason,
        dry_run="1" if dry_run else None,
        base_version=base_version,
    )
    if dry_run:
        print_plan(result)
        return
    typer.echo(f"accepted as version {result['version']}")
    if wait_s:
        wait_until_in_force(client, result["version"], wait_s)


def wait_until_in_force(client: OperatorClient, version: int, wait_s: float) -> None:
    """Wait until a version is in force on every live process.

    After `wait_s` seconds, print the processes on which it is not in force and exit
    with NOT_EVERYWHERE.
    """
    end_s = time.monotonic() + wait_s
    while True:
        versions = client.call("GET", "config/in_force")["in_force"]
        behind = {e: v for e, v in versions.items() if v is None or v < version}
        if not behind:
            typer.echo(f"in force on all {len(versions)} processes")
            return
        if time.monotonic() >= end_s:
            break
        time.sleep(WAIT_POLL_S)
    for entry, found in sorted(behind.items()):
        shown = "no answer" if found is None else f"version {found}"
        typer.echo(f"not in force on {entry}: {shown}", err=True)
    raise typer.Exit(ExitCode.NOT_EVERYWHERE)


def print_changes(changes: list[dict]) -> None:
    """Print one line per changed setting."""
    for item in changes:
        typer.echo(f"{item['name']}: {item['before']} -> {item['after']}")


def print_plan(plan: dict) -> None:
    """Print the effect of an edit; exit with an error if it would be rejected."""
    typer.echo(f"against version {plan['base_version']}:")
    print_changes(plan["changes"])
    if not plan["changes"]:
        typer.echo("nothing would change")
    for line in plan["conflicts"]:
        typer.echo(f"conflict: {line}")
    for problem in plan["problems"]:
        typer.echo(f"problem: {problem['path']}: {problem['detail']}")
    if plan["conflicts"]:
        raise typer.Exit(ExitCode.CONFLICT)
    if plan["problems"]:
        raise typer.Exit(ExitCode.REFUSED)
