"""Read from and write to one caller's connection within deadlines."""

import re
import select
import socket
import ssl

from jayshunt.clock import Clock
from jayshunt.serving.const import (
    FIRST_REQUEST_S,
    LINGER_BYTES,
    LINGER_S,
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_TRAILER_BYTES,
    READ_BYTES,
)
from jayshunt.serving.head import RequestHead, has_bare_line_end, request_error
from jayshunt.serving.limits import BodyCharge

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e]*)?")


class ConnectionClosed(Exception):
    """The caller closed the connection, it was idle too long, or the server stops."""


class CallerStream:
    """Buffered stream of one connection that reads request heads and bodies.

    A read timeout bounds a whole head or body, so that a caller who sends one byte
    at a time occupies a thread no longer than others.
    """

    def __init__(
        self, connection: socket.socket, clock: Clock, idle_stop_fd: int = -1
    ) -> None:
        """Start with an empty buffer.

        A wait for a request ends when the file descriptor `idle_stop_fd` becomes
        readable. Shutting the socket down instead would cut off a request whose
        first bytes arrive at that moment, and look like a disconnect by the caller.
        """
        self._connection = connection
        self._clock = clock
        self._buffer = bytearray()
        self._has_read_head = False
        self._idle_poll = select.poll()
        self._idle_poll.register(connection.fileno(), select.POLLIN)
        if idle_stop_fd >= 0:
            self._idle_poll.register(idle_stop_fd, select.POLLIN)

    def read_head(self, idle_timeout_s: float, head_timeout_s: float) -> bytes:
        """Return the next head without its terminating empty line.

        Raise ConnectionClosed if the caller closes the connection, or if it stays
        idle or the server stops before a head begins, and JayshuntError if the head
        is too slow, too large or malformed.
        """
        if not self._buffer:
            self._wait_for_request(idle_timeout_s)
        deadline_s = self._clock.monotonic_s() + head_timeout_s
        searched = 0
        while True:
            if self._buffer.startswith(b"\r\n"):
                # RFC 9112, section 2.2: an empty line before a request is ignored.
                del self._buffer[:2]
            end = self._buffer.find(b"\r\n\r\n", max(0, searched - 3))
            if 0 <= end <= MAX_HEAD_BYTES:
                head = bytes(self._buffer[:end])
                del self._buffer[: end + 4]
                self._has_read_head = True
                return head
            self._check_partial_head()
            searched = len(self._buffer)
            try:
                self._fill(deadline_s)
            except TimeoutError as error:
                raise request_error(
                    "request_timeout", f"no whole head within {head_timeout_s:g} s"
                ) from error

    def read_body(
        self, head: RequestHead, limit: int, timeout_s: float, charge: BodyCharge
    ) -> bytes:
        """Return the whole body.

        Raise JayshuntError if it exceeds `limit` bytes, is too slow, has a malformed
        chunk or exhausts the memory for bodies, and ConnectionClosed if the caller
        closes the connection before its end.
        """
        if not head.chunked and not head.content_length:
            return b""
        if head.content_length and head.content_length > limit:
            raise _body_too_large(limit)
        deadline_s = self._clock.monotonic_s() + timeout_s
        try:
            if head.expects_continue and not self._buffer:
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n", timeout_s)
            if head.chunked:
                return self._read_chunks(limit, deadline_s, charge)
            return self._take(head.content_length, deadline_s, charge)
        except TimeoutError as error:
            raise request_error(
                "request_timeout", f"no whole body within {timeout_s:g} s"
            ) from error

    def write(self, data: bytes, timeout_s: float) -> None:
        """Send all bytes; raise OSError if the caller does not receive them in time."""
        self._connection.settimeout(timeout_s)
        self._connection.sendall(data)

    def close_gracefully(self, linger_s: float = LINGER_S) -> None:
        """Half-close the connection, then wait a short time for the caller's close."""
        try:
            self._end_tls()
            socket.socket.shutdown(self._connection, socket.SHUT_WR)
            end_s = self._clock.monotonic_s() + linger_s
            left = LINGER_BYTES if linger_s else 0
            while left > 0:
                self._connection.settimeout(
                    max(0.001, end_s - self._clock.monotonic_s())
                )
                read = socket.socket.recv(self._connection, READ_BYTES)
                left -= len(read)
                if not read or self._clock.monotonic_s() >= end_s:
                    return
        except OSError:
            return

    def _end_tls(self) -> None:
        if not isinstance(self._connection, ssl.SSLSocket):
            return
        self._connection.settimeout(0)
        try:
            # Send the close_notify alert without waiting for the caller's.
            self._connection.unwrap()
        except ssl.SSLWantReadError:
            return

    def _wait_for_request(self, idle_timeout_s: float) -> None:
        pending = isinstance(self._connection, ssl.SSLSocket) and (
            self._connection.pending()
        )
        if not pending and not self._poll_unless_stopped(idle_timeout_s):
            # A caller who has just connected is about to send its first request.
            if self._has_read_head or not self._poll_connection(FIRST_REQUEST_S):
                raise ConnectionClosed
        try:
            self._fill(self._clock.monotonic_s() + idle_timeout_s)
        except TimeoutError as error:
            raise ConnectionClosed from error

    def _poll_unless_stopped(self, timeout_s: float) -> bool:
        ready = self._idle_poll.poll(timeout_s * 1000)
        return any(number == self._connection.fileno() for number, _ in ready)

    def _poll_connection(self, timeout_s: float) -> bool:
        poll = select.poll()
        poll.register(self._connection.fileno(), select.POLLIN)
        return bool(poll.poll(timeout_s * 1000))

    def _check_partial_head(self) -> None:
        if len(self._buffer) >= MAX_HEAD_BYTES:
            if b"\r\n" not in self._buffer:
                raise request_error("target_too_long", "the request line is too long")
            raise request_error("head_too_large", f"at most {MAX_HEAD_BYTES} bytes")
        if has_bare_line_end(self._buffer):
            raise request_error("bad_request", "a line of the head ends without CR")

    def _read_chunks(self, limit: int, deadline_s: float, charge: BodyCharge) -> bytes:
        chunks: list[bytes] = []
        total = 0
        while True:
            line = self._take_line(deadline_s, MAX_CHUNK_LINE_BYTES)
            match = _CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise request_error("bad_request", "a chunk size is malformed")
            size = int(match.group(1), 16)
            if size == 0:
                self._skip_trailers(deadline_s)
                return b"".join(chunks)
            total += size
            if total > limit:
                raise _body_too_large(limit)
            chunks.append(self._take(size, deadline_s, charge))
            if self._take(2, deadline_s, charge) != b"\r\n":
                raise request_error("bad_request", "a chunk does not end with CRLF")

    def _skip_trailers(self, deadline_s: float) -> None:
        left = MAX_TRAILER_BYTES
        while line := self._take_line(deadline_s, left):
            left -= len(line) + 2

    def _take_line(self, deadline_s: float, limit: int) -> bytes:
        while (end := self._buffer.find(b"\r\n")) < 0:
            if len(self._buffer) > limit:
                break
            self._fill(deadline_s)
        if not 0 <= end <= limit or b"\n" in self._buffer[:end]:
            raise request_error(
                "bad_request", "a line of the chunked body is malformed"
            )
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line

    def _take(self, size: int, deadline_s: float, charge: BodyCharge) -> bytes:
        counted = 0
        while True:
            arrived = min(size, len(self._buffer))
            charge.acquire(arrived - counted)
            counted = arrived
            if arrived == size:
                break
            self._fill(deadline_s)
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _fill(self, deadline_s: float) -> None:
        left_s = deadline_s - self._clock.monotonic_s()
        if left_s <= 0:
            raise TimeoutError
        self._connection.settimeout(left_s)
        data = self._connection.recv(READ_BYTES)
        if not data:
            raise ConnectionClosed
        self._buffer += data


def _body_too_large(limit: int) -> Exception:
    return request_error("body_too_large", f"at most {limit} bytes are allowed")
