"""Test the decoding of documents of the operator, callers and workers."""

import json
import unittest

from jayshunt.dispatch.models import Resources, WorkerState
from jayshunt.ids import JobId, QueueName, RackName
from jayshunt.platform.formats import (
    MalformedSubmission,
    decode_config,
    decode_submission,
    decode_wave,
    decode_worker,
    digest_key,
    is_job_id,
)
from jayshunt.platform.settings import InvalidSettings, decode_settings

WORKER = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "ash",
    "state": "ready",
    "capacity": {"cpu": 64000, "memMb": 1024, "gpu": 0},
    "labels": ["a", "r1-2"],
    "machine": "m-1",
    "born": 5,
}
# Nested more deeply than the decoder can follow.
DEEP_JSON = b"[" * 200_000
SETTINGS = {
    "nodeName": "front-ash-1",
    "zone": "ash",
    "ip": "10.0.0.9",
    "portRange": [7060, 7075],
    "listenAddrs": {"front": "10.0.0.9:1", "readyAddr": "10.0.0.9:2"},
    "platform": {"address": "10.0.0.1:3"},
    "bounds": {"holdMaxMs": 6000, "graceS": 6, "status_s": 120},
}


class WorkerRecordTest(unittest.TestCase):
    """Test the worker list, to which other programs write as well."""

    def test_record_is_read(self) -> None:
        """A misread field would place tasks on the wrong workers."""
        worker = decode_worker("i-1", json.dumps(WORKER).encode())
        self.assertEqual(RackName("r1-2"), worker.rack)
        self.assertEqual(Resources(64000, 1024, 0), worker.capacity)
        self.assertIs(WorkerState.READY, worker.state)

    def test_malformed_record_is_ignored(self) -> None:
        """One malformed record must not make the others unreadable."""
        broken = [
            b"\xff\x00",
            b"[]",
            b"{}",
            json.dumps({**WORKER, "state": "odd"}).encode(),
            json.dumps({**WORKER, "service": 7}).encode(),
            json.dumps({**WORKER, "capacity": {"cpu": "x"}}).encode(),
            json.dumps({**WORKER, "address": None}).encode(),
            json.dumps({**WORKER, "born": 0}).replace(": 0}", ": 1e999}").encode(),
            json.dumps({**WORKER, "capacity": {"cpu": -1, "memMb": 1}}).encode(),
            json.dumps({**WORKER, "labels": [{}]}).encode(),
            DEEP_JSON,
        ]
        for value in broken:
            with self.assertLogs("jayshunt.platform.formats", "WARNING"):
                self.assertIsNone(decode_worker("i-1", value), value)


class SubmissionTest(unittest.TestCase):
    """Test jobs as callers submit them."""

    def decode(self, fields: dict):
        """Decode the body of a submission."""
        body = json.dumps(fields).encode()
        return decode_submission(JobId("a" * 16), QueueName("q"), body)

    def test_job_is_read(self) -> None:
        """An ignored field would break the caller's placement rules."""
        job = self.decode(
            {
                "spec": "text",
                "steps": [
                    {"count": 2, "cpu": 500, "memMb": 256, "antiAffinity": 1},
                    {"after": [0], "longRunning": True, "mayMiss": 1, "fills": True},
                ],
            }
        )
        first, second = job.steps
        self.assertEqual((2, 1), (first.task_count, first.max_per_worker))
        self.assertEqual((0,), second.after)
        self.assertTrue(second.is_long_running and second.fills)
        self.assertEqual(1, second.max_unavailable)

    def test_malformed_job_is_refused(self) -> None:
        """A step that depends on itself would never start, for example."""
        for fields in (
            {"steps": []},
            {"steps": [{"after": [0]}]},
            {"spec": "x" * 5000, "steps": [{}]},
            {"steps": [{"count": 0}]},
            [],
        ):
            with self.assertRaises(MalformedSubmission):
                self.decode(fields)

    def test_hostile_documents_are_refused(self) -> None:
        """Other errors than MalformedSubmission would break the caller's connection."""
        bodies = [
            DEEP_JSON,
            b"\xff",
            b'{"steps":[{"cpu":1e999}]}',
            b'{"steps":[{"estimateMs":-1}]}',
            b'{"steps":[{"memMb":' + b"9" * 5_000 + b"}]}",
            b'{"steps":[{"after":7}]}',
            b'{"steps":[null]}',
            b'{"spec":"\\ud800","steps":[{}]}',
        ]
        for body in bodies:
            with self.assertRaises(MalformedSubmission, msg=body[:40]):
                decode_submission(JobId("a" * 16), QueueName("q"), body)

    def test_job_with_too_many_tasks_is_refused(self) -> None:
        """All due occurrences are created at once, which must not use up the memory."""
        with self.assertRaises(MalformedSubmission):
            self.decode({"steps": [{"count": 10_000}] * 64})
        with self.assertRaises(MalformedSubmission):
            self.decode({"steps": [{}], "times": 1_000_000_000})
        self.assertEqual(1_000, self.decode({"steps": [{}], "times": 1_000}).times)

    def test_job_ids(self) -> None:
        """If a malformed id passed, a submission could turn any path into a key."""
        self.assertTrue(is_job_id("5c0e7a21d94b36f8"))
        self.assertFalse(is_job_id("5c0e7a21d94b36f"))
        self.assertFalse(is_job_id("5c0e7a21d94b36/8"))


