"""Create TLS certificates for entries at run time."""

import datetime
import ipaddress
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

LOOPBACK = ipaddress.ip_address("127.0.0.1")
VALID = datetime.timedelta(days=1)


@dataclass(frozen=True)
class KeyFiles:
    """Hold the paths of the PEM files of one certificate."""

    certificate_file: Path
    key_file: Path
    authority_file: Path


class Authority:
    """Represent a certificate authority for one run."""

    def __init__(self, folder: Path, name: str = "authority") -> None:
        """Create the authority's own key and certificate."""
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._subject = _subject(name)
        self.file = folder / f"{name}.pem"
        usage = x509.BasicConstraints(ca=True, path_length=0)
        certificate = _builder(self._subject, self._subject, self._key).add_extension(
            usage, critical=True
        )
        signed = certificate.sign(self._key, hashes.SHA256())
        self.file.write_bytes(signed.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str) -> KeyFiles:
        """Write a new key and a certificate for the loopback address."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = x509.SubjectAlternativeName(
            [x509.IPAddress(LOOPBACK), x509.DNSName(name)]
        )
        builder = _builder(_subject(name), self._subject, key)
        certificate = builder.add_extension(names, critical=False).sign(
            self._key, hashes.SHA256()
        )
        files = KeyFiles(
            self._folder / f"{name}.crt", self._folder / f"{name}.key", self.file
        )
        files.key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        files.certificate_file.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )
        return files


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALID)
        .not_valid_after(now + VALID)
    )
