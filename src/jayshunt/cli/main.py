"""Define the commands of jayshunt."""

import getpass
import json
import os
import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

import typer

from jayshunt import __version__
from jayshunt.cli.const import ExitCode
from jayshunt.cli.operator_client import OperatorClient
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.logs import LogFormat, configure_logging
from jayshunt.settings.loader import InvalidFile, load_settings

app = typer.Typer(
    name="jayshunt",
    help="Manage fleet capacity and maintenance for shared upstreams.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

Address = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar="JAYSHUNT_ENTRY",
        help="Operator address of an entry, IP:PORT.",
    ),
]
TokenFile = Annotated[
    Path,
    typer.Option(
        "--token-file", envvar="JAYSHUNT_TOKEN_FILE", help="File with the token."
    ),
]


def _show_version(value: bool) -> None:
    if value:
        typer.echo(f"jayshunt {__version__}")
        raise typer.Exit()


@app.callback()
def options(
    version: Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    """Take the options that belong to no command."""


@app.command()
def entry(
    settings: Annotated[Path, typer.Option(help="TOML file with the settings.")],
    log_format: Annotated[LogFormat, typer.Option()] = LogFormat.TEXT,
    log_level: Annotated[str, typer.Option()] = "INFO",
) -> None:
    """Serve callers, operators and peers until SIGTERM."""
    from jayshunt.composition import EntryProcess

    configure_logging(log_format, log_level)
    process = EntryProcess(load_settings(settings))
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    process.start()
    stopped.wait()
    process.stop()


@app.command()
def check(file: Annotated[Path, typer.Argument(help="Settings file.")]) -> None:
    """Check a settings file and explain each mistake."""
    load_settings(file)
    typer.echo(f"{file}: no mistakes")


@app.command()
def target(
    work_class: Annotated[str, typer.Argument(metavar="CLASS")],
    address: Address,
    token_file: TokenFile,
    answer_within_ms: Annotated[int | None, typer.Option(min=1)] = None,
    wait_at_most_s: Annotated[float | None, typer.Option(min=0)] = None,
) -> None:
    """Set the target of a class."""
    fields = {"target_ms": answer_within_ms, "max_wait_s": wait_at_most_s}
    given = {name: value for name, value in fields.items() if value is not None}
    if not given:
        raise typer.BadParameter("give --answer-within-ms or --wait-at-most-s")
    result = _client(address, token_file).call(
        "PUT", f"classes/{work_class}/target", given
    )
    typer.echo(f"accepted as version {result['version']}")


@app.command()
def stop(
    name: Annotated[str, typer.Argument(help="Name of the planned stop.")],
    address: Address,
    token_file: TokenFile,
    scope: Annotated[str, typer.Option(help="pool, zone, rack_group or every_vm.")],
    of: Annotated[str, typer.Option(help="Name of the pool, zone or group.")] = "",
    reason: Annotated[str, typer.Option()] = "",
) -> None:
    """Declare a planned stop."""
    fields = {"scope": scope, "target": of, "reason": reason}
    result = _client(address, token_file).call("PUT", f"stops/{name}", fields)
    typer.echo(f"accepted as version {result['version']}")


@app.command()
def status(
    address: Address,
    token_file: TokenFile,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Show whether each class is met."""
    result = _client(address, token_file).call("GET", "status")
    if as_json:
        typer.echo(json.dumps(result))
        return
    typer.echo(f"configuration {result['config_version']}, store {result['store']}")
    for item in result["classes"]:
        verdict = "met" if item["is_met"] else "MISSED"
        typer.echo(
            f"{item['work_class']:<24} target {item['target_ms']:>6} ms  "
            f"p99 {item['p99_ms']:>8.1f} ms  {item['met']}/{item['requests']} {verdict}"
        )
    for name, planned in result["planned_stops"].items():
        typer.echo(f"planned stop {name}: {planned['scope']} {planned['target']}")


@app.command()
def dump(address: Address, token_file: TokenFile) -> None:
    """Print the whole state of an entry as JSON."""
    result = _client(address, token_file).call("GET", "dump")
    typer.echo(json.dumps(result, indent=2))


def _client(address: str, token_file: Path) -> OperatorClient:
    author = os.environ.get("JAYSHUNT_AUTHOR") or getpass.getuser()
    return OperatorClient(address, token_file.read_text().strip(), author)


def exit_code_of(error: JayshuntError) -> ExitCode:
    """Return the exit code that tells of an error."""
    if isinstance(error, InvalidFile):
        return ExitCode.INVALID_FILE
    if error.outcome is Outcome.UNKNOWN:
        return ExitCode.UNKNOWN
    if error.code == "peer_unreachable":
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


def main() -> None:
    """Run the command line and turn errors into exit codes."""
    try:
        app()
    except JayshuntError as error:
        sys.stderr.write(f"{error.detail}\n")
        sys.stderr.write(
            f"code={error.code} step={error.step} peer={error.peer} "
            f"outcome={error.outcome.value}\n"
        )
        sys.exit(exit_code_of(error))


if __name__ == "__main__":
    main()
