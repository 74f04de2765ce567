"""A TCP relay between two processes that can be cut by source address."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What a relay does with connections of a source."""

    PASS = "pass"
    REFUSE = "refuse"
    SILENT = "silent"


class Relay:
    """Relays one port; modes are set by source and act at once.

    SILENT takes new connections and passes nothing on.  ``lose_track``
    silences only the connections that are open now, for good.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._mode_by_source: dict[str, Mode] = {}
        self._pairs: dict[asyncio.StreamWriter, str] = {}
        self._lost: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.url = ""

    async def start(self) -> None:
        """Begin to listen; ``url`` is the address."""
        self._server = await asyncio.start_server(
            self._serve,
            "127.0.0.1",
            0,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._pairs):
            writer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_mode(self, source: str, mode: Mode) -> None:
        """Set the mode of a source; REFUSE also cuts what is open."""
        self._mode_by_source[source] = mode
        if mode is Mode.REFUSE:
            for writer, owner in list(self._pairs.items()):
                if owner == source:
                    writer.transport.abort()

    def lose_track(self) -> None:
        """Silence every connection that is open now."""
        self._lost |= set(self._pairs)

    def _mode(self, writer: asyncio.StreamWriter, source: str) -> Mode:
        if writer in self._lost:
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
            inner_reader, inner_writer = await asyncio.open_connection(
                self._host,
                self._port,
            )
        except OSError:
            writer.transport.abort()
            return
        self._pairs[writer] = source
        tasks = [
            asyncio.create_task(self._pump(a, b, writer, source))
            for a, b in ((reader, inner_writer), (inner_reader, writer))
        ]
        self._tasks.update(tasks)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
                self._tasks.discard(task)
            self._pairs.pop(writer, None)
            self._lost.discard(writer)
            for one in (writer, inner_writer):
                with contextlib.suppress(OSError):
                    one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        out: asyncio.StreamWriter,
        outer: asyncio.StreamWriter,
        source: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while self._mode(outer, source) is Mode.SILENT:
                    await asyncio.sleep(0.05)
                out.write(data)
                await out.drain()
