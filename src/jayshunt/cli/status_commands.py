"""Define the commands that read the state of the deployment."""

import json
import time
from pathlib import Path
from typing import Annotated

import typer

from jayshunt.cli.const import WATCH_INTERVAL_S
from jayshunt.cli.options import (
    AsJson,
    AuthorityFile,
    Entries,
    TokenFile,
    create_client,
)
from jayshunt.cli.status_text import status_lines


def status(
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    as_json: AsJson = False,
    watch: Annotated[
        bool, typer.Option("--watch", help="Refresh every 2 s until interrupted.")
    ] = False,
) -> None:
    """Show the classes, pools, waves and processes of the deployment."""
    client = create_client(entries, token_file, authority_file)
    while True:
        result = client.call("GET", "status")
        if as_json:
            typer.echo(json.dumps(result))
        else:
            if watch:
                typer.clear()
            typer.echo("\n".join(status_lines(result)))
        if not watch:
            return
        time.sleep(WATCH_INTERVAL_S)


def dump(
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    only: Annotated[
        bool, typer.Option("--this-entry", help="Dump only the called entry.")
    ] = False,
) -> None:
    """Print the diagnostics of the entries as JSON, without secrets."""
    client = create_client(entries, token_file, authority_file)
    result = client.call("GET", "dump", scope="entry" if only else None)
    typer.echo(json.dumps(result, indent=2))


def report(
    entries: Entries,
    token_file: TokenFile,
    authority_file: AuthorityFile = None,
    output: Annotated[
        Path, typer.Option("--output", help="HTML file to write.")
    ] = Path("jayshunt-report.html"),
) -> None:
    """Write plots of buffer, roll-outs and moves over time to an HTML file."""
    # Imported here because only this command needs the plotting library.
    from jayshunt.cli.report_page import report_page

    client = create_client(entries, token_file, authority_file)
    output.write_text(report_page(client.call("GET", "report")))
    typer.echo(f"wrote {output}")
