"""HTTP connection pools that can be replaced when connections stall."""

import asyncio
import dataclasses
import socket
import typing

import aiohttp
from aiohttp import http_exceptions

from cardamom_platform import connectors

IDLE_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 1.0
REPLACED_SESSION_TIMEOUT_S = 130.0

NETWORK_ERRORS = (
    aiohttp.ClientError,
    # Of bodies that aiohttp's parser in Python can't parse.
    http_exceptions.HttpProcessingError,
    asyncio.TimeoutError,
    OSError,
)
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# Beginning of the message of aiohttp.
INCOMPLETE_BODY = "Response payload is not completed"


def describe(error: Exception) -> str:
    """Return a description of a network error that any caller may read.

    aiohttp's own, for bytes that it can't parse, holds these bytes, which may
    be of another caller's answer, and the head of the request.  That of a
    body that isn't complete holds only how its connection ended.
    """
    if str(error).startswith(INCOMPLETE_BODY):
        return repr(error)
    for malformed in (error, error.__cause__):
        if isinstance(malformed, http_exceptions.HttpProcessingError):
            return f"the answer is malformed: {type(malformed).__name__}"
    if isinstance(error, aiohttp.ClientResponseError):
        return f"the answer is not usable: status {error.status}"
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return type(error).__name__
    return repr(error)


@dataclasses.dataclass(frozen=True)
class PoolSettings:
    """The settings of a pool.

    ``limit`` is the maximum number of connections of the pool, 0 for no limit.
    ``idle_timeout_s`` is how long an unused connection is kept,
    ``reuse_connections`` whether connections are kept at all.
    ``source_address`` is the local IP address of the connections, empty for
    any, and ``socket_factory`` opens their sockets, None for aiohttp's own
    way.
    """

    limit: int = 0
    idle_timeout_s: float = IDLE_TIMEOUT_S
    reuse_connections: bool = True
    source_address: str = ""
    socket_factory: typing.Callable[[typing.Any], socket.socket] | None = None


class Pool:
    """A client session whose connections ``replace`` takes out of use.

    A connection that is still receiving an answer stays open until the answer
    ends or REPLACED_SESSION_TIMEOUT_S has passed; no later request uses it.
    ``replace_count`` counts the replacements.
    """

    def __init__(self, settings: PoolSettings = PoolSettings()) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self.replace_count = 0

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the current session; opens it on first use."""
        if self._session is None:
            self._session = connectors.open_session(
                self._connector(),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session

    def note_timeout(self, session: aiohttp.ClientSession) -> None:
        """Use only new connections if one of this session gave no answer.

        Several of its connections may have gone silent at once.
        """
        if session is self._session:
            self.replace()

    def replace(self) -> None:
        """Use only new connections from now on.

        Does nothing if no session is open. Must run in an event loop.
        """
        old_session, self._session = self._session, None
        if old_session is None:
            return
        self.replace_count += 1
        closing_task = asyncio.get_running_loop().create_task(
            _close_after_timeout(old_session)
        )
        self._closing_tasks.add(closing_task)
        closing_task.add_done_callback(self._closing_tasks.discard)

    async def close(self) -> None:
        """Close all connections, those of replaced sessions too."""
        if self._session is not None:
            await self._session.close()
        closing_tasks = list(self._closing_tasks)
        for closing_task in closing_tasks:
            closing_task.cancel()
        await asyncio.gather(*closing_tasks, return_exceptions=True)

    def _connector(self) -> connectors.CleanConnector:
        kwargs: dict[str, typing.Any] = {
            "limit": self._settings.limit,
            "socket_factory": self._settings.socket_factory,
        }
        if self._settings.source_address:
            kwargs["local_addr"] = (self._settings.source_address, 0)
        if self._settings.reuse_connections:
            kwargs["keepalive_timeout"] = self._settings.idle_timeout_s
        else:
            kwargs["force_close"] = True
        return connectors.CleanConnector(**kwargs)


async def _close_after_timeout(session: aiohttp.ClientSession) -> None:
    try:
        await asyncio.sleep(REPLACED_SESSION_TIMEOUT_S)
    finally:
        await session.close()