class ConfigTest(unittest.TestCase):
    """Test the operator's configuration."""

    def test_longest_prefix_selects_the_queue(self) -> None:
        """A match of the shorter prefix would send jobs to another pool."""
        routes = [
            {"name": "a", "host": "h", "prefix": "/x/", "service": "s"},
            {"name": "b", "host": "h", "prefix": "/x/y/", "service": "s"},
        ]
        value = {"version": 3, "routes": routes, "services": [{"name": "s"}]}
        config = decode_config(json.dumps(value).encode())
        self.assertEqual("b", config.queue_of("H", "/x/y/1").queue)
        self.assertEqual("a", config.queue_of("h", "/x/z").queue)
        self.assertIsNone(config.queue_of("other", "/x/z"))

    def test_malformed_workspace_has_no_keys(self) -> None:
        """A string read as a list of keys would accept keys of one character."""
        good = {"name": "river", "apiKeys": ["k-1"]}
        bad = [
            {"name": "b", "apiKeys": "k-secret"},
            {"name": "b", "apiKeys": ["k-secret", ""]},
            {"name": "", "apiKeys": ["k-secret"]},
            {"apiKeys": ["k-secret"]},
            {"name": "b", "apiKeys": ["k-secret\ud800"]},
            "k-secret",
        ]
        with self.assertLogs("jayshunt.platform.formats", "ERROR") as logs:
            config = decode_config(
                json.dumps({"version": 1, "tenants": [*bad, good]}).encode()
            )
            tables = {"x": "k-secret", "river": {"apiKeys": ["k-1"]}}
            named = decode_config(
                json.dumps({"version": 1, "tenants": tables}).encode()
            )
        self.assertEqual(config.workspaces, named.workspaces)
        (workspace,) = config.workspaces
        self.assertEqual(frozenset({digest_key("k-1")}), workspace.key_digests)
        self.assertNotIn("k-secret", repr([vars(record) for record in logs.records]))

    def test_wave_that_cannot_be_read_is_left_out(self) -> None:
        """A malformed wave of another program must not stop the valid ones."""
        for value in (b"{}", b"[]", b'{"wave":1e999,"machines":[]}', DEEP_JSON):
            with self.assertLogs("jayshunt.platform.formats", "WARNING"):
                self.assertIsNone(decode_wave(value))


class SettingsTest(unittest.TestCase):
    """Test the settings file."""

    def test_malformed_value_is_named_by_its_key(self) -> None:
        """An operator has to find the wrong line without reading the code."""
        listen = SETTINGS["listenAddrs"]
        broken = {
            "limits.cores": {"limits": {"cores": "two"}},
            "limits": {"limits": 7},
            "bounds.graceS": {"bounds": {"graceS": -1}},
            "bounds.farX": {"bounds": {"farX": float("inf")}},
            "cloudApi.dutiesPerS": {"cloudApi": {"dutiesPerS": True}},
            "listenAddrs.front": {"listenAddrs": {**listen, "front": "10.0.0.9:http"}},
            "advice": {"advice": "10.0.0.9:70000"},
            "portRange": {"portRange": [None, 1]},
        }
        for key, change in broken.items():
            with self.assertRaisesRegex(InvalidSettings, f"^{key}: "):
                decode_settings({**SETTINGS, **change})

    def test_units_are_translated(self) -> None:
        """Seconds read as milliseconds would expire every lease immediately."""
        node = decode_settings({**SETTINGS, "newField": 1})
        self.assertEqual(6000, node.bounds.grace_ms)
        self.assertEqual(120_000, node.bounds.status_ms)
        self.assertEqual(6000, node.bounds.max_lease_ms)
        self.assertEqual("10.0.0.9:7060", str(node.peer))

    def test_missing_key_is_named(self) -> None:
        """The error must name the missing key, so that an operator can find it."""
        for key in ("nodeName", "portRange", "platform"):
            fields = {k: v for k, v in SETTINGS.items() if k != key}
            with self.assertRaisesRegex(InvalidSettings, key):
                decode_settings(fields)


if __name__ == "__main__":
    unittest.main()
