"""Run all checks and print the failures and a line of totals."""

import argparse
import json
import subprocess
import sys
import tempfile
import unittest
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
BINARY = ROOT / "dist" / "jayshunt"
COMMAND_TIMEOUT_S = 240


@dataclass
class CheckResults:
    """Collect the results of the checks; `failed` maps a name to its error text."""

    passed: list[str] = field(default_factory=list)
    failed: dict[str, str] = field(default_factory=dict)

    def add(self, name: str, error: str | None) -> None:
        """Record one check; error is None for a pass."""
        if error is None:
            self.passed.append(name)
            return
        self.failed[name] = error


class PassRecordingResult(unittest.TextTestResult):
    """Record the ids of the unit tests that passed."""

    def __init__(self, *args, **kwargs) -> None:
        """Create a result without tests."""
        super().__init__(*args, **kwargs)
        self.passed_ids: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Record a passed test."""
        super().addSuccess(test)
        self.passed_ids.append(test.id())


def read_known_red() -> set[str]:
    """Return the ids of checks that are recorded as failing."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip() for line in entries}


def run_command(name: str, command: list[str], results: CheckResults) -> str:
    """Run one command as a check; return its standard output, "" after a timeout."""
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        results.add(name, f"did not end within {COMMAND_TIMEOUT_S} s")
        return ""
    output = completed.stdout + completed.stderr
    results.add(name, None if completed.returncode == 0 else output)
    return completed.stdout


def run_units(results: CheckResults) -> None:
    """Run the unit tests of every package under src."""
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "src"), pattern="test_*.py", top_level_dir=str(ROOT / "src")
    )
    runner = unittest.TextTestRunner(resultclass=PassRecordingResult, verbosity=0)
    result = runner.run(suite)
    for test_id in result.passed_ids:
        results.add(test_id, None)
    for test, trace in [*result.failures, *result.errors]:
        results.add(test.id(), trace)
    for test in result.unexpectedSuccesses:
        results.add(test.id(), "passed although it is marked as failing")
    for test, reason in result.skipped:
        results.add(test.id(), f"skipped: {reason}")


def run_scenarios(results: CheckResults) -> None:
    """Run the behave scenarios and record the result of each by feature and name."""
    with tempfile.TemporaryDirectory() as folder:
        report, log = Path(folder) / "report.json", Path(folder) / "log.txt"
        outputs = {"json": report, "plain": log}
        command = [sys.executable, "-m", "behave", "--no-color"]
        for name, path in outputs.items():
            command += ["--format", name, "--outfile", str(path)]
        completed = subprocess.run(
            [*command, "scenarios"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        text = report.read_text() if report.exists() else ""
        lines = log.read_text() if log.exists() else ""
    count = 0
    for feature in json.loads(text) if text.strip() else []:
        for scenario in feature.get("elements", []):
            if scenario.get("type") == "background":
                continue
            count += 1
            name = f"scenario: {feature['name']}: {scenario['name']}"
            passed = scenario.get("status") == "passed"
            results.add(
                name, None if passed else extract_scenario_log(scenario["name"], lines)
            )
    if count == 0:
        results.add(
            "scenarios", f"no scenario ran\n{completed.stdout}{completed.stderr}"
        )


def extract_scenario_log(name: str, log: str) -> str:
    """Return the log of one scenario, or that it did not run if none is found."""
    _, _, after = log.partition(f"Scenario: {name}\n")
    return after.partition("\n  Scenario: ")[0] or "it did not run"


def run_binary(results: CheckResults) -> None:
    """Build the binary, start it and serve one request with it."""
    run_command("binary builds", ["script/build"], results)
    run_command("binary prints its version", [str(BINARY), "--version"], results)
    run_command(
        "binary serves one request",
        [sys.executable, "-m", "jayshunt_measure", "smoke", "--binary", str(BINARY)],
        results,
    )


def report(results: CheckResults) -> int:
    """Print unexpected and known failures and the totals; return the exit code."""
    known = read_known_red()
    unexpected = {n: e for n, e in results.failed.items() if n not in known}
    for name, error in unexpected.items():
        print(f"FAILED {name}\n{error}\n")
    for name in sorted(known):
        if name in results.failed:
            print(f"KNOWN RED {name}\n{results.failed[name]}")
        elif name in results.passed:
            print(f"KNOWN RED BUT PASSED, remove it from KNOWN-RED.txt: {name}")
        else:
            unexpected[name] = "recorded in KNOWN-RED.txt, but it did not run"
            print(f"FAILED {name}\n{unexpected[name]}")
    print(f"{len(results.passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not results.passed else 0


def main() -> int:
    """Run the selected checks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", choices=["lint", "units", "scenarios", "binary"], default=None
    )
    only = parser.parse_args().only
    results = CheckResults()
    if only in (None, "lint"):
        run_command("lint", ["script/lint"], results)
    if only in (None, "units"):
        run_units(results)
    if only in (None, "scenarios"):
        run_scenarios(results)
    if only in (None, "binary"):
        run_binary(results)
    return report(results)


if __name__ == "__main__":
    sys.exit(main())
