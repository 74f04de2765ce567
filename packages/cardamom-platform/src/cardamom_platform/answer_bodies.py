"""Reads the bodies of answers: how they are delimited, and how they end."""

import asyncio
import enum

import aiohttp

from cardamom_kernel import held_bytes

# Larger answers of targets could fill an instance's memory.
MAX_ANSWER_BYTES = 8 << 20
STATUSES_WITHOUT_BODY = (204, 304)
EVENT_STREAM_TYPE = "text/event-stream"


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


def framing(response: aiohttp.ClientResponse) -> Framing:
    """Return what marks the end of an answer's body."""
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKED
    if (
        "Content-Length" in response.headers
        or response.status in STATUSES_WITHOUT_BODY
    ):
        return Framing.LENGTH
    return Framing.CONNECTION_END


def is_event_stream(response: aiohttp.ClientResponse) -> bool:
    """Return whether a stream's answer consists of events.

    An answer without a content type is taken for events.
    """
    return (
        "Content-Type" not in response.headers
        or response.content_type == EVENT_STREAM_TYPE
    )


def connection_end(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Return a future that ends with the connection of an unframed answer.

    An unframed body ends when its connection is closed, and aiohttp takes a
    reset for a regular close; the future raises for a reset.  Returns None
    for a framed answer.  Raises ClientPayloadError if the connection has
    already ended or been released, as its end is then unknown.
    """
    if framing(response) is not Framing.CONNECTION_END:
        return None
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    end: asyncio.Future[None] | None = (
        None if protocol is None else protocol.closed
    )
    if end is None:
        raise aiohttp.ClientPayloadError(
            "it is unknown how the connection of an unframed answer ended"
        )
    return end


async def read(
    response: aiohttp.ClientResponse,
    max_bytes: int = MAX_ANSWER_BYTES,
    held: held_bytes.HeldBytes | None = None,
) -> bytes:
    """Return an answer's complete body.

    With ``held``, it is counted there while it is read.  Raises an
    aiohttp.ClientError if the connection ended before the body did, if the
    body has more than ``max_bytes``, or if it is given up for other answers;
    the caller then has to close the response.
    """
    end = connection_end(response)
    chunks: list[bytes] = []
    size_bytes = 0
    all_held = held or held_bytes.HeldBytes(max_bytes)
    with all_held.hold(response.close) as holding:
        async for data in response.content.iter_any():
            size_bytes += len(data)
            if size_bytes > max_bytes:
                raise aiohttp.ClientPayloadError(
                    f"the body has more than {max_bytes} bytes"
                )
            try:
                holding.resize(size_bytes)
            except held_bytes.TooManyBytes as error:
                raise aiohttp.ClientPayloadError(str(error)) from error
            chunks.append(data)
        await wait_for_connection_end(end)
    return b"".join(chunks)


async def wait_for_connection_end(end: asyncio.Future[None] | None) -> None:
    """Wait for the end of an unframed answer's connection.

    Raises ClientConnectionError if the connection was reset.
    """
    if end is not None:
        await end
