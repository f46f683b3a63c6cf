"""Test the output and the exit codes of the command `where`."""

import json
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from typer.testing import CliRunner

from jayshunt.cli.const import ExitCode
from jayshunt.cli.main import app
from jayshunt.cli.tests.builders import build_explanation
from jayshunt.http_client import HttpAnswer

COMMAND = ["where", "--entry", "10.0.0.1:7444", "--queue", "quotes"]


class WhereCommandTest(unittest.TestCase):
    """Run the command against fixed answers of an entry."""

    def run_command(self, status: int, answer: dict, *options: str):
        """Return the result of the command, and keep what was sent."""
        body = json.dumps(answer).encode()
        with patch(
            "jayshunt.cli.where_command.http_client.request",
            return_value=HttpAnswer(status, {}, body),
        ) as request:
            result = CliRunner().invoke(app, [*COMMAND, *options])
        self.sent = json.loads(request.call_args.kwargs["body"])
        return result

    def test_table_shows_verdict_workers_and_reasons(self) -> None:
        """An operator must see a refusal and a late end without reading numbers."""
        lines = self.run_command(200, build_explanation()).output
        for text in ("accepted", "i-1", "no room", "would move to desk", "in time"):
            self.assertIn(text, lines)
        late = build_explanation(
            is_accepted=False,
            reason="the queue is far behind",
            retry_after_s=4.0,
            is_in_time=False,
            workers=[],
            waits_for="room on a worker",
        )
        lines = self.run_command(200, late).output
        for text in ("REFUSED, the queue is far behind, retry after 4 s", "TOO LATE"):
            self.assertIn(text, lines)

    def test_job_file_is_sent_as_it_is(self) -> None:
        """Its mistakes must be those that a submission would be answered with."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "job.json"
            file.write_text("{ no json")
            answer = {"error": "steps: missing", "code": "malformed_job"}
            result = self.run_command(400, answer, "--job", str(file))
        self.assertEqual("{ no json", self.sent["job"])
        self.assertEqual(ExitCode.INVALID_FILE, result.exit_code)
        self.assertIn("steps: missing", result.output)

    def test_entry_that_is_cut_off(self) -> None:
        """A script must be able to tell it from a refused job."""
        answer = {"error": "this entry is cut off", "code": "unavailable"}
        result = self.run_command(503, answer)
        self.assertEqual(ExitCode.UNREACHABLE, result.exit_code)

    def test_json_is_the_answer(self) -> None:
        """Scripts read the fields."""
        answer = build_explanation()
        result = self.run_command(200, answer, "--json")
        self.assertEqual(answer, json.loads(result.output))


if __name__ == "__main__":
    unittest.main()
