"""Calls between instances that need an answer, as JSON over HTTP."""

import dataclasses
import typing
import urllib.parse

import aiohttp
from aiohttp import web
import orjson
import structlog

from cardamom_kernel import ids
from cardamom_kernel import tables
from cardamom_platform import answer_bodies
from cardamom_platform import pools
from cardamom_policy import room

from cardamom_gateway.fleet import peers
from cardamom_gateway import interfaces
from cardamom_gateway import model
from cardamom_gateway.requests import stream_origins
from cardamom_gateway import sockets
from cardamom_gateway import state as state_module
from cardamom_gateway.store import store_relay
from cardamom_gateway.targets import permit_messages
from cardamom_gateway.targets import permit_owners
from cardamom_gateway.targets import target_limits

LOG = structlog.get_logger("cardamom.gateway.peer_calls")

TIMEOUT_S = 1.0  # leaves time to resend an order to an engine
ORIGIN_TIMEOUT_S = 0.3  # a caller waits for the rest of its stream
REACH_TIMEOUT_S = 0.6  # a peer tries for 0.4 s to connect
PERMIT_TIMEOUT_S = 0.15  # another target may serve the caller
COUNT_TIMEOUT_S = 0.1  # requests for permits wait for it
CONNECT_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 20.0
CALL_ERRORS = (
    *pools.NETWORK_ERRORS,
    ValueError,
    KeyError,
)

AdapterLoader = typing.Callable[
    [ids.TargetId, str, str], typing.Awaitable[bool]
]
ReachTest = typing.Callable[[ids.TargetId, int], typing.Awaitable[bool | None]]


ChangesSince = typing.Callable[
    [interfaces.Topic, tables.StoreVersion], store_relay.Message | None
]


