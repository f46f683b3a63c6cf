"""Test the connections and reboots of stand-ins, on which measurements rely."""

import http.client
import unittest

from jayshunt_standins.inventory import InventoryStandIn, ListedVm
from jayshunt_standins.upstream import UpstreamFaults, UpstreamStandIn

TIMEOUT_S = 5.0


def connect(
    case: unittest.TestCase, server, timeout_s: float = TIMEOUT_S
) -> http.client.HTTPConnection:
    """Return a connection to a stand-in."""
    host, _, port = server.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    case.addCleanup(connection.close)
    return connection


def get(connection: http.client.HTTPConnection, path: str = "/") -> int:
    """Return the status of one request."""
    connection.request("GET", path, headers={"Standin-Work-Ms": "0"})
    response = connection.getresponse()
    response.read()
    return response.status


class UpstreamConnectionsTest(unittest.TestCase):
    """Guard against measurements that rest on wrong counts or missing faults."""

    def setUp(self):
        """Start an upstream."""
        self.upstream = UpstreamStandIn("desk-1").start()
        self.addCleanup(self.upstream.stop)

    def test_connections_are_counted_and_limited(self):
        """Uncounted connections would hide that an instance got too many of them."""
        self.upstream.connections.limit = 1
        first, second = connect(self, self.upstream), connect(self, self.upstream)
        self.assertEqual(get(first), 200)
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            get(second)
        self.assertEqual(get(first), 200)
        connections = self.upstream.connections
        self.assertEqual((connections.peak, connections.refused), (2, 1))

    def test_existing_connections_go_silent_while_new_ones_work(self):
        """Existing connections must time out while new ones work.

        Otherwise a connection pool that keeps silent connections goes unnoticed.
        """
        old, new = connect(self, self.upstream, 0.1), connect(self, self.upstream)
        self.assertEqual(get(old), 200)
        self.upstream.set_faults(UpstreamFaults(silent_existing=True))
        with self.assertRaises(TimeoutError):
            get(old)
        self.assertEqual(get(new), 200)
        self.upstream.set_faults(UpstreamFaults())

    def test_reboot_takes_the_vm_away_and_brings_it_back(self):
        """A reboot without downtime would not test the budget of a maintenance wave."""
        states = []

        def power(_vm: str, is_on: bool) -> None:
            if is_on:
                with self.assertRaises(ConnectionError):
                    get(connect(self, self.upstream))
                self.upstream.power_on()
            else:
                self.upstream.power_off()
            states.append(is_on)

        vm = ListedVm("desk-1", self.upstream.address, "z", "r", "upstream")
        inventory = InventoryStandIn([vm], lag_s=0.0, reboot_s=0.0, power=power)
        self.addCleanup(inventory._server.server_close)
        inventory._reboot(vm)
        self.assertEqual(states, [False, True])
        self.assertEqual(get(connect(self, self.upstream)), 200)
