"""Define the steps for operators who use the command line."""

import shlex
import subprocess
import sys

from behave import then, when

COMMAND_TIMEOUT_S = 30


@when('an operator runs "{line}"')
def run_command(context, line: str) -> None:
    """Run one command with the addresses of all entries; the first may be down."""
    testbed = context.testbed
    options = ["--token-file", str(testbed.token_file)]
    options += [part for e in testbed.entries for part in ("--entry", e.operators)]
    if line.startswith("target"):
        options += ["--author", "amma"]
    name, *words = shlex.split(line)
    context.command = subprocess.run(
        [sys.executable, "-m", "jayshunt", name, *words, *options],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


@when("entry {number:d} is killed")
def kill_entry(context, number: int) -> None:
    """Kill one entry without a graceful stop."""
    process = context.testbed.entries[number - 1].process
    process.kill()
    process.wait()


@then('the command ends with code {code:d} and prints "{text}"')
def check_command(context, code: int, text: str) -> None:
    """Check the exit code and the output."""
    output = context.command.stdout + context.command.stderr
    assert context.command.returncode == code, output
    assert text in output, output
