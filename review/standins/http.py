"""Serve and send HTTP/1.1 with JSON bodies on asyncio."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"


class Drop(Exception):
    """Raised by a handler to close the connection without an answer."""


@dataclass
class Request:
    """Hold one request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, dict | None]
Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """Serve one port; `handler` answers each request."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        """Serve on `port`, a free one if it is 0."""
        self._handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return `host:port`."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                status, content = await self._handler(request)
                body = b"" if content is None else json.dumps(content).encode()
                head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                await writer.drain()
        except (Drop, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Request(method, parts.path, query, headers, body)


async def call(
    method: str,
    address: str,
    path: str,
    content: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict] | None:
    """Return the status and content of the answer, None without a whole one."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if content is None else json.dumps(content).encode()
            fields = {"Host": address, **(headers or {})}
            fields |= {"Content-Length": str(len(body)), "Connection": "close"}
            if content is not None:
                fields["Content-Type"] = "application/json"
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            answer_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(answer_head.split(" ")[1])
            length = None
            for line in answer_head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.strip().lower() == "content-length":
                    length = int(value)
            if length is None:
                answer = await reader.read()
            else:
                answer = await reader.readexactly(length)
            return status, json.loads(answer) if answer else {}
    except (OSError, EOFError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    except TimeoutError:
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.transport.abort()
