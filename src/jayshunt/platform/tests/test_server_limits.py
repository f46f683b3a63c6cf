"""Test that an entry's limits follow from its memory and from the configuration."""

import json
import unittest
from dataclasses import replace

from jayshunt.dispatch.memory_budget import (
    CONNECTION_BYTES,
    PEER_CONNECTION_BYTES,
    divide_memory,
    max_idle_worker_connections,
)
from jayshunt.dispatch.metrics import EntryMetrics
from jayshunt.dispatch.models import FleetConfig
from jayshunt.ids import ConfigVersion, JobId, QueueName
from jayshunt.platform.formats import (
    MalformedSubmission,
    decode_config,
    decode_submission,
)
from jayshunt.platform.server_limits import (
    CurrentSizes,
    caller_limits,
    peer_limits,
    readiness_limits,
    request_sizes,
)
from jayshunt.platform.settings import decode_settings
from jayshunt.platform.tests.test_formats import SETTINGS
from jayshunt.serving.const import RECEIVED_FACTOR

SERVERS = (caller_limits, peer_limits, readiness_limits)


def build_node(memory_mb: int = 300, max_fds: int = 4_100):
    """Return an entry with the given memory and descriptors."""
    limits = {"memoryMb": memory_mb, "maxFds": max_fds}
    return decode_settings({**SETTINGS, "limits": limits})


def decode_limits(limits: object) -> FleetConfig:
    """Return a configuration with the given limits."""
    return decode_config(json.dumps({"version": 1, "limits": limits}).encode())


class ServerLimitsTest(unittest.TestCase):
    """Guard against servers that together may hold more than the VM has."""

    def test_servers_stay_within_their_share(self) -> None:
        """A process that exceeds its memory is killed."""
        for memory_mb in (128, 300, 2_000):
            node = build_node(memory_mb)
            budget = divide_memory(memory_mb)
            servers = [limits(node) for limits in SERVERS]
            callers, peers, readiness = (server.max_connections for server in servers)
            self.assertLessEqual(
                (callers + readiness) * CONNECTION_BYTES, budget.connections_bytes
            )
            self.assertLessEqual(
                peers * PEER_CONNECTION_BYTES, budget.peer_connections_bytes
            )
            held = sum(server.max_held_body_bytes for server in servers)
            self.assertLessEqual(held * RECEIVED_FACTOR, budget.requests_bytes)

    def test_connections_leave_descriptors(self) -> None:
        """Callers must not use up the descriptors of the connections to workers."""
        for max_fds in (1_000, 4_100):
            node = build_node(100_000, max_fds)
            callers, peers, readiness = (
                limits(node).max_connections for limits in SERVERS
            )
            to_workers = max_idle_worker_connections(max_fds)
            # Each caller's request may be calling the store, with three descriptors.
            connections = 4 * (callers + readiness) + peers
            self.assertLess(connections + to_workers, max_fds - 200)

    def test_each_entry_of_a_large_deployment_reaches_the_dispatcher(self) -> None:
        """With too few connections, entries would take the dispatcher for lost."""
        self.assertGreater(peer_limits(build_node(200)).max_connections, 300)

    def test_configuration_limits_requests(self) -> None:
        """The operator's limits must hold, as far as the memory allows them."""
        node = build_node()
        config = decode_limits({"maxHeaderBytes": 8_192, "maxBodyBytes": 262_144})
        sizes = request_sizes(node, config)
        self.assertEqual((8_192, 262_144), (sizes.max_head_bytes, sizes.max_body_bytes))
        sizes = request_sizes(node, replace(config, max_body_bytes=2**31))
        self.assertLess(sizes.max_body_bytes, caller_limits(node).max_held_body_bytes)

    def test_new_configuration_is_in_force_at_once(self) -> None:
        """Limits that are derived once must follow a later version."""
        current = [None]
        sizes = CurrentSizes(build_node(), lambda: current[0])
        self.assertEqual(1024 * 1024, sizes().max_body_bytes)
        current[0] = decode_limits({"maxBodyBytes": 5_000})
        self.assertEqual(5_000, sizes().max_body_bytes)

    def test_default_sizes(self) -> None:
        """Without limits, or with malformed ones, requests are limited as before."""
        node = build_node()
        for config in (
            None,
            FleetConfig(ConfigVersion(1)),
            decode_limits("none"),
            decode_limits({"maxHeaderBytes": -1, "maxBodyBytes": "1 MB"}),
        ):
            sizes = request_sizes(node, config)
            self.assertEqual(16 * 1024, sizes.max_head_bytes)
            self.assertEqual(1024 * 1024, sizes.max_body_bytes)

    def test_largest_job_fits_on_a_small_vm(self) -> None:
        """A job within the limits of its fields must be accepted with any memory."""
        sizes = request_sizes(build_node(80), None)
        self.assertLess(len(build_largest_job()), sizes.max_body_bytes)


