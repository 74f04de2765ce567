"""Answers of targets that are written byte by byte, whatever they hold."""

import abc
import asyncio
import contextlib
import dataclasses
import typing

from aiohttp import web

from tests.wire import standins

OK = "HTTP/1.1 200 OK"
# A whole event, so that it may also be the body of a stream.
TEXT = b"id: 0\ndata: text of the target\n\n"
LENGTH = f"Content-Length: {len(TEXT)}"
SHORT = b"id\n\n"  # a whole event of four bytes
CHUNKS = b"4\r\n" + SHORT + b"\r\n0\r\n\r\n"
# First lines that aren't those of a final HTTP/1 answer.
START_LINES = (
    "HTTP/1.1 000 Trouble",
    "HTTP/1.1 001 Trouble",
    "HTTP/1.1 099 Trouble",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Trouble",
    "HTTP/1.1 999 Trouble",
    "HTTP/2.0 200 OK",
    "HTTP/1.1 0 Trouble",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1",
    "ICY 200 OK",
)
CODINGS = (
    "xchunked",
    "gzip",
    "identity",
    "chunked, gzip",
    "gzip, chunked",
    "chunked, chunked",
    "",
)
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


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """What a server needs of a request; an absent id is empty."""

    path: str
    attempt: str


async def read_request(reader: asyncio.StreamReader) -> RawRequest | None:
    """Return the next request, without its body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start_line, *lines = head.decode().split("\r\n")
    header = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    await reader.readexactly(int(header.get("content-length", "0")))
    return RawRequest(start_line.split()[1], header.get("attempt-id", ""))


class RawServer(abc.ABC):
    """A server on a free port that writes the bytes of its answers."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"{standins.HOST}:{self.port}"

    @property
    def url(self) -> str:
        """Return the URL of the server."""
        return f"http://{self.address}"

    async def __aenter__(self) -> typing.Self:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve_and_close, standins.HOST, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop to listen."""
        assert self._server is not None
        self._server.close()

    @abc.abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection."""

    async def _serve_and_close(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        writer.close()


class FixedAnswerServer(RawServer):
    """Sends the same bytes as the answer to the request of a connection.

    The body comes ``pause_s`` after the head.
    """

    def __init__(
        self, head: bytes, body: bytes = b"", pause_s: float = 0.0
    ) -> None:
        super().__init__()
        self._head = head
        self._body = body
        self._pause_s = pause_s

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._head)
        await asyncio.sleep(self._pause_s)
        writer.write(self._body)
        await writer.drain()
