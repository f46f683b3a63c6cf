"""Load and reload the TLS certificate and key of an HTTP server."""

import logging
import ssl
import threading

from jayshunt.clock import Clock
from jayshunt.serving.const import TLS_CHECK_INTERVAL_S
from jayshunt.settings.models import ServerTlsFiles

_LOGGER = logging.getLogger(__name__)


class ReloadingTls:
    """TLS context for new connections, reloaded when its files change.

    The files are checked when a connection is accepted, at most once a second. A
    change is loaded into a new context for later connections; open connections
    keep theirs. If the files cannot be read or do not match each other, the error
    is logged and the last valid context stays in use.
    """

    def __init__(self, files: ServerTlsFiles, clock: Clock) -> None:
        """Load the files; raise OSError or ssl.SSLError if they are unusable."""
        self._files = files
        self._clock = clock
        self._lock = threading.Lock()
        self._stamps = self._read_stamps()
        self._checked_s = clock.monotonic_s()
        self._context = self._load()
        self.reloads = 0
        self.last_error = ""

    def context(self) -> ssl.SSLContext:
        """Return the context for a new connection."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if now_s - self._checked_s >= TLS_CHECK_INTERVAL_S:
                self._checked_s = now_s
                self._reload_if_changed()
            return self._context

    def _reload_if_changed(self) -> None:
        try:
            stamps = self._read_stamps()
            if stamps == self._stamps:
                return
            self._context = self._load()
            self._stamps = stamps
        except (OSError, ssl.SSLError) as error:
            if str(error) != self.last_error:
                _LOGGER.error("serving: new TLS keys are unusable: %s", error)
            self.last_error = str(error)
            return
        self.reloads += 1
        self.last_error = ""
        _LOGGER.info("serving: TLS keys were reloaded")

    def _load(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self._files.certificate_file, self._files.key_file)
        if self._files.client_authority_file is not None:
            context.load_verify_locations(self._files.client_authority_file)
            context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(["http/1.1"])
        return context

    def _read_stamps(self) -> tuple:
        files = (
            self._files.certificate_file,
            self._files.key_file,
            self._files.client_authority_file,
        )
        stats = [file.stat() for file in files if file is not None]
        return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in stats)