class HeldFieldsTest(unittest.TestCase):
    """Guard against fields of callers that are kept without limit."""

    def decode(self, body: bytes):
        """Decode the body of a submission."""
        return decode_submission(JobId("a" * 16), QueueName("q"), body)

    def test_largest_job_is_read(self) -> None:
        """A limit must not refuse a job that the interface allows."""
        self.assertEqual(64, len(self.decode(build_largest_job()).steps))

    def test_document_of_many_values_is_refused_before_it_is_decoded(self) -> None:
        """Objects take up many times the memory of their text."""
        body = b'{"steps":[{}],"x":[' + b"{}," * 20_000 + b"{}]}"
        with self.assertRaisesRegex(MalformedSubmission, "values"):
            self.decode(body)

    def test_long_texts_are_refused(self) -> None:
        """Such a job would be kept in memory, and its record could not be read."""
        for name in ("requires", "affinity", "image"):
            for text in ("x" * 201, "a\nb", ["x"] * 100):
                body = json.dumps({"steps": [{name: text}]}).encode()
                with self.assertRaises(MalformedSubmission):
                    self.decode(body)

    def test_repeated_steps_are_kept_once(self) -> None:
        """A list of a million equal numbers would be kept with the job."""
        body = json.dumps({"steps": [{}, {"after": [0] * 5_000}]}).encode()
        self.assertEqual((0,), self.decode(body).steps[1].after)

    def test_reason_is_short(self) -> None:
        """Reasons are logged, and up to thousands of lines wait to be written."""
        body = b'{"steps":[{"cpu":' + b"9" * 4_000 + b"}]}"
        with self.assertRaises(MalformedSubmission) as caught:
            self.decode(body)
        self.assertLessEqual(len(str(caught.exception)), 300)

    def test_methods_do_not_add_metrics(self) -> None:
        """A client that invents methods would add a histogram with each."""
        metrics = EntryMetrics(None, None)
        for number in range(100):
            metrics.observe_answer(f"M{number}", 400, 0.001)
        children = metrics._answers._metrics
        self.assertEqual({("other", "400")}, set(children))


def build_largest_job() -> bytes:
    """Return a submission with all steps, each with all fields at their limit."""
    step = {
        **{name: 2**31 for name in ("cpu", "memMb", "gpu", "estimateMs", "targetMs")},
        **{name: 2**31 for name in ("antiAffinity", "mayMiss")},
        **{name: "x" * 200 for name in ("requires", "affinity", "image")},
        **{name: True for name in ("checkpoint", "gang", "sameRack", "speculative")},
        **{name: True for name in ("longRunning", "fills")},
    }
    steps = [{**step, "count": 781, "after": list(range(n))} for n in range(64)]
    fields = {"spec": "," * 4_000, "steps": steps, "times": 1, "startAtMs": 2**53}
    return json.dumps({**fields, "intervalMs": 2**31}).encode()


if __name__ == "__main__":
    unittest.main()
