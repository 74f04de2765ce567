"""The base of all stand-ins: an HTTP server with fault switches."""

import asyncio
import contextlib
import dataclasses
import random
import typing

from aiohttp import web
import orjson

Json = dict[str, typing.Any]

SILENCE_S = 86_400.0


@dataclasses.dataclass
class Faults:
    """Switches that are set by ``POST /faults`` with a JSON object.

    down: abort the connection of each request at once.
    slow_ms: wait this long before each request is handled.
    lose_answers: fraction of the requests, from 0 to 1, that take effect
        but whose connection is then aborted without an answer.
    silence: never answer again on the connections that are open now; they
        stay open.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: float = 0.0
    silence: bool = False


class Standin:
    """Base class of the stand-ins; subclasses add routes and switches."""

    faults: Faults

    def __init__(self, seed: int = 1) -> None:
        self.faults = self.make_faults()
        self.random = random.Random(seed)
        self._transports: set[asyncio.BaseTransport] = set()
        self._silent_transports: set[asyncio.BaseTransport] = set()

    def make_faults(self) -> Faults:
        """Return the switches of this stand-in, all off."""
        return Faults()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of this stand-in."""
        raise NotImplementedError

    def set_faults(self, values: Json) -> None:
        """Set switches by name; raises ValueError for an unknown one."""
        names = {field.name for field in dataclasses.fields(self.faults)}
        for name, value in values.items():
            if name not in names:
                raise ValueError(
                    f"unknown switch {name!r}; known are "
                    f"{', '.join(sorted(names))}"
                )
            setattr(self.faults, name, value)
        if self.faults.silence:
            self._silent_transports |= self._transports
            self.faults.silence = False

    def abort_connections(self) -> None:
        """Abort every connection, as if the process had crashed."""
        for transport in list(self._transports):
            typing.cast(asyncio.Transport, transport).abort()
        self._transports.clear()

    def application(self) -> web.Application:
        """Return the web application; faults apply to each route."""
        app = web.Application(
            middlewares=[self._apply_faults],
            client_max_size=64 << 20,
        )
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/faults", self._get_faults)
        app.add_routes(self.routes())
        return app

    async def on_start(self) -> None:
        """Run after the server has begun to listen."""

    async def on_stop(self) -> None:
        """Run before the server stops."""

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: typing.Callable[
            [web.Request], typing.Awaitable[web.StreamResponse]
        ],
    ) -> web.StreamResponse:
        transport = request.transport
        if request.path == "/faults" or transport is None:
            return await handler(request)
        self._transports = {
            t for t in self._transports if not t.is_closing()
        } | {transport}
        if self.faults.down:
            return self._abort_connection(request)
        await self._block_if_silent(transport)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        loses_answer = self.random.random() < self.faults.lose_answers
        response = await handler(request)
        await self._block_if_silent(transport)
        return self._abort_connection(request) if loses_answer else response

    async def _block_if_silent(self, transport: asyncio.BaseTransport) -> None:
        if transport in self._silent_transports:
            await asyncio.sleep(SILENCE_S)

    def is_silent(self, request: web.Request) -> bool:
        """Return whether a request's connection is silenced."""
        return request.transport in self._silent_transports

    def _abort_connection(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(orjson.loads(await request.read()))
        except ValueError as error:
            return web.Response(status=400, text=str(error))
        return reply(dataclasses.asdict(self.faults))

    async def _get_faults(self, _: web.Request) -> web.Response:
        return reply(dataclasses.asdict(self.faults))


def reply(body: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=orjson.dumps(body),
        status=status,
        content_type="application/json",
    )


@contextlib.asynccontextmanager
async def serving(
    standin: Standin,
    host: str = "127.0.0.1",
    port: int = 0,
) -> typing.AsyncIterator[str]:
    """Serve a stand-in inside this process and yield its base URL."""
    runner = web.AppRunner(standin.application(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    await standin.on_start()
    bound_port = runner.addresses[0][1]
    try:
        yield f"http://{host}:{bound_port}"
    finally:
        await standin.on_stop()
        await runner.cleanup()
