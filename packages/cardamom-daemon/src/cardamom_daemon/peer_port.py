"""The peer port: requests that instances send each other."""

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
    """Handlers of the peer port; every request needs the fleet secret."""

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
            middlewares=[self._check_request],
            client_max_size=MAX_MESSAGE_BYTES,
        )
        app.add_routes(
            [
                web.post("/peer/v1/heartbeat", self._receive_heartbeat),
                web.post("/peer/v1/documents", self._get_documents),
                web.post("/peer/v1/withdrawn", self._receive_withdrawals),
                web.post("/peer/v1/suspects", self._receive_suspects),
                web.post("/peer/v1/suspects/permit", self._change_permit),
                web.post("/peer/v1/shares/ask", self._lend_shares),
                web.post("/peer/v1/shares/give", self._receive_grant),
                web.post("/peer/v1/shares/round", self._join_round),
                web.post("/peer/v1/seat", self._receive_seat),
            ]
        )
        return app

    @web.middleware
    async def _check_request(
        self,
        request: web.Request,
        handler: typing.Callable[
            [web.Request], typing.Awaitable[web.StreamResponse]
        ],
    ) -> web.StreamResponse:
        """Check the fleet secret; answer a malformed message with 400."""
        sent_secret = request.headers.get(gossips.FLEET_HEADER, "")
        secret = self._fleet.settings.fleet_secret
        if not hmac.compare_digest(sent_secret.encode(), secret.encode()):
            return web.json_response(
                {"error": "the fleet secret is missing or wrong"}, status=403
            )
        try:
            return await handler(request)
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)

    async def _receive_heartbeat(self, request: web.Request) -> web.Response:
        beat = await _read_message(request, messages.Heartbeat)
        return _json_response(await self._gossip.receive(beat))

    async def _get_documents(self, request: web.Request) -> web.Response:
        held = await _read_message(request, messages.DocumentsRequest)
        store = self._fleet.documents
        newer = [
            document
            for name in store.versions()
            if (document := store.get(name)) is not None
            and document.version > held.version_by_document.get(name, 0)
        ]
        return _json_response(
            messages.DocumentsAnswer(
                newer,
                self._fleet.withdrawn.members(),
                self._fleet.suspicions.export(),
            )
        )

    async def _receive_withdrawals(self, request: web.Request) -> web.Response:
        message = await _read_message(request, messages.Withdrawals)
        self._fleet.withdraw(message.members)
        return _json_response(messages.Accepted(True))

    async def _receive_suspects(self, request: web.Request) -> web.Response:
        message = await _read_message(request, messages.Suspects)
        self._fleet.suspicions.merge(message.notes)
        return _json_response(messages.Accepted(True))

    async def _change_permit(self, request: web.Request) -> web.Response:
        message = await _read_message(request, messages.PermitRequest)
        return _json_response(
            messages.Accepted(self._permits.grant_or_return(message))
        )

    async def _lend_shares(self, request: web.Request) -> web.Response:
        borrow_request = await _read_message(request, shares.BorrowRequest)
        may_lend = self._fleet.is_fresh() and self._fleet.may_hold_shares()
        grant = self._fleet.shares.grant(borrow_request) if may_lend else None
        return _json_response(messages.GrantAnswer(grant))

    async def _receive_grant(self, request: web.Request) -> web.Response:
        grant = await _read_message(request, shares.Grant)
        accepted = self._fleet.may_hold_shares() and self._fleet.shares.credit(
            grant
        )
        return _json_response(messages.Accepted(accepted))

    async def _join_round(self, request: web.Request) -> web.Response:
        message = await _read_message(request, messages.RoundRequest)
        seat = self._fleet.own_seat
        report = self._fleet.shares.join_round(message.round) if seat else None
        return _json_response(messages.RoundAnswer(seat or "", report))

    async def _receive_seat(self, request: web.Request) -> web.Response:
        transfer = await _read_message(request, messages.SeatTransfer)
        return _json_response(
            messages.Accepted(self._keeper.accept_seat(transfer))
        )


async def _read_message(request: web.Request, kind: type[Message]) -> Message:
    return messages.decode(kind, await request.read())


def _json_response(message: object) -> web.Response:
    return web.Response(
        body=orjson.dumps(messages.encode(message)),
        content_type="application/json",
    )
