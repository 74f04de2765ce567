"""HTTP connection pools that can be replaced when they have gone silent."""

import asyncio
import dataclasses
import typing

import aiohttp

IDLE_AGE_S = 15.0
CONNECT_TIMEOUT_S = 1.0
CLOSE_AFTER_S = 130.0

NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclasses.dataclass(frozen=True)
class PoolSettings:
    """How a pool keeps its connections.

    ``limit`` is per pool, 0 for none; ``source`` is the IP number that
    connections leave by, empty for any.
    """

    limit: int = 0
    idle_age_s: float = IDLE_AGE_S
    reuse: bool = True
    source: str = ""


class Pool:
    """A session whose connections are all dropped by ``replace``.

    A connection that is still carrying an answer stays open until it ends
    or CLOSE_AFTER_S has passed; no later request uses it.
    """

    def __init__(self, settings: PoolSettings = PoolSettings()) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self._retired: set[asyncio.Task[None]] = set()
        self.replaced = 0

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the current session, opened on first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=self._connector(),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session

    def replace(self) -> None:
        """Use only new connections from now on."""
        old, self._session = self._session, None
        if old is None:
            return
        self.replaced += 1
        task = asyncio.get_running_loop().create_task(_close_later(old))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
        retired = list(self._retired)
        for task in retired:
            task.cancel()
        await asyncio.gather(*retired, return_exceptions=True)

    def _connector(self) -> aiohttp.TCPConnector:
        kwargs: dict[str, typing.Any] = {"limit": self._settings.limit}
        if self._settings.source:
            kwargs["local_addr"] = (self._settings.source, 0)
        if self._settings.reuse:
            kwargs["keepalive_timeout"] = self._settings.idle_age_s
        else:
            kwargs["force_close"] = True
        return aiohttp.TCPConnector(**kwargs)


async def _close_later(session: aiohttp.ClientSession) -> None:
    try:
        await asyncio.sleep(CLOSE_AFTER_S)
    finally:
        await session.close()
