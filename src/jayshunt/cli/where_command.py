"""Define the command that explains where a job would be placed."""

import json
from pathlib import Path
from typing import Annotated

import typer

from jayshunt import http_client
from jayshunt.cli.const import CALL_TIMEOUT_S, ExitCode
from jayshunt.cli.options import AsJson
from jayshunt.cli.where_text import where_lines

EXIT_CODES = {
    "malformed_job": ExitCode.INVALID_FILE,
    "unavailable": ExitCode.UNREACHABLE,
}


def where(
    entry: Annotated[
        str,
        typer.Option(help="Peer address of any entry on the users' platform, IP:PORT."),
    ],
    queue: Annotated[str, typer.Option(help="Name of the queue.")],
    job: Annotated[
        Path | None,
        typer.Option(help="File with a job as submitted; without it, one short task."),
    ] = None,
    workspace: Annotated[
        str, typer.Option(help="Name of the workspace that would submit the job.")
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Explain where a job would be placed now, and why, without submitting it."""
    question = {"queue": queue, "workspace": workspace}
    if job is not None:
        question["job"] = _read(job)
    answer = http_client.request(
        "POST",
        f"http://{entry}/dispatch/where",
        body=json.dumps(question).encode(),
        headers={"Content-Type": "application/json"},
        timeout_s=CALL_TIMEOUT_S,
        step="cli.where",
    )
    try:
        result = json.loads(answer.body)
    except ValueError:
        result = {"error": f"status {answer.status} without an explanation"}
    if "error" in result:
        typer.echo(result["error"], err=True)
        raise typer.Exit(EXIT_CODES.get(result.get("code"), ExitCode.FAILED))
    typer.echo(json.dumps(result) if as_json else "\n".join(where_lines(result)))


def _read(file: Path) -> str:
    """Return the text of a job file; raise BadParameter if it can't be read."""
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise typer.BadParameter(f"{file}: {error}") from error
