"""Build servers, raw connections and TLS keys for the tests of this package."""

import datetime
import ipaddress
import socket
import ssl
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from jayshunt.errors import JayshuntError
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.serving.application import CallerApplication
from jayshunt.serving.http_server import HttpServer
from jayshunt.serving.limits import ServerLimits

HOST = "127.0.0.1"
WAIT_S = 5.0


@dataclass
class FakeRouter:
    """Record requests and answer each with the given function."""

    answer: Callable[[CallerRequest], CallerAnswer] = lambda request: CallerAnswer(
        200, (("content-type", "text/plain"),), b"answer to " + request.body
    )
    requests: list[CallerRequest] = field(default_factory=list)

    def send(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request."""
        self.requests.append(request)
        return self.answer(request)


@dataclass
class BlockingRouter(FakeRouter):
    """Block each request until it is cancelled or released."""

    entered: threading.Event = field(default_factory=threading.Event)
    released: threading.Event = field(default_factory=threading.Event)
    cancelled: list[CallerRequest] = field(default_factory=list)

    def send(self, request: CallerRequest) -> CallerAnswer:
        """Wait, then refuse a cancelled request and answer any other."""
        self.entered.set()
        self.released.wait(WAIT_S)
        if request in self.cancelled:
            raise JayshuntError("cancelled", step="test")
        return super().send(request)

    def cancel(self, request: CallerRequest) -> None:
        """Record the cancellation and release the request."""
        self.cancelled.append(request)
        self.released.set()


def start_server(router, limits: ServerLimits | None = None, **options) -> HttpServer:
    """Start a callers' server on a free port."""
    cancel = getattr(router, "cancel", lambda _: None)
    application = CallerApplication(router.send, _no_jobs, cancel)
    limits = limits or ServerLimits(drain_grace_s=0.0, drain_timeout_s=2.0)
    server = HttpServer(HOST, 0, application, limits, **options)
    server.start()
    return server


def connect(server: HttpServer) -> socket.socket:
    """Open a connection to a server."""
    return socket.create_connection((HOST, server.port), timeout=WAIT_S)


def exchange(server: HttpServer, *parts: bytes) -> bytes:
    """Send bytes over a new connection; return what the server sends until closing."""
    with connect(server) as connection:
        for part in parts:
            connection.sendall(part)
        return read_all(connection)


def read_all(connection: socket.socket) -> bytes:
    """Return everything until the server closes the connection."""
    received = b""
    while data := connection.recv(65_536):
        received += data
    return received


def read_answer(connection: socket.socket) -> tuple[bytes, bytes]:
    """Return the head and the body of one answer."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(65_536)
        if not data:
            raise ConnectionError(f"closed after {received!r}")
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    while len(body) < length:
        body += connection.recv(65_536)
    return head, body


def get(path: str = "/v1/classes/quotes/rate", lines: Iterable[str] = ()) -> bytes:
    """Return the bytes of a GET request."""
    return "\r\n".join([f"GET {path} HTTP/1.1", "Host: x", *lines, "", ""]).encode()


def post(body: bytes, *lines: str) -> bytes:
    """Return the bytes of a POST request with its length."""
    first = "POST /v1/classes/quotes/rate HTTP/1.1"
    head = [first, "Host: x", f"Content-Length: {len(body)}", *lines, "", ""]
    return "\r\n".join(head).encode() + body


def write_certificate(folder: Path, name: str) -> tuple[Path, Path]:
    """Write a self-signed certificate with a name and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address(HOST))]),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    certificate_file, key_file = folder / "server.pem", folder / "server.key"
    certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_file, key_file


def connect_tls(server: HttpServer) -> ssl.SSLSocket:
    """Open a TLS connection without verifying the certificate."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context.wrap_socket(connect(server))


def certificate_name(connection: ssl.SSLSocket) -> str:
    """Return the common name in the certificate that the server presented."""
    certificate = x509.load_der_x509_certificate(
        connection.getpeercert(binary_form=True)
    )
    return certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value


def _no_jobs(request):
    raise JayshuntError("not_found", step="test", detail=request.path)
