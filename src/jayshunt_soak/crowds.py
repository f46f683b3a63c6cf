"""Press an entry with many connections that send or hold what ordinary callers do not.

A crowd is described by frozen data classes: how its members behave on a connection, how
many there are and to which port they connect. `CrowdRun` carries it out:

    crowd = Crowd(AnnouncedBody(size_bytes=2**26, sent_bytes=2**26), members=64)
    with CrowdRun(crowd, entry) as run:
        run.wait_until_pressing()
"""

import contextlib
import json
import random
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

from jayshunt_soak.const import HOST, PUBLIC_POOL, QUEUE_HOST
from jayshunt_soak.crowd_testbed import EntryProcess, Port
from jayshunt_soak.platform import formats

PIECE_BYTES = 64 * 1024
SEND_TIMEOUT_S = 0.1
# A member that could send nothing for this long is blocked by the entry.
BLOCKED_AFTER_S = 0.7
# These only end the waiting for an entry that hangs.
CONNECT_TIMEOUT_S = 5.0
PRESS_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 20.0
# A small window, so that an entry blocks soon when its answers are not read.
UNREAD_WINDOW_BYTES = 4 * 1024
QUEUE_PATH = formats.queue_path(PUBLIC_POOL)


@dataclass(frozen=True)
class Silence:
    """Connect and send nothing."""


@dataclass(frozen=True)
class SentBytes:
    """Send bytes as they are, `repeats` times in a row."""

    content: bytes
    repeats: int = 1


@dataclass(frozen=True)
class WholeBody:
    """Send a complete request, its last byte only once all members sent the rest."""

    content: bytes
    path: str = ""
    is_chunked: bool = False


@dataclass(frozen=True)
class AnnouncedBody:
    """Announce a body by Content-Length and send the first `sent_bytes` of it."""

    size_bytes: int
    sent_bytes: int
    path: str = ""


@dataclass(frozen=True)
class ChunkedBody:
    """Send chunks of blanks, without the last chunk; `extension` follows each size.

    After about `gate_bytes`, a member waits until all others have sent as much.
    """

    chunk_bytes: int
    count: int
    gate_bytes: int = 0
    extension: bytes = b""
    path: str = ""


@dataclass(frozen=True)
class Trailers:
    """Send a small chunked body with a trailer section that does not end."""

    size_bytes: int


@dataclass(frozen=True)
class TrickledBody:
    """Send the first part of a body at once, then one byte after each pause."""

    size_bytes: int
    first_bytes: int
    pause_s: float = 0.2


@dataclass(frozen=True)
class RandomMethods:
    """Send requests with a method of `method_chars` random letters each.

    A member stays until all are answered.
    """

    count: int
    method_chars: int = 32


@dataclass(frozen=True)
class LongTargets:
    """Send pipelined requests with long random targets.

    A member stays until all are answered.
    """

    count: int
    target_bytes: int


Behavior = (
    Silence
    | SentBytes
    | WholeBody
    | AnnouncedBody
    | ChunkedBody
    | Trailers
    | TrickledBody
    | RandomMethods
    | LongTargets
)


@dataclass(frozen=True)
class Crowd:
    """Describe a crowd; each member opens `rounds` connections, one after the other.

    A member reads what it is sent unless `reads_answers` is False. It closes its last
    connection when the run stops.
    """

    behavior: Behavior
    members: int
    port: Port = Port.FRONT
    rounds: int = 1
    reads_answers: bool = True


class _Gate:
    """Mark the place in a request where a member waits for the others."""


class _UntilClosed:
    """Mark that a member reads answers until the entry closes the connection."""


GATE = _Gate()
UNTIL_CLOSED = _UntilClosed()

Piece = bytes | float | _Gate | _UntilClosed


def job_path(number: int) -> str:
    """Return the path of a job of the public queue."""
    return f"{QUEUE_PATH}{number:016x}"


