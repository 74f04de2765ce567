"""Client sessions whose connections and answers are checked."""

import asyncio
import contextlib
import contextvars
import functools
import typing

import aiohttp
from aiohttp import client_proto

from cardamom_platform import answer_heads

_needs_new_connection: contextvars.ContextVar[bool] = contextvars.ContextVar(
    "needs_new_connection", default=False
)


@contextlib.contextmanager
def new_connection() -> typing.Iterator[None]:
    """Send the requests of this context over connections of their own.

    The connections are kept for later requests.
    """
    token = _needs_new_connection.set(True)
    try:
        yield
    finally:
        _needs_new_connection.reset(token)


class CleanConnector(aiohttp.TCPConnector):
    """Closes an idle connection on which bytes have arrived.

    They belong to no request, such as a second copy of an answer.  aiohttp
    would give them to the next request as its answer.  ``max_idle`` is the
    number of idle connections that are kept for each address, None for no
    limit.  Answers whose heads are malformed end their connection.
    """

    def __init__(
        self, max_idle: int | None = None, **options: typing.Any
    ) -> None:
        super().__init__(**options)
        self._max_idle = max_idle
        self._factory = functools.partial(_open_protocol, loop=self._loop)

    def set_idle_timeout(self, timeout_s: float) -> None:
        """Set how long idle connections are reused, also those kept now."""
        self._keepalive_timeout = timeout_s

    async def _get(
        self, key: typing.Any, traces: list[typing.Any]
    ) -> typing.Any:
        """Return an idle connection for a key, None without one.

        The one used last goes first, as the others are closer to the end of
        their idle time at the server.
        """
        if _needs_new_connection.get():
            return None
        self._move_latest_to_front(key)
        while (connection := await super()._get(key, traces)) is not None:
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()
            self._move_latest_to_front(key)
        return None

    def _move_latest_to_front(self, key: typing.Any) -> None:
        idle = self._conns.get(key)
        if idle:
            idle.rotate(1)

    def _release(
        self, key: typing.Any, protocol: typing.Any, **options: typing.Any
    ) -> None:
        """Keep a connection for later requests unless there are enough."""
        has_enough = (
            self._max_idle is not None
            and len(self._conns.get(key, ())) >= self._max_idle
        )
        if has_enough:
            options["should_close"] = True
        super()._release(key, protocol, **options)


def _open_protocol(
    loop: asyncio.AbstractEventLoop,
) -> client_proto.ResponseHandler:
    return answer_heads.CheckedProtocol(loop)


def open_session(
    connector: CleanConnector, **options: typing.Any
) -> aiohttp.ClientSession:
    """Return a client session that checks the heads of all answers.

    The further options are those of aiohttp.ClientSession.
    """
    return aiohttp.ClientSession(
        connector=connector,
        response_class=answer_heads.CheckedResponse,
        **options,
    )
