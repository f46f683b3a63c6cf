"""Test that only authenticated peers are served, also after a key change."""

import socket
import ssl
import unittest

import grpc
from cryptography import x509

from jayshunt.errors import JayshuntError
from jayshunt.membership.messages import Exchange
from jayshunt.membership.tests.builders import build_member
from jayshunt.membership.wire import exchange_to_message
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2_grpc
from jayshunt.peers.server import PeerServer
from jayshunt.peers.tests.builders import PeerSetup, as_files
from jayshunt.peers.tls import KeyReader
from jayshunt_measure.certificates import Authority

UPDATE = exchange_to_message(Exchange("intruder", (build_member("intruder"),)))
CALL_TIMEOUT_S = 5.0


class AuthenticationTest(unittest.TestCase):
    """Test authentication on the port for peers."""

    def setUp(self) -> None:
        """Start a server."""
        self.setup = PeerSetup()
        self.addCleanup(self.setup.stop)

    def call(self, channel: grpc.Channel) -> None:
        """Try to add the member `intruder`."""
        with channel:
            stub = peer_pb2_grpc.MembershipStub(channel)
            stub.Exchange(UPDATE, timeout=CALL_TIMEOUT_S)

    def assert_refused(self, channel: grpc.Channel) -> None:
        """Check that a call fails and adds no member."""
        with self.assertRaises(grpc.RpcError):
            self.call(channel)
        self.assertIsNone(self.setup.membership.view().find("intruder"))

    def test_client_without_tls_changes_nothing(self) -> None:
        """A connection without TLS must not reach the membership service."""
        self.assert_refused(grpc.insecure_channel(self.setup.address))

    def test_client_without_a_certificate_changes_nothing(self) -> None:
        """A client that only trusts the authority must not be accepted as a peer."""
        authority = self.setup.authority.file.read_bytes()
        credentials = grpc.ssl_channel_credentials(root_certificates=authority)
        self.assert_refused(grpc.secure_channel(self.setup.address, credentials))

    def test_client_of_another_authority_changes_nothing(self) -> None:
        """A certificate that another authority signed must not be accepted."""
        other = Authority(self.setup.folder, "stranger").issue("intruder")
        credentials = grpc.ssl_channel_credentials(
            self.setup.authority.file.read_bytes(),
            other.key_file.read_bytes(),
            other.certificate_file.read_bytes(),
        )
        self.assert_refused(grpc.secure_channel(self.setup.address, credentials))

    def test_port_without_keys_is_refused_off_loopback(self) -> None:
        """Missing keys must not expose the port for peers to the network."""
        with self.assertRaises(JayshuntError) as caught:
            PeerServer("0.0.0.0:0", None)
        self.assertEqual(caught.exception.code, "peers_unauthenticated")


class ReplacedKeysTest(unittest.TestCase):
    """Test calls while keys are replaced."""

    def setUp(self) -> None:
        """Start a server and a client."""
        self.setup = PeerSetup()
        self.addCleanup(self.setup.stop)
        self.channels = PeerChannels(self.setup.client_files)
        self.addCleanup(self.channels.stop)

    def call(self, count: int) -> None:
        """Make calls that all have to succeed."""
        for _ in range(count):
            stub = self.channels.stub(self.setup.address, peer_pb2_grpc.MembershipStub)
            stub.Exchange(
                exchange_to_message(Exchange("client")), timeout=CALL_TIMEOUT_S
            )

    def server_serial(self) -> int:
        """Return the serial number of the server's certificate."""
        files = self.setup.client_files
        context = ssl.create_default_context(cafile=files.authority_file)
        context.load_cert_chain(files.certificate_file, files.key_file)
        context.set_alpn_protocols(["h2"])
        host, _, port = self.setup.address.rpartition(":")
        with socket.create_connection((host, int(port)), CALL_TIMEOUT_S) as plain:
            with context.wrap_socket(plain, server_hostname=host) as connection:
                found = connection.getpeercert(binary_form=True)
        return x509.load_der_x509_certificate(found).serial_number

    def test_replaced_keys_are_used_without_a_lost_call(self) -> None:
        """Both sides must load new keys without a restart or a failed call."""
        before = self.server_serial()
        self.call(20)
        old = self.channels.channel(self.setup.address)
        in_flight = peer_pb2_grpc.MembershipStub(old).Exchange.future(
            exchange_to_message(Exchange("client")), timeout=CALL_TIMEOUT_S
        )
        self.setup.authority.issue("server")
        self.setup.authority.issue("client")
        self.assertTrue(self.channels.refresh_keys())
        self.call(20)
        in_flight.result()
        self.assertIsNot(self.channels.channel(self.setup.address), old)
        self.assertNotEqual(self.server_serial(), before)

    def test_half_replaced_keys_are_not_used(self) -> None:
        """A new certificate with the old key must not replace the keys in use.

        The files are replaced one after another, so a reload can see such a pair.
        """
        reader = KeyReader(self.setup.client_files)
        before = reader.keys
        other = as_files(self.setup.authority.issue("other"))
        self.setup.client_files.certificate_file.write_bytes(
            other.certificate_file.read_bytes()
        )
        self.assertFalse(reader.refresh())
        self.assertEqual(reader.keys, before)
        self.setup.client_files.key_file.write_bytes(other.key_file.read_bytes())
        self.assertTrue(reader.refresh())
