"""The peer port: what instances ask of each other."""

import hmac
import typing

from aiohttp import web
import orjson

from cardamom_daemon import fleet as fleets
from cardamom_daemon import gossip as gossips
from cardamom_daemon import messages
from cardamom_daemon import roster_keeper
from cardamom_daemon import suspect_permits
from cardamom_kernel import shares

MAX_MESSAGE_BYTES = 16 << 20

Message = typing.TypeVar("Message")


class PeerPort:
    """Handlers of the peer port; every request shows the fleet's secret."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        gossip: gossips.Gossip,
        keeper: roster_keeper.RosterKeeper,
        permits: suspect_permits.SuspectPermits,
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._keeper = keeper
        self._permits = permits

    def application(self) -> web.Application:
        """Return the web application of the port."""
        app = web.Application(
            middlewares=[self._guard],
            client_max_size=MAX_MESSAGE_BYTES,
        )
        app.add_routes(
            [
                web.post("/peer/v1/heartbeat", self._heartbeat),
                web.post("/peer/v1/documents", self._documents),
                web.post("/peer/v1/withdrawn", self._withdrawn),
                web.post("/peer/v1/suspects", self._suspects),
                web.post("/peer/v1/suspects/permit", self._permit),
                web.post("/peer/v1/shares/ask", self._ask),
                web.post("/peer/v1/shares/give", self._give),
                web.post("/peer/v1/shares/round", self._round),
                web.post("/peer/v1/seat", self._seat),
            ]
        )
        return app

    @web.middleware
    async def _guard(
        self,
        request: web.Request,
        handler: typing.Callable[
            [web.Request], typing.Awaitable[web.StreamResponse]
        ],
    ) -> web.StreamResponse:
        shown = request.headers.get(gossips.FLEET_HEADER, "")
        secret = self._fleet.settings.fleet_secret
        if not hmac.compare_digest(shown.encode(), secret.encode()):
            return web.json_response(
                {"error": "wrong fleet secret"}, status=403
            )
        try:
            return await handler(request)
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)

    async def _heartbeat(self, request: web.Request) -> web.Response:
        beat = await _read(request, messages.Heartbeat)
        return _reply(await self._gossip.receive(beat))

    async def _documents(self, request: web.Request) -> web.Response:
        wanted = await _read(request, messages.DocumentsWanted)
        store = self._fleet.documents
        newer = [
            document
            for name in store.versions()
            if (document := store.get(name)) is not None
            and document.version > wanted.version_by_document.get(name, 0)
        ]
        return _reply(
            messages.DocumentsHeld(
                newer,
                self._fleet.withdrawn.members(),
                self._fleet.suspicions.export(),
            )
        )

    async def _withdrawn(self, request: web.Request) -> web.Response:
        message = await _read(request, messages.Withdrawals)
        self._fleet.withdraw(message.members)
        return _reply(messages.Accepted(True))

    async def _suspects(self, request: web.Request) -> web.Response:
        message = await _read(request, messages.Suspects)
        self._fleet.suspicions.merge(message.notes)
        return _reply(messages.Accepted(True))

    async def _permit(self, request: web.Request) -> web.Response:
        wanted = await _read(request, messages.PermitWanted)
        return _reply(messages.Accepted(self._permits.handle(wanted)))

    async def _ask(self, request: web.Request) -> web.Response:
        ask = await _read(request, shares.Ask)
        may_lend = self._fleet.is_fresh() and self._fleet.may_hold_shares()
        grant = self._fleet.shares.grant(ask) if may_lend else None
        return _reply(messages.GrantAnswer(grant))

    async def _give(self, request: web.Request) -> web.Response:
        grant = await _read(request, shares.Grant)
        accepted = self._fleet.may_hold_shares() and self._fleet.shares.credit(
            grant
        )
        return _reply(messages.Accepted(accepted))

    async def _round(self, request: web.Request) -> web.Response:
        wanted = await _read(request, messages.RoundWanted)
        seat = self._fleet.own_seat
        report = self._fleet.shares.join(wanted.round) if seat else None
        return _reply(messages.RoundAnswer(seat or "", report))

    async def _seat(self, request: web.Request) -> web.Response:
        passed = await _read(request, messages.SeatPassed)
        return _reply(messages.Accepted(self._keeper.accept_seat(passed)))


async def _read(request: web.Request, kind: type[Message]) -> Message:
    return messages.decode(kind, await request.read())


def _reply(message: object) -> web.Response:
    return web.Response(
        body=orjson.dumps(messages.encode(message)),
        content_type="application/json",
    )