def ordinary_job() -> bytes:
    """Return the body of a small job."""
    return submission([{"count": 1, "cpu": 100, "memMb": 1, "estimateMs": 100}])


def submission(steps: list[dict], spec: str = "x", **fields: object) -> bytes:
    """Return the body of a job, with the field names of the platform."""
    document = {"spec": spec, "steps": steps, **fields}
    return json.dumps(document, separators=(",", ":")).encode()


def padded(body: bytes, size_bytes: int) -> bytes:
    """Return a JSON body that is filled up to a size with blanks."""
    return body + b" " * (size_bytes - len(body))


def many_objects(size_bytes: int) -> bytes:
    """Return a JSON list of empty objects, each of which takes 3 bytes."""
    return b"[" + b"{}," * ((size_bytes - 4) // 3) + b"{}]"


def many_steps(size_bytes: int) -> bytes:
    """Return a submission whose steps are empty objects."""
    prefix = b'{"spec":"x","steps":'
    return prefix + many_objects(size_bytes - len(prefix) - 1) + b"}"


def nested_lists(size_bytes: int) -> bytes:
    """Return a JSON body of many lists that are nested 400 deep."""
    nest = b"[" * 400 + b"]" * 400
    return b"[" + (nest + b",") * (size_bytes // (len(nest) + 1) - 1) + nest + b"]"


def long_numbers(size_bytes: int) -> bytes:
    """Return a JSON list of whole numbers of 4,000 digits."""
    number = b"7" * 4_000
    count = size_bytes // (len(number) + 1) - 1
    return b"[" + (number + b",") * count + number + b"]"


def request_head(method: str, path: str, **fields: object) -> bytes:
    """Return the head of a request; underscores in field names become hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {QUEUE_HOST}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def wide_head(size_bytes: int) -> bytes:
    """Return the head of a GET with as many fields as are allowed, up to a size."""
    count = 98
    value = "v" * (size_bytes // count - 12)
    fields = {f"F{number:03}": value for number in range(count)}
    return request_head("GET", QUEUE_PATH, **fields)


def pieces_of(behavior: Behavior, rng: random.Random) -> Iterator["Piece"]:
    """Yield what a member sends: bytes, pauses in seconds, GATE and UNTIL_CLOSED."""
    path = job_path(rng.getrandbits(64))
    match behavior:
        case Silence():
            return
        case SentBytes(content, repeats):
            for _ in range(repeats):
                yield content
        case WholeBody(content, other_path, is_chunked):
            if is_chunked:
                head = request_head(
                    "POST", other_path or path, Transfer_Encoding="chunked"
                )
                content = b"%x\r\n%b\r\n0\r\n\r\n" % (len(content), content)
            else:
                head = request_head(
                    "POST", other_path or path, Content_Length=len(content)
                )
            yield head
            yield from _slices(content[:-1])
            yield GATE
            yield content[-1:]
        case AnnouncedBody(size_bytes, sent_bytes, other_path):
            yield request_head("POST", other_path or path, Content_Length=size_bytes)
            yield from _blanks(sent_bytes)
        case ChunkedBody(chunk_bytes, count, gate_bytes, extension, other_path):
            yield request_head("POST", other_path or path, Transfer_Encoding="chunked")
            chunk = b"%x%b\r\n%b\r\n" % (chunk_bytes, extension, b" " * chunk_bytes)
            at_once = max(1, PIECE_BYTES // len(chunk))
            gate = gate_bytes // (chunk_bytes * at_once)
            for sent in range(count // at_once):
                if sent and sent == gate:
                    yield GATE
                yield chunk * at_once
        case Trailers(size_bytes):
            yield request_head("POST", path, Transfer_Encoding="chunked")
            yield b"1\r\n \r\n0\r\n"
            for _ in range(size_bytes // 32):
                yield b"F: %b\r\n" % (b"v" * 27)
        case TrickledBody(size_bytes, first_bytes, pause_s):
            yield request_head("POST", path, Content_Length=size_bytes)
            yield from _blanks(first_bytes)
            for _ in range(size_bytes - first_bytes):
                yield pause_s
                yield b" "
        case RandomMethods(count, method_chars):
            for _ in range(count):
                letters = rng.choices("ABCDEFGHIJKLMNOPQRSTUVWXYZ", k=method_chars)
                yield request_head("".join(letters), QUEUE_PATH)
            yield request_head("GET", QUEUE_PATH, Connection="close")
            yield UNTIL_CLOSED
        case LongTargets(count, target_bytes):
            for _ in range(count):
                target = f"/nowhere-{rng.getrandbits(64):016x}"
                yield request_head("GET", target.ljust(target_bytes, "t"))
            yield request_head("GET", QUEUE_PATH, Connection="close")
            yield UNTIL_CLOSED


def _blanks(size_bytes: int) -> Iterator[bytes]:
    piece = b" " * PIECE_BYTES
    for start in range(0, size_bytes, PIECE_BYTES):
        yield piece[: min(PIECE_BYTES, size_bytes - start)]


def _slices(content: bytes) -> Iterator[bytes]:
    for start in range(0, len(content), PIECE_BYTES):
        yield content[start : start + PIECE_BYTES]


class CrowdRun:
    """Run a crowd against one entry, each member in a thread of its own."""

    def __init__(self, crowd: Crowd, entry: EntryProcess, seed: int = 41) -> None:
        """Create the members; none connects yet."""
        self._crowd = crowd
        self._entry = entry
        self._stopping = threading.Event()
        self._gate = threading.Condition()
        self._members: list[_Member | _IdleMember] = [
            _Member(self, random.Random(f"{seed}-{number}"))
            for number in range(crowd.members)
        ]
        if isinstance(crowd.behavior, Silence):
            self._members = [_IdleMember(self)]

    def __enter__(self) -> "CrowdRun":
        """Let every member connect."""
        for member in self._members:
            member.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Close every connection."""
        self.stop()

    def stop(self) -> None:
        """Close every connection and wait for the members to end."""
        self._stopping.set()
        for member in self._members:
            member.thread.join()

    @property
    def is_over(self) -> bool:
        """Return whether the members must end, also because the entry failed."""
        return (
            self._stopping.is_set()
            or not self._entry.is_running
            or self._entry.monitor.exceeded.is_set()
        )

    @property
    def crowd(self) -> Crowd:
        """Return the description of the crowd."""
        return self._crowd

    @property
    def port(self) -> int:
        """Return the port to which the members connect."""
        return self._entry.port(self._crowd.port)

    def wait_until_pressing(self, timeout_s: float = PRESS_TIMEOUT_S) -> None:
        """Wait until each member has sent all it has to, or is blocked or refused."""
        end_s = time.monotonic() + timeout_s
        while not self.is_over and time.monotonic() < end_s:
            if all(member.is_settled for member in self._members):
                return
            time.sleep(0.05)

    def wait_at_gate(self) -> None:
        """Wait until every member is at the gate, or cannot get there."""
        with self._gate:
            self._gate.notify_all()
        while not self.is_over:
            with self._gate:
                if self._gate.wait_for(self._is_gate_open, SEND_TIMEOUT_S):
                    return

    def _is_gate_open(self) -> bool:
        return all(member.is_at_gate or member.is_settled for member in self._members)


class _IdleMember:
    """Hold all connections of a crowd that sends nothing, in one thread."""

    is_at_gate = False

    def __init__(self, run: CrowdRun) -> None:
        """Create the member; its thread is started by the run."""
        self._run = run
        self.is_settled = False
        self.thread = threading.Thread(target=self._act, daemon=True)

    def _act(self) -> None:
        connections: list[socket.socket] = []
        try:
            while len(connections) < self._run.crowd.members and not self._run.is_over:
                connections.append(socket.socket())
                connections[-1].settimeout(CONNECT_TIMEOUT_S)
                with contextlib.suppress(OSError):
                    connections[-1].connect((HOST, self._run.port))
        finally:
            self.is_settled = True
        while not self._run.is_over:
            time.sleep(SEND_TIMEOUT_S)
        for connection in connections:
            connection.close()


class _Member:
    """One member of a crowd."""

    def __init__(self, run: CrowdRun, rng: random.Random) -> None:
        """Create the member; its thread is started by the run."""
        self._run = run
        self._rng = rng
        self._is_done = False
        self._is_awaiting = False
        self._progress_s: float | None = None
        self.is_at_gate = False
        self.thread = threading.Thread(target=self._act, daemon=True)

    @property
    def is_settled(self) -> bool:
        """Return whether the member sent everything, or could send nothing lately."""
        if self._is_done or self._progress_s is None:
            return self._is_done
        is_blocked = time.monotonic() - self._progress_s > BLOCKED_AFTER_S
        return is_blocked and not self.is_at_gate and not self._is_awaiting

    def _act(self) -> None:
        try:
            for _ in range(self._run.crowd.rounds - 1):
                if not self._run.is_over:
                    self._visit(is_last=False)
            if not self._run.is_over:
                self._visit(is_last=True)
        finally:
            self._is_done = True

    def _visit(self, is_last: bool) -> None:
        """Send one member's bytes over one connection; stay on it if it is the last."""
        connection = socket.socket()
        try:
            connection.settimeout(CONNECT_TIMEOUT_S)
            if not self._run.crowd.reads_answers:
                size = UNREAD_WINDOW_BYTES
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            connection.connect((HOST, self._run.port))
            connection.settimeout(SEND_TIMEOUT_S)
            pieces = pieces_of(self._run.crowd.behavior, self._rng)
            self._progress_s = time.monotonic()
            for piece in pieces:
                if not self._send(connection, piece):
                    return
            if is_last:
                self._is_done = True
                self._stay(connection)
            elif self._run.crowd.reads_answers:
                self._read_answer(connection)
        except OSError:
            # The entry closed or refused the connection, which it may.
            return
        finally:
            self.is_at_gate = False
            connection.close()

    def _send(self, connection: socket.socket, piece: Piece) -> bool:
        """Send one piece; return False if the run is over."""
        match piece:
            case _Gate():
                self.is_at_gate = True
                self._run.wait_at_gate()
                self.is_at_gate = False
                self._progress_s = time.monotonic()
            case float():
                # The rest trickles, which presses as much as it ever will.
                self._is_done = True
                time.sleep(piece)
            case _UntilClosed():
                self._is_awaiting = True
                self._stay(connection)
            case bytes():
                left = memoryview(piece)
                while left and not self._run.is_over:
                    try:
                        sent = connection.send(left)
                    except TimeoutError:
                        self._discard_answers(connection)
                        continue
                    left = left[sent:]
                    self._progress_s = time.monotonic()
                self._discard_answers(connection)
        return not self._run.is_over

    def _discard_answers(self, connection: socket.socket) -> None:
        """Read what has arrived, so that an entry is not blocked by its answers."""
        if not self._run.crowd.reads_answers:
            return
        connection.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while connection.recv(PIECE_BYTES):
                continue
        connection.settimeout(SEND_TIMEOUT_S)

    def _read_answer(self, connection: socket.socket) -> None:
        """Wait for the first bytes of an answer."""
        end_s = time.monotonic() + ANSWER_TIMEOUT_S
        while not self._run.is_over and time.monotonic() < end_s:
            try:
                connection.recv(PIECE_BYTES)
                return
            except TimeoutError:
                continue

    def _stay(self, connection: socket.socket) -> None:
        """Keep the connection open until the run is over or the entry closes it."""
        while not self._run.is_over:
            if not self._run.crowd.reads_answers:
                time.sleep(SEND_TIMEOUT_S)
                continue
            try:
                if not connection.recv(PIECE_BYTES):
                    return
            except TimeoutError:
                continue
