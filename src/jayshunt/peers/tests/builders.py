"""Build a peer server with a membership service."""

import random
import shutil
import tempfile
from pathlib import Path

from jayshunt.clock import SystemClock
from jayshunt.membership.peer_service import MembershipServicer
from jayshunt.membership.service import MembershipService
from jayshunt.membership.tests.builders import build_member
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.server import PeerServer
from jayshunt.settings.models import TlsFiles
from jayshunt_measure.certificates import Authority, KeyFiles


class PeerSetup:
    """Manage a folder of keys, a peer server and its membership service."""

    def __init__(self) -> None:
        """Start the server on a free port."""
        self.folder = Path(tempfile.mkdtemp(prefix="jayshunt-"))
        self.authority = Authority(self.folder)
        self.server_files = as_files(self.authority.issue("server"))
        self.client_files = as_files(self.authority.issue("client"))
        self.server = PeerServer("127.0.0.1:0", self.server_files)
        self.address = f"127.0.0.1:{self.server.port}"
        self.channels = PeerChannels(self.server_files)
        self.membership = MembershipService(
            build_member("server"), (), self.channels, SystemClock(), random.Random(1)
        )
        self.server.add(MembershipServicer(self.membership).add_to)
        self.server.start()

    def stop(self) -> None:
        """Stop the server and remove the keys."""
        self.channels.stop()
        self.server.stop()
        shutil.rmtree(self.folder)


def as_files(keys: KeyFiles) -> TlsFiles:
    """Return key files as TLS settings."""
    return TlsFiles(
        certificate_file=keys.certificate_file,
        key_file=keys.key_file,
        authority_file=keys.authority_file,
    )
