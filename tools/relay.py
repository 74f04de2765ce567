"""A TCP relay that can refuse or silence connections by source address."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """How a relay treats connections from a source address."""

    PASS = "pass"
    REFUSE = "refuse"
    SILENT = "silent"


class Relay:
    """Relays connections to a port; a mode applies to a source at once.

    SILENT accepts connections and forwards no data.
    ``silence_open_connections`` silences the connections that are open now,
    until they close.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._mode_by_source: dict[str, Mode] = {}
        self._source_by_writer: dict[asyncio.StreamWriter, str] = {}
        self._silenced: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.url = ""

    async def start(self) -> None:
        """Start to listen, on the same port as before, and set ``url``."""
        self._server = await asyncio.start_server(
            self._serve,
            "127.0.0.1",
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}"

    async def stop_listening(self) -> None:
        """Refuse new connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    def abort_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._source_by_writer):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._source_by_writer):
            writer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_mode(self, source: str, mode: Mode) -> None:
        """Set the mode of a source; REFUSE also aborts open connections."""
        self._mode_by_source[source] = mode
        if mode is Mode.REFUSE:
            for writer, writer_source in list(self._source_by_writer.items()):
                if writer_source == source:
                    writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Silence every connection that is open now, until it closes."""
        self._silenced |= set(self._source_by_writer)

    def _mode(self, writer: asyncio.StreamWriter, source: str) -> Mode:
        if writer in self._silenced:
            return Mode.SILENT
        return self._mode_by_source.get(source, Mode.PASS)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        if self._mode_by_source.get(source) is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self._host,
                self._port,
            )
        except OSError:
            writer.transport.abort()
            return
        self._source_by_writer[writer] = source
        tasks = [
            asyncio.create_task(
                self._forward(source_reader, destination, writer, source)
            )
            for source_reader, destination in (
                (reader, server_writer),
                (server_reader, writer),
            )
        ]
        self._tasks.update(tasks)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
                self._tasks.discard(task)
            self._source_by_writer.pop(writer, None)
            self._silenced.discard(writer)
            for open_writer in (writer, server_writer):
                with contextlib.suppress(OSError):
                    open_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        destination: asyncio.StreamWriter,
        client_writer: asyncio.StreamWriter,
        source: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while self._mode(client_writer, source) is Mode.SILENT:
                    await asyncio.sleep(0.05)
                destination.write(data)
                await destination.drain()
