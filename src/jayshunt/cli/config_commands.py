"""Define the commands that read and change the configuration."""

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from jayshunt.cli.options import (
    AsJson,
    Author,
    AuthorityFile,
    DryRun,
    Entries,
    Reason,
    TokenFile,
    Wait,
    create_client,
    print_changes,
    print_plan,
    send_change,
)
from jayshunt.config.models import ConfigDocument
from jayshunt.settings.loader import load_toml

File = Annotated[Path, typer.Argument(help="Configuration file.")]
BaseVersion = Annotated[
    int | None,
    typer.Option(
        "--base-version",
        min=0,
        help="Version that the file was edited from; by default the one in force.",
    ),
]


def apply(
    file: File,
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    author: Author = None,
    reason: Reason = "",
    base_version: BaseVersion = None,
    dry_run: DryRun = False,
    wait_s: Wait = 0.0,
) -> None:
    """Apply a configuration file."""
    document = load_toml(file, ConfigDocument)
    send_change(
        create_client(entries, token_file, authority_file, author),
        "PUT",
        "config",
        document.model_dump(mode="json"),
        reason=reason,
        dry_run=dry_run,
        wait_s=wait_s,
        base_version=base_version,
    )


def diff(
    entries: Entries,
    token_file: TokenFile,
    file: Annotated[
        Path | None, typer.Argument(help="Configuration file to compare.")
    ] = None,
    authority_file: AuthorityFile = None,
    old: Annotated[int | None, typer.Option("--from", min=0)] = None,
    new: Annotated[int | None, typer.Option("--to", min=0)] = None,
) -> None:
    """Compare a file with the configuration in force, or two versions."""
    client = create_client(entries, token_file, authority_file)
    if file is not None:
        document = load_toml(file, ConfigDocument).model_dump(mode="json")
        print_plan(client.call("PUT", "config", document, dry_run="1"))
        return
    current = client.call("GET", "config")["version"]
    new = current if new is None else new
    old = max(0, new - 1) if old is None else old
    result = client.call("GET", "config/diff", **{"from": str(old), "to": str(new)})
    typer.echo(f"from version {old} to version {new}:")
    print_changes(result["changes"])


def history(
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    limit: Annotated[int, typer.Option(min=1, max=500)] = 20,
    as_json: AsJson = False,
) -> None:
    """Show the history of configuration changes, newest first."""
    client = create_client(entries, token_file, authority_file)
    result = client.call("GET", "config/history", limit=limit)["history"]
    if as_json:
        typer.echo(json.dumps(result))
        return
    for item in result:
        time = datetime.fromtimestamp(item["accepted_s"], UTC)
        reason = f"  ({item['reason']})" if item["reason"] else ""
        typer.echo(
            f"version {item['version']}  {time:%Y-%m-%d %H:%M:%S}Z  "
            f"{item['author']}{reason}"
        )
        for line in item["changes"]:
            typer.echo(f"    {line['name']}: {line['before']} -> {line['after']}")


def show(
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    at: Annotated[
        int | None,
        typer.Option("--at", min=0, metavar="VERSION", help="Version to print."),
    ] = None,
) -> None:
    """Print the configuration in force, or another version, as JSON."""
    client = create_client(entries, token_file, authority_file)
    typer.echo(json.dumps(client.call("GET", "config", version=at), indent=2))


def target(
    work_class: Annotated[str, typer.Argument(metavar="CLASS")],
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    answer_within_ms: Annotated[int | None, typer.Option(min=1)] = None,
    wait_at_most_s: Annotated[float | None, typer.Option(min=0)] = None,
    author: Author = None,
    reason: Reason = "",
    dry_run: DryRun = False,
    wait_s: Wait = 0.0,
) -> None:
    """Set the response-time or wait-time target of a class."""
    fields = {"target_ms": answer_within_ms, "max_wait_s": wait_at_most_s}
    given = {name: value for name, value in fields.items() if value is not None}
    if not given:
        raise typer.BadParameter("give --answer-within-ms or --wait-at-most-s")
    send_change(
        create_client(entries, token_file, authority_file, author),
        "PUT",
        f"classes/{work_class}/target",
        given,
        reason=reason,
        dry_run=dry_run,
        wait_s=wait_s,
    )


def stop(
    name: Annotated[str, typer.Argument(help="Name of the planned stop.")],
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    scope: Annotated[
        str | None, typer.Option(help="pool, zone, rack_group or every_vm.")
    ] = None,
    of: Annotated[str, typer.Option(help="Name of the pool, zone or rack group.")] = "",
    finish_by: Annotated[
        datetime | None,
        typer.Option(help="UTC deadline for the maintenance of all VMs."),
    ] = None,
    withdraw: Annotated[
        bool, typer.Option("--withdraw", help="Withdraw the planned stop.")
    ] = False,
    author: Author = None,
    reason: Reason = "",
    dry_run: DryRun = False,
    wait_s: Wait = 0.0,
) -> None:
    """Declare or withdraw a planned stop of a pool, a zone, a rack group or all VMs."""
    if withdraw == (scope is not None):
        raise typer.BadParameter("give either --scope or --withdraw")
    fields = {"scope": scope, "target": of, "reason": reason}
    if finish_by is not None:
        fields["finish_by_s"] = finish_by.replace(tzinfo=UTC).timestamp()
    send_change(
        create_client(entries, token_file, authority_file, author),
        "DELETE" if withdraw else "PUT",
        f"stops/{name}",
        None if withdraw else fields,
        reason=reason,
        dry_run=dry_run,
        wait_s=wait_s,
    )
