"""Answers of targets that are written byte by byte, whatever they hold."""

import asyncio
import contextlib
import typing

from aiohttp import web

from tests.wire import standins

OK = "HTTP/1.1 200 OK"
# A whole event, so that it may also be the body of a stream.
TEXT = b"id: 0\ndata: text of the target\n\n"
HeadLines = typing.Sequence[str | bytes]


def signed_head(
    attempt: str, start_line: str | bytes, *lines: str | bytes
) -> bytes:
    """Return a head that a target has signed, with further lines."""
    all_lines = [
        start_line,
        f"Attempt-Id: {attempt}",
        f"Response-Signature: {standins.SIGNATURE}",
        *lines,
    ]
    return b"".join(
        (line.encode() if isinstance(line, str) else line) + b"\r\n"
        for line in all_lines
    )


class RawAnswer:
    """A behaviour that writes a signed answer, then closes its connection.

    ``prefix`` comes before the answer, and its body ``pause_s`` after the
    head; ``is_reset`` breaks the connection instead of closing it.
    """

    def __init__(
        self,
        start_line: str | bytes = OK,
        lines: HeadLines = (),
        body: bytes = TEXT,
        prefix: bytes = b"",
        is_reset: bool = False,
        pause_s: float = 0.0,
    ) -> None:
        self.start_line = start_line
        self.lines = lines
        self.body = body
        self.prefix = prefix
        self.is_reset = is_reset
        self.pause_s = pause_s

    async def __call__(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer one request."""
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        head = signed_head(
            request.headers["Attempt-Id"], self.start_line, *self.lines
        )
        transport.write(self.prefix + head + b"\r\n")
        await asyncio.sleep(self.pause_s)
        transport.write(self.body)
        await asyncio.sleep(0.01)
        if self.is_reset:
            standins.reset(request)
        transport.close()
        return web.Response()


class RawServer:
    """Sends the same bytes as the answer to each request.

    The body comes ``pause_s`` after the head.
    """

    def __init__(
        self, head: bytes, body: bytes = b"", pause_s: float = 0.0
    ) -> None:
        self._head = head
        self._body = body
        self._pause_s = pause_s
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"{standins.HOST}:{self.port}"

    @property
    def url(self) -> str:
        """Return the URL of the server."""
        return f"http://{self.address}"

    async def __aenter__(self) -> "RawServer":
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, standins.HOST, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop to listen."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._head)
            await asyncio.sleep(self._pause_s)
            writer.write(self._body)
            await writer.drain()
        writer.close()