class PeerCalls(permit_owners.PermitCalls):
    """Calls peers and answers their calls."""

    def __init__(
        self,
        state: state_module.GatewayState,
        table: tables.Table,
        changes_since: ChangesSince,
        load_adapter: AdapterLoader,
        holdings_snapshot: typing.Callable[[], dict[str, typing.Any]],
        origins: stream_origins.StreamOrigins,
        limits: target_limits.TargetLimits,
        reaches_target: ReachTest,
    ) -> None:
        self._state = state
        self._table = table
        self._changes_since = changes_since
        self._load_adapter = load_adapter
        self._holdings_snapshot = holdings_snapshot
        self._origins = origins
        self.permit_owners = permit_owners.PermitOwners(
            state.clock, limits, self
        )
        self._reaches_target = reaches_target
        self._pool = pools.Pool(
            pools.PoolSettings(
                idle_timeout_s=IDLE_TIMEOUT_S,
                socket_factory=sockets.open_keepalive_socket,
            )
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a peer's call; an unknown path gives 404."""
        if request.path == "/changes":
            return self._answer_changes(request.query)
        if request.path == "/holdings":
            return web.Response(body=orjson.dumps(self._holdings_snapshot()))
        if request.path == "/adapter" and request.method == "POST":
            fields = orjson.loads(await request.read())
            is_loaded = await self._load_adapter(
                ids.TargetId(fields["target"]),
                str(fields["model"]),
                str(fields["adapter"]),
            )
            return web.Response(body=orjson.dumps({"there": is_loaded}))
        if request.path == "/stream":
            return self._answer_origin(
                request.query.get("attempt", ""),
                request.query.get("service", ""),
            )
        if request.path == "/reach":
            return await self._answer_reach(
                request.query.get("target", ""),
                int(request.query.get("started_ms", "0")),
            )
        if request.path == "/permit" and request.method == "POST":
            return await self._answer_permit(
                orjson.loads(await request.read()), request.query
            )
        if request.path == "/permit-end" and request.method == "POST":
            fields = orjson.loads(await request.read())
            await self.permit_owners.finish(
                permit_messages.PermitEnd(**fields),
                _is_passed_on(request.query),
            )
            return web.Response(body=b"{}")
        if request.path == "/permit-count" and request.method == "POST":
            return await self._answer_count(
                orjson.loads(await request.read()), request.query
            )
        if request.path == "/permit-count-return" and request.method == "POST":
            fields = orjson.loads(await request.read())
            self.permit_owners.accept(
                str(fields["incarnation"]),
                permit_messages.decode_count(fields["count"]),
            )
            return web.Response(body=b"{}")
        if request.path == "/row" and request.method == "GET":
            return await self._answer_row(request.query.get("key", ""))
        if request.path == "/row" and request.method == "POST":
            return await self._answer_commit(
                orjson.loads(await request.read())
            )
        return web.Response(status=404)

    def _answer_origin(self, attempt: str, service: str) -> web.Response:
        known = self._origins.knowledge(
            ids.AttemptId(attempt), model.ServiceId(service)
        )
        origin = known.origin
        fields = {
            "origin": [origin.service, origin.software_version]
            if origin
            else None,
            "versions": sorted(known.versions),
            "is_complete": known.is_complete,
        }
        return web.Response(body=orjson.dumps(fields))

    async def ask_origin(
        self,
        peer: peers.Member,
        attempt: ids.AttemptId,
        service: model.ServiceId,
    ) -> stream_origins.Knowledge | None:
        """Ask a peer for the origin of a stream, None without an answer."""
        query = urllib.parse.urlencode(
            {"attempt": attempt, "service": service}
        )
        fields = await self._call(
            "GET", peer, f"/stream?{query}", timeout_s=ORIGIN_TIMEOUT_S
        )
        if fields is None:
            return None
        origin = fields["origin"]
        return stream_origins.Knowledge(
            stream_origins.Origin(model.ServiceId(origin[0]), origin[1])
            if origin
            else None,
            frozenset(fields["versions"]),
            bool(fields["is_complete"]),
        )

    async def _answer_reach(
        self, target: str, started_ms: int
    ) -> web.Response:
        is_reached = await self._reaches_target(
            ids.TargetId(target), started_ms
        )
        return web.Response(body=orjson.dumps({"reached": is_reached}))

    async def ask_reach(
        self, peer: peers.Member, target: ids.TargetId, started_ms: int
    ) -> bool | None:
        """Ask a peer whether it reaches a target.

        Returns None without an answer, or if the peer can't tell.
        """
        query = urllib.parse.urlencode(
            {"target": target, "started_ms": started_ms}
        )
        fields = await self._call(
            "GET", peer, f"/reach?{query}", timeout_s=REACH_TIMEOUT_S
        )
        return None if fields is None else fields["reached"]

    async def _answer_permit(
        self,
        fields: dict[str, typing.Any],
        query: typing.Mapping[str, str],
    ) -> web.Response:
        running = query.get("running")
        wait_ms = await self.permit_owners.take(
            permit_messages.PermitRequest(**fields),
            None if running is None else int(running),
            _is_passed_on(query),
        )
        if wait_ms is None:
            return web.Response(status=503)
        return web.Response(body=orjson.dumps({"wait_ms": wait_ms}))

    async def report_permit_end(
        self,
        owner: peers.Member,
        end: permit_messages.PermitEnd,
        is_passed_on: bool = False,
    ) -> None:
        """Tell an owner that a request with a permit has ended."""
        await self._call(
            "POST",
            owner,
            f"/permit-end?passed_on={int(is_passed_on)}",
            dataclasses.asdict(end),
        )

    async def ask_permit(
        self,
        owner: peers.Member,
        request: permit_messages.PermitRequest,
        running: int,
        is_passed_on: bool = False,
    ) -> int | None:
        """Ask an owner for a permit; return the ms to wait, or None.

        What earlier builds don't know is in the query, which they ignore.
        """
        fields = await self._call(
            "POST",
            owner,
            f"/permit?running={running}&passed_on={int(is_passed_on)}",
            request.fields(),
            timeout_s=PERMIT_TIMEOUT_S,
        )
        return None if fields is None else int(fields["wait_ms"])

    async def _answer_count(
        self,
        fields: dict[str, typing.Any],
        query: typing.Mapping[str, str],
    ) -> web.Response:
        count = await self.permit_owners.hand_over(
            str(fields["incarnation"]),
            peers.Member(**fields["to"]),
            _is_passed_on(query),
        )
        body = {"count": count and dataclasses.asdict(count)}
        return web.Response(body=orjson.dumps(body))

    async def take_count(
        self,
        previous: peers.Member,
        incarnation: str,
        to: peers.Member | None = None,
    ) -> room.Count | None:
        """Take a target's count over from an instance, None without one."""
        member = to or peers.own_member(self._state.settings)
        fields = await self._call(
            "POST",
            previous,
            f"/permit-count?passed_on={int(to is not None)}",
            {"incarnation": incarnation, "to": dataclasses.asdict(member)},
            timeout_s=COUNT_TIMEOUT_S,
        )
        if fields is None or fields["count"] is None:
            return None
        try:
            return permit_messages.decode_count(fields["count"])
        except (KeyError, TypeError, ValueError) as error:
            LOG.warning(
                "peer_calls: count not usable",
                peer=previous.id,
                error=repr(error),
            )
            return None

    async def return_count(
        self,
        owner: peers.Member,
        incarnation: str,
        count: room.Count,
    ) -> None:
        """Give a target's count to the instance that owns it now."""
        await self._call(
            "POST",
            owner,
            "/permit-count-return",
            {"incarnation": incarnation, "count": dataclasses.asdict(count)},
            timeout_s=COUNT_TIMEOUT_S,
        )

    async def _answer_row(self, key: str) -> web.Response:
        try:
            rows = await self._table.read_latest([key])
        except tables.TableUnavailable:
            return web.Response(status=503)
        row = rows.get(key)
        values = None if row is None else [row.version, dict(row.body)]
        return web.Response(body=orjson.dumps({"row": values}))

    async def _answer_commit(
        self, fields: dict[str, typing.Any]
    ) -> web.Response:
        result = await self._table.commit(
            {fields["key"]: fields["version"]}, {fields["key"]: fields["body"]}
        )
        return web.Response(body=orjson.dumps({"state": result.state.value}))

    async def read_row(
        self, peer: peers.Member, key: str
    ) -> tables.Row | None:
        """Read a row of the store through a peer, None if it is absent.

        Raises TableUnavailable if the peer does not answer.
        """
        answer = await self._call("GET", peer, f"/row?key={key}")
        if answer is None:
            raise tables.TableUnavailable(f"peer {peer.id}: no answer")
        values = answer["row"]
        return (
            None if values is None else tables.Row(key, values[0], values[1])
        )

    async def commit_row(
        self,
        peer: peers.Member,
        key: str,
        version: int,
        body: tables.Body,
    ) -> tables.CommitState:
        """Write a row of the store through a peer.

        The row must have the given version; without an answer the result is
        UNKNOWN.
        """
        fields = {"key": key, "version": version, "body": dict(body)}
        answer = await self._call("POST", peer, "/row", fields)
        if answer is None:
            return tables.CommitState.UNKNOWN
        return tables.CommitState(answer["state"])

    async def request_adapter(
        self,
        holder: peers.Member,
        target: ids.TargetId,
        model_name: str,
        adapter: str,
    ) -> bool:
        """Ask the lease holder to load an adapter.

        Returns whether the adapter is resident.
        """
        body = {"target": target, "model": model_name, "adapter": adapter}
        answer = await self._call("POST", holder, "/adapter", body)
        return bool(answer and answer.get("there"))

    async def fetch_holdings(
        self, holder: peers.Member
    ) -> dict[str, typing.Any] | None:
        """Ask the lease holder for what all engines hold.

        Returns the fields of the answer, None without an answer.
        """
        return await self._call("GET", holder, "/holdings")

    async def fetch_changes(
        self,
        peer: peers.Member,
        topic: interfaces.Topic,
        known: tables.StoreVersion,
    ) -> store_relay.Message | None:
        """Ask a peer for changes of the store after a version.

        Returns None without a usable answer.
        """
        query = urllib.parse.urlencode(
            {"topic": topic.value, "era": known.era, "number": known.number}
        )
        answer = await self._call("GET", peer, f"/changes?{query}")
        if answer is None or answer.get("x") is None:
            return None
        try:
            return store_relay.decode(answer["x"])
        except interfaces.MalformedMessage as error:
            LOG.warning(
                "peer_calls: changes not usable",
                peer=peer.id,
                topic=topic.value,
                error=str(error),
            )
            return None

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()

    def _answer_changes(self, query: typing.Mapping[str, str]) -> web.Response:
        try:
            topic = interfaces.Topic(query.get("topic", ""))
            known = tables.StoreVersion(
                int(query.get("era", "0")), int(query.get("number", "0"))
            )
        except ValueError:
            return web.Response(status=400)
        message = self._changes_since(topic, known)
        text = None if message is None else message.encode()
        return web.Response(body=orjson.dumps({"x": text}))

    async def _call(
        self,
        method: str,
        peer: peers.Member,
        path: str,
        body: typing.Any = None,
        timeout_s: float = TIMEOUT_S,
    ) -> dict[str, typing.Any] | None:
        """Return the fields of an answer, None without a good answer."""
        session = self._pool.session
        try:
            async with session.request(
                method,
                f"http://{peer.host}:{peer.port}{path}",
                data=orjson.dumps(body) if body is not None else None,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as answer:
                if answer.status != 200:
                    return None
                fields: dict[str, typing.Any] = orjson.loads(
                    await answer_bodies.read(answer)
                )
                return fields
        except CALL_ERRORS as error:
            if isinstance(error, TimeoutError):
                self._pool.note_timeout(session)
            LOG.info("peer_calls: failed", peer=peer.id, error=repr(error))
            return None


def _is_passed_on(query: typing.Mapping[str, str]) -> bool:
    return query.get("passed_on") == "1"
