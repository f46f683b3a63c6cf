"""Entry point and commands of the command line."""

import signal
import sys
import threading
import tomllib
from enum import Enum
from pathlib import Path
from typing import Annotated

import typer
from typer.completion import completion_init, get_completion_script

from jayshunt import __version__
from jayshunt.cli import config_commands, status_commands, where_command
from jayshunt.cli.const import EXIT_CODE_HELP, ExitCode
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.logs import LogFormat, configure_logging
from jayshunt.settings.loader import InvalidFile, load_settings, load_toml

EPILOG = "Exit codes: " + " ".join(
    f"{code.value} {text}" for code, text in EXIT_CODE_HELP.items()
)

app = typer.Typer(
    name="jayshunt",
    help="Manage fleet capacity and maintenance for shared upstreams.",
    epilog=EPILOG,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    # Typer's completion installer starts a child process; the `completion` command
    # replaces it.
    add_completion=False,
)


class Shell(Enum):
    """Shells for which a completion script is available."""

    BASH = "bash"
    ZSH = "zsh"
    FISH = "fish"


def _show_version(value: bool) -> None:
    if value:
        typer.echo(f"jayshunt {__version__}")
        raise typer.Exit()


@app.callback()
def root_options(
    version: Annotated[
        bool,
        typer.Option(
            "--version", callback=_show_version, is_eager=True, help="Show the version."
        ),
    ] = False,
) -> None:
    """Manage fleet capacity and maintenance for shared upstreams."""


@app.command()
def explain(
    job: Annotated[str, typer.Argument(help="Id of the job.")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if none.")
    ] = None,
) -> None:
    """Explain what happened to a job, from the logs of all entries."""
    from jayshunt.dispatch.explain import explain as explain_job

    events = explain_job(job, _read_log_lines(logs))
    if not events:
        typer.echo(f"no line of these logs names the job {job}", err=True)
        raise typer.Exit(ExitCode.FAILED)
    typer.echo("\n".join(events))


@app.command("audit-starts")
def audit_starts(
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if none.")
    ] = None,
) -> None:
    """List starts on a worker that may not run them, from the logs of all entries."""
    from jayshunt.dispatch.start_audit import audit_starts as find_wrong_starts

    found = find_wrong_starts(_read_log_lines(logs))
    if found:
        typer.echo("\n".join(found))
        raise typer.Exit(ExitCode.FAILED)


def _read_log_lines(logs: list[Path] | None) -> list[str]:
    """Return the lines of log files, or of standard input without files."""
    if not logs:
        return sys.stdin.read().splitlines()
    return [
        line for path in logs for line in path.read_text(errors="replace").splitlines()
    ]


@app.command()
def entry(
    settings: Annotated[Path, typer.Option(help="TOML file with the settings.")],
    log_format: Annotated[LogFormat, typer.Option()] = LogFormat.TEXT,
    log_level: Annotated[str, typer.Option()] = "INFO",
) -> None:
    """Serve callers, operators and peers until SIGTERM or SIGINT."""
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
def check(
    files: Annotated[
        list[Path], typer.Argument(help="Settings or configuration files.")
    ],
) -> None:
    """Validate settings and configuration files; settings have a table `identity`.

    Each mistake is explained. A file with the key `nodeName` is checked as platform
    settings, a file with a table `identity`, `listen` or `platform` as settings, and
    any other file as a configuration.
    """
    problems = [problem for file in files if (problem := _check_file(file))]
    for problem in problems:
        typer.echo(problem.detail, err=True)
    if problems:
        raise typer.Exit(ExitCode.INVALID_FILE)


@app.command()
def completion(
    shell: Annotated[Shell, typer.Argument(help="bash, zsh or fish.")],
) -> None:
    """Print the completion script of a shell, to source in its startup file."""
    typer.echo(
        get_completion_script(
            prog_name="jayshunt", complete_var="_JAYSHUNT_COMPLETE", shell=shell.value
        )
    )


for command in (
    config_commands.apply,
    config_commands.diff,
    config_commands.history,
    config_commands.show,
    config_commands.target,
    config_commands.stop,
    status_commands.status,
    status_commands.dump,
    status_commands.report,
    where_command.where,
):
    app.command()(command)


def _check_platform_settings(file: Path) -> InvalidFile | None:
    from jayshunt.platform.settings import InvalidSettings
    from jayshunt.platform.settings import load_settings as load_platform_settings

    try:
        load_platform_settings(file)
    except InvalidSettings as error:
        return InvalidFile(file, [str(error)])
    typer.echo(f"{file}: platform settings without mistakes")
    return None


def _check_file(file: Path) -> InvalidFile | None:
    if _has_keys(file, {"nodeName"}):
        return _check_platform_settings(file)
    try:
        if _is_settings(file):
            load_settings(file)
            kind = "settings"
        else:
            load_toml(file, ConfigDocument)
            kind = "configuration"
    except InvalidFile as error:
        return error
    typer.echo(f"{file}: {kind} without mistakes")
    return None


def _is_settings(file: Path) -> bool:
    # An unreadable file counts as settings; loading it then reports the error.
    return _has_keys(file, {"identity", "listen", "platform"}, unreadable=True)


def _has_keys(file: Path, keys: set[str], unreadable: bool = False) -> bool:
    try:
        content = tomllib.loads(file.read_text())
    except (OSError, ValueError):
        return unreadable
    return bool(keys & content.keys())


def exit_code_of(error: JayshuntError) -> ExitCode:
    """Return the exit code for an error, REFUSED if no other code applies."""
    if isinstance(error, InvalidFile):
        return ExitCode.INVALID_FILE
    if error.outcome is Outcome.UNKNOWN:
        return ExitCode.UNKNOWN
    if error.code == "config_conflict":
        return ExitCode.CONFLICT
    if error.code == "peer_unreachable":
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


def main() -> None:
    """Run the command line and map errors to exit codes."""
    completion_init()
    try:
        app(prog_name="jayshunt")
    except JayshuntError as error:
        sys.stderr.write(f"{error.detail}\n")
        if not isinstance(error, InvalidFile):
            sys.stderr.write(
                f"code={error.code} step={error.step} peer={error.peer} "
                f"outcome={error.outcome.value}\n"
            )
        sys.exit(exit_code_of(error))


if __name__ == "__main__":
    main()
