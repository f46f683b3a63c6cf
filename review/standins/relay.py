"""Forward connections to one worker, and let its machine go dark."""

import asyncio

from standins.http import HOST


class Relay:
    """Forward connections to a port; while dark, nothing is forwarded or closed.

    A connection that was open when the machine went dark stays silent until its caller
    sends something after the machine is back. It is reset then, as the machine does
    not know it.
    """

    def __init__(self, target_port: int) -> None:
        """Forward to `target_port` of this machine."""
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._life = 0
        self.port = 0
        self.is_dark = False

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_dark(self) -> None:
        """Silence all connections, also those to come."""
        self.is_dark = True
        self._life += 1

    def come_back(self) -> None:
        """Forward new connections again."""
        self.is_dark = False

    async def _serve(self, reader, writer) -> None:
        life, other = self._life, None
        try:
            if not self.is_dark:
                other_reader, other = await asyncio.open_connection(
                    HOST, self._target_port
                )
                back = asyncio.create_task(self._pipe(other_reader, writer, life))
                try:
                    await self._pipe(reader, other, life)
                finally:
                    if life == self._life:
                        back.cancel()
            if self.is_dark or life != self._life:
                await self._wait_until_known_dead(reader)
        except OSError:
            pass
        finally:
            writer.transport.abort()
            if other is not None:
                other.transport.abort()

    async def _pipe(self, reader, writer, life: int) -> None:
        """Forward bytes until one side closes or the machine goes dark."""
        while data := await self._read(reader):
            if life != self._life:
                return
            writer.write(data)
            await writer.drain()
        if life == self._life and not self.is_dark:
            writer.transport.abort()

    async def _wait_until_known_dead(self, reader) -> None:
        """Return once the caller closes, or sends something to a machine that is up."""
        while await self._read(reader):
            if not self.is_dark:
                return

    async def _read(self, reader) -> bytes:
        try:
            return await reader.read(65_536)
        except OSError:
            return b""
