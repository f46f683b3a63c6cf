"""Read from and write to one caller's connection within deadlines."""

import re
import select
import socket
import ssl

from jayshunt.clock import Clock
from jayshunt.serving.const import (
    FIRST_REQUEST_S,
    FREE_HEAD_BYTES,
    LINGER_BYTES,
    LINGER_S,
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    MIN_FRAMING_BYTES,
    READ_BODY_BYTES,
    READ_HEAD_BYTES,
)
from jayshunt.serving.head import RequestHead, has_bare_line_end, request_error
from jayshunt.serving.limits import RequestCharge

# What an operation on a socket that is not ready raises, in plain text and in TLS.
_NOT_READY = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e]*)?")


class ConnectionClosed(Exception):
    """The caller closed the connection, it was idle too long, or the server stops."""


class CallerStream:
    """Buffered stream of one connection that reads request heads and bodies.

    A read timeout bounds a whole head or body, so that a caller who sends one byte
    at a time occupies a thread no longer than others.
    """

    def __init__(
        self,
        connection: socket.socket,
        clock: Clock,
        charge: RequestCharge,
        idle_stop_fd: int = -1,
    ) -> None:
        """Start with an empty buffer; requests are charged to `charge`.

        A wait for a request ends when the file descriptor `idle_stop_fd` becomes
        readable. Shutting the socket down instead would cut off a request whose
        first bytes arrive at that moment, and look like a disconnect by the caller.
        """
        # A read that waited in the kernel would hold its buffer meanwhile.
        connection.settimeout(0)
        self._connection = connection
        self._clock = clock
        self._charge = charge
        self._buffer = bytearray()
        self._has_read_head = False
        self._idle_poll = select.poll()
        self._idle_poll.register(connection.fileno(), select.POLLIN)
        if idle_stop_fd >= 0:
            self._idle_poll.register(idle_stop_fd, select.POLLIN)

    @property
    def has_pipelined(self) -> bool:
        """Return whether bytes after the last request have been received."""
        return bool(self._buffer)

    def wait_for_request(self, idle_timeout_s: float) -> None:
        """Wait until the next head begins.

        Raise ConnectionClosed if the caller closes the connection, or if it stays
        idle or the server stops.
        """
        if self._buffer:
            return
        pending = isinstance(self._connection, ssl.SSLSocket) and (
            self._connection.pending()
        )
        if not pending and not self._poll_unless_stopped(idle_timeout_s):
            # A caller who has just connected is about to send its first request.
            is_new = not self._has_read_head
            if not is_new or not self._poll(select.POLLIN, FIRST_REQUEST_S):
                raise ConnectionClosed

    def read_head(self, timeout_s: float, max_bytes: int) -> bytes:
        """Return the next head without its terminating empty line.

        Raise ConnectionClosed if the caller closes the connection, and JayshuntError
        if the head is too slow, larger than `max_bytes` or malformed, or if the memory
        for requests is exhausted.
        """
        deadline_s = self._clock.monotonic_s() + timeout_s
        searched = 0
        while True:
            if self._buffer.startswith(b"\r\n"):
                # RFC 9112, section 2.2: an empty line before a request is ignored.
                del self._buffer[:2]
            end = self._buffer.find(b"\r\n\r\n", max(0, searched - 3))
            if 0 <= end <= max_bytes:
                head = bytes(self._buffer[:end])
                del self._buffer[: end + 4]
                self._has_read_head = True
                self._charge.raise_to(end - FREE_HEAD_BYTES)
                return head
            self._check_partial_head(max_bytes)
            self._charge.raise_to(len(self._buffer) - FREE_HEAD_BYTES)
            searched = len(self._buffer)
            try:
                self._fill(deadline_s)
            except TimeoutError as error:
                if not self._buffer:
                    raise ConnectionClosed from error
                raise request_error(
                    "request_timeout", f"no whole head within {timeout_s:g} s"
                ) from error

    def read_body(self, head: RequestHead, limit: int, timeout_s: float) -> bytes:
        """Return the whole body.

        Raise JayshuntError if it exceeds `limit` bytes, is too slow, has a malformed
        chunk or exhausts the memory for requests, and ConnectionClosed if the caller
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
                return self._read_chunks(limit, deadline_s)
            body = bytearray()
            self._take(body, head.content_length, deadline_s)
            return bytes(body)
        except TimeoutError as error:
            raise request_error(
                "request_timeout", f"no whole body within {timeout_s:g} s"
            ) from error

    def write(self, data: bytes, timeout_s: float) -> None:
        """Send all bytes; raise OSError if the caller does not receive them in time."""
        deadline_s = self._clock.monotonic_s() + timeout_s
        left = memoryview(data)
        while left:
            try:
                left = left[self._connection.send(left) :]
            except _NOT_READY as error:
                self._wait_until_ready(error, select.POLLOUT, deadline_s)

    def close_gracefully(self, linger_s: float = LINGER_S) -> None:
        """Half-close the connection, then wait a short time for the caller's close."""
        self._buffer.clear()
        try:
            self._end_tls()
            socket.socket.shutdown(self._connection, socket.SHUT_WR)
            end_s = self._clock.monotonic_s() + linger_s
            left = LINGER_BYTES if linger_s else 0
            while left > 0:
                left_s = end_s - self._clock.monotonic_s()
                if left_s <= 0 or not self._poll(select.POLLIN, left_s):
                    return
                read = socket.socket.recv(self._connection, READ_HEAD_BYTES)
                left -= len(read)
                if not read:
                    return
        except OSError:
            return

    def _end_tls(self) -> None:
        if not isinstance(self._connection, ssl.SSLSocket):
            return
        try:
            # Send the close_notify alert without waiting for the caller's.
            self._connection.unwrap()
        except ssl.SSLWantReadError:
            return

    def _poll_unless_stopped(self, timeout_s: float) -> bool:
        ready = self._idle_poll.poll(timeout_s * 1000)
        return any(number == self._connection.fileno() for number, _ in ready)

    def _poll(self, events: int, timeout_s: float) -> bool:
        poll = select.poll()
        poll.register(self._connection.fileno(), events)
        return bool(poll.poll(timeout_s * 1000))

    def _check_partial_head(self, max_bytes: int) -> None:
        if len(self._buffer) >= max_bytes:
            if b"\r\n" not in self._buffer:
                raise request_error("target_too_long", "the request line is too long")
            raise request_error("head_too_large", f"at most {max_bytes} bytes")
        if has_bare_line_end(self._buffer):
            raise request_error("bad_request", "a line of the head ends without CR")

    def _read_chunks(self, limit: int, deadline_s: float) -> bytes:
        body = bytearray()
        framing_left = max(limit, MIN_FRAMING_BYTES)
        while True:
            line = self._take_line(deadline_s, MAX_CHUNK_LINE_BYTES)
            match = _CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise request_error("bad_request", "a chunk size is malformed")
            size = int(match.group(1), 16)
            if size == 0:
                self._skip_trailers(deadline_s)
                return bytes(body)
            framing_left -= len(line) + 4
            if len(body) + size > limit or framing_left < 0:
                raise _body_too_large(limit)
            self._take(body, size, deadline_s)
            if self._take_line(deadline_s, 0):
                raise request_error("bad_request", "a chunk does not end with CRLF")

    def _skip_trailers(self, deadline_s: float) -> None:
        left = MAX_TRAILER_BYTES
        while line := self._take_line(deadline_s, left):
            left -= len(line) + 2

    def _take_line(self, deadline_s: float, limit: int) -> bytes:
        while (end := self._buffer.find(b"\r\n")) < 0:
            if len(self._buffer) > limit + 1:
                break
            self._fill(deadline_s)
        if not 0 <= end <= limit or b"\n" in self._buffer[:end]:
            raise request_error(
                "bad_request", "a line of the chunked body is malformed"
            )
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line

    def _take(self, body: bytearray, size: int, deadline_s: float) -> None:
        """Append the next `size` bytes to `body`."""
        arrived = self._buffer[:size]
        del self._buffer[:size]
        while True:
            self._charge.acquire(len(arrived))
            body += arrived
            size -= len(arrived)
            if not size:
                return
            arrived = self._receive(min(size, READ_BODY_BYTES), deadline_s)

    def _fill(self, deadline_s: float) -> None:
        self._buffer += self._receive(READ_HEAD_BYTES, deadline_s)

    def _receive(self, size: int, deadline_s: float) -> bytes:
        while True:
            try:
                data = self._connection.recv(size)
            except _NOT_READY as error:
                self._wait_until_ready(error, select.POLLIN, deadline_s)
                continue
            if not data:
                raise ConnectionClosed
            if deadline_s <= self._clock.monotonic_s():
                raise TimeoutError
            return data

    def _wait_until_ready(
        self, error: Exception, events: int, deadline_s: float
    ) -> None:
        """Wait until the socket is ready; raise TimeoutError at the deadline.

        In TLS, a read may have to write first and the reverse, which `error` tells.
        """
        match error:
            case ssl.SSLWantReadError():
                events = select.POLLIN
            case ssl.SSLWantWriteError():
                events = select.POLLOUT
        left_s = deadline_s - self._clock.monotonic_s()
        if left_s <= 0 or not self._poll(events, left_s):
            raise TimeoutError


def _body_too_large(limit: int) -> Exception:
    return request_error("body_too_large", f"at most {limit} bytes are allowed")
