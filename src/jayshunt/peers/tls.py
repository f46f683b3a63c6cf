"""Load and reload the keys that authenticate entries to each other."""

import logging
import ssl
import threading
from dataclasses import dataclass

import grpc

from jayshunt.settings.models import TlsFiles

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class Keys:
    """Store the PEM content of the key files.

    `certificate` and `key` belong to this entry; `authority` is the certificate of
    the authority (CA) that signs the certificates of all entries.
    """

    certificate: bytes
    key: bytes
    authority: bytes


class KeyReader:
    """Read the key files and reload them when they are replaced.

    The files are replaced one after another. A set that cannot be read, or whose
    certificate and key do not match, is rejected and the last valid set stays in
    use.
    """

    def __init__(self, files: TlsFiles) -> None:
        """Read the files; raise OSError if that fails."""
        self._files = files
        self._lock = threading.Lock()
        self._file_stats = self._read_file_stats()
        self._keys = self._read_keys()

    @property
    def keys(self) -> Keys:
        """Return the current keys."""
        return self._keys

    def refresh(self) -> bool:
        """Reload the files if they were replaced; return whether the keys changed."""
        with self._lock:
            try:
                file_stats = self._read_file_stats()
                if file_stats == self._file_stats:
                    return False
                keys = self._read_keys()
                if keys == self._keys:
                    self._file_stats = file_stats
                    return False
                self._check_pair()
                if self._read_file_stats() != file_stats:
                    raise ValueError("the files are still being replaced")
            except (OSError, ValueError) as error:
                _LOGGER.warning("peers: replaced keys are not usable yet: %s", error)
                return False
            self._file_stats, self._keys = file_stats, keys
        _LOGGER.info("peers: the replaced keys are in use")
        return True

    def _read_file_stats(self) -> tuple:
        paths = (
            self._files.certificate_file,
            self._files.key_file,
            self._files.authority_file,
        )
        stats = [path.stat() for path in paths]
        return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in stats)

    def _check_pair(self) -> None:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(self._files.certificate_file, self._files.key_file)
        context.load_verify_locations(self._files.authority_file)

    def _read_keys(self) -> Keys:
        return Keys(
            self._files.certificate_file.read_bytes(),
            self._files.key_file.read_bytes(),
            self._files.authority_file.read_bytes(),
        )


def server_credentials(reader: KeyReader) -> grpc.ServerCredentials:
    """Return credentials that require a certificate from every client.

    Replaced key files take effect at the next handshake.
    """

    current = reader.keys

    def reload_if_changed() -> grpc.ServerCertificateConfiguration | None:
        nonlocal current
        reader.refresh()
        if reader.keys == current:
            return None
        current = reader.keys
        return _server_configuration(current)

    return grpc.dynamic_ssl_server_credentials(
        _server_configuration(current), reload_if_changed, True
    )


def channel_credentials(keys: Keys) -> grpc.ChannelCredentials:
    """Return credentials that present the certificate of this entry."""
    return grpc.ssl_channel_credentials(
        root_certificates=keys.authority,
        private_key=keys.key,
        certificate_chain=keys.certificate,
    )


def _server_configuration(keys: Keys) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(keys.key, keys.certificate)], root_certificates=keys.authority
    )
