"""Test reloading TLS keys while connections are open."""

import tempfile
import unittest
from pathlib import Path

from jayshunt.clock import ManualClock
from jayshunt.serving.tests.builders import (
    FakeRouter,
    certificate_name,
    connect_tls,
    get,
    read_answer,
    start_server,
    write_certificate,
)
from jayshunt.serving.tls import ReloadingTls
from jayshunt.settings.models import ServerTlsFiles


class ReloadingTlsTest(unittest.TestCase):
    """Guard against key changes that cut off callers or need a restart."""

    def setUp(self):
        """Start a server with a first key."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        certificate, key = write_certificate(self.folder, "first")
        files = ServerTlsFiles(certificate_file=certificate, key_file=key)
        self.clock = ManualClock()
        self.tls = ReloadingTls(files, self.clock)
        self.server = start_server(FakeRouter(), tls=self.tls)
        self.addCleanup(self.server.stop)

    def test_new_key_serves_new_connections_and_old_ones_go_on(self):
        """A replaced key must neither cut off callers nor need a restart."""
        with connect_tls(self.server) as before:
            write_certificate(self.folder, "second")
            self.clock.advance(2)
            with connect_tls(self.server) as after:
                self.assertEqual(certificate_name(after), "second")
                after.sendall(get())
                self.assertIn(b"200 OK", read_answer(after)[0])
            before.sendall(get())
            self.assertIn(b"200 OK", read_answer(before)[0])
            self.assertEqual(certificate_name(before), "first")

    def test_unusable_key_leaves_the_last_one_in_use(self):
        """A partially written key file must not take the server down."""
        (self.folder / "server.key").write_text("not a key")
        self.clock.advance(2)
        with self.assertLogs("jayshunt.serving.tls", "ERROR"):
            with connect_tls(self.server) as connection:
                self.assertEqual(certificate_name(connection), "first")
        self.assertTrue(self.tls.last_error)
