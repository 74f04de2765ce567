"""Tests of calls from the daemon to plain services."""

import asyncio
import socket
import struct
import types
import typing

import aiohttp
from opentelemetry import trace
import pytest

from cardamom_config import schema
from cardamom_daemon import plain_calls
from cardamom_kernel import ids

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
CALL = plain_calls.PlainCall(
    id=ids.RequestId("r1"),
    route_name="profiles",
    route=schema.Route(path="/profiles", group="app"),
    method="GET",
    path="/profiles/1",
    query=(),
    headers={},
    body=b"",
    deadline_ms=5_000,
)


async def _call_unframed(body: bytes, is_reset: bool) -> bytes:
    """Return the body that a call gets from a service that sends no length."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + body)
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    target = types.SimpleNamespace(
        id="app-1",
        spec=types.SimpleNamespace(url=f"http://127.0.0.1:{port}"),
    )
    fleet = types.SimpleNamespace(tracer=trace.get_tracer("test"))
    async with server, aiohttp.ClientSession() as session:
        answer = await plain_calls.send(
            session,
            CALL,
            typing.cast(typing.Any, target),
            5.0,
            typing.cast(typing.Any, fleet),
        )
    return answer.body


class TestUnframedAnswers:
    """Answers of plain services that end with their connection."""

    def test_reset_answer_is_not_complete(self) -> None:
        """A caller got half of an answer as a complete one."""
        with pytest.raises(aiohttp.ClientError):
            asyncio.run(_call_unframed(b"half of", is_reset=True))

    def test_closed_answer_is_complete(self) -> None:
        """A whole answer could be taken for a broken one."""
        body = asyncio.run(_call_unframed(b"all of it", is_reset=False))
        assert body == b"all of it"
