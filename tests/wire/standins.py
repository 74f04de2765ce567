"""Small stand-ins for the platform's store and replicas."""

import asyncio
import base64
import contextlib
import dataclasses
import socket
import struct
import typing

from aiohttp import web
import orjson

from cardamom_gateway import gateway as gateway_module
from cardamom_gateway import settings as settings_module
from cardamom_kernel import ids
from cardamom_wire import plugin

HOST = "127.0.0.1"
KEY = "key-of-siesta"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


def free_ports(count: int) -> list[int]:
    """Return free ports, all different from each other."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            )
            for _ in range(count)
        ]
        for bound in sockets:
            bound.bind((HOST, 0))
        return [bound.getsockname()[1] for bound in sockets]


class StandIn:
    """An HTTP server on a port of its own."""

    def __init__(self) -> None:
        self.port = 0
        self._runner: web.ServerRunner | None = None

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on ``port``, or on a free port if it is 0."""
        server = web.Server(
            self.handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, self.port)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    @property
    def is_up(self) -> bool:
        """Return whether it has been started and not stopped since."""
        return self._runner is not None

    async def stop_listening(self) -> None:
        """Refuse new connections; open ones stay open."""
        assert self._runner is not None
        for site in list(self._runner.sites):
            await site.stop()

    async def stop(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError


class StoreStandIn(StandIn):
    """The metadata store: rows, transactions and feeds.

    ``is_down`` answers every call with 503 and ``is_silent`` leaves calls
    without an answer.  Feeds from before ``oldest_version``, or from a version
    that the store doesn't have, get 410.  ``era`` is the number of returns
    from older copies, None for a store that doesn't state it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.row_by_name: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.version_by_removed: dict[tuple[str, str], int] = {}
        self.oldest_version = 0
        self.is_down = False
        self.is_silent = False
        self.calls: list[str] = []
        self.era: int | None = 1
        self.written: list[tuple[int, tuple[str, str], bytes | None]] = []
        self._changed = asyncio.Event()
        self._answers_feeds = asyncio.Event()

    def put(self, table: str, key: str, value: typing.Any) -> None:
        """Write a row, as the operator or a replica does."""
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        self.version += 1
        self.row_by_name[(table, key)] = (raw, self.version)
        self.version_by_removed.pop((table, key), None)
        self.written.append((self.version, (table, key), raw))
        self._notify()

    def raw(self, table: str, key: str) -> bytes:
        """Return the value of a row."""
        return self.row_by_name[(table, key)][0]

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.row_by_name.pop((table, key), None)
        self.version_by_removed[(table, key)] = self.version
        self.written.append((self.version, (table, key), None))
        self._notify()

    def return_from_copy(self, lost_writes: int) -> None:
        """Lose the latest writes; operator and replicas write theirs again.

        A feed that waits isn't told of it.
        """
        latest = dict(self.row_by_name)
        kept = self.written[: len(self.written) - lost_writes]
        self.written = kept
        self.version = kept[-1][0]
        self.row_by_name = {}
        self.version_by_removed = {}
        for version, name, raw in kept:
            self.row_by_name.pop(name, None)
            self.version_by_removed.pop(name, None)
            if raw is None:
                self.version_by_removed[name] = version
            else:
                self.row_by_name[name] = (raw, version)
        self.era = (self.era or 0) + 1
        self.oldest_version = min(self.oldest_version, self.version)
        for name, (raw, _) in latest.items():
            is_theirs = name[0] in ("op", "servers")
            if is_theirs and self.row_by_name.get(name, (b"", 0))[0] != raw:
                self.put(*name, raw)

    def answer_feeds(self) -> None:
        """Answer all waiting feeds now, even without a change."""
        self._answers_feeds.set()
        self._answers_feeds = asyncio.Event()
        self._notify()

    def forget_history(self) -> None:
        """Drop the history, so that followers must read all rows again."""
        self.oldest_version = self.version
        self._notify()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        self.calls.append(request.path)
        if self.is_silent:
            await asyncio.sleep(60)
        if self.is_down:
            return web.Response(status=503)
        if request.path == "/api/rows-get":
            return self._get(request)
        if request.path == "/api/rows-feed":
            return await self._feed(request)
        if request.path == "/api/rows-tx":
            return self._transact(orjson.loads(await request.read()))
        return web.Response(status=404)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, request: web.BaseRequest) -> web.Response:
        start = request.query.get("from", "")
        end = request.query.get("to", "\U0010ffff")
        rows = [
            _row(table, key, raw, version)
            for (table, key), (raw, version) in sorted(
                self.row_by_name.items()
            )
            if table == request.query["table"] and start <= key < end
        ]
        return self._answer({"rows": rows, "has_more": False})

    async def _feed(self, request: web.BaseRequest) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(request.query["wait_ms"]) / 1000
        is_ended = self._answers_feeds
        while True:
            if after < self.oldest_version or after > self.version:
                return web.Response(status=410, headers=self._era_header())
            rows = [
                _row(name, key, raw, version)
                for (name, key), (raw, version) in self.row_by_name.items()
                if name == table and version > after
            ] + [
                {"table": name, "part": "", "key": key, "ver": version}
                | {"tombstone": True}
                for (name, key), version in self.version_by_removed.items()
                if name == table and version > after
            ]
            remaining_s = end_s - loop.time()
            if self.is_down:
                return web.Response(status=503)
            if rows or remaining_s <= 0 or is_ended.is_set():
                rows.sort(key=lambda row: row["ver"])
                return self._answer({"rows": rows})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    def _transact(self, body: typing.Any) -> web.Response:
        current = []
        is_precondition_met = True
        for row in body["precondition"]:
            raw, version = self.row_by_name.get(
                (row["table"], row["key"]), (b"", 0)
            )
            is_precondition_met = is_precondition_met and version == row["ver"]
            if version:
                current.append(_row(row["table"], row["key"], raw, version))
        if not is_precondition_met:
            return self._answer({"rows": current}, 412)
        for row in body["writes"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body["remove"]:
            self.remove(row["table"], row["key"])
        return self._answer({})

    def _answer(
        self, body: dict[str, typing.Any], status: int = 200
    ) -> web.Response:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        body |= {"ver": self.version, "now_ms": now_ms}
        return web.Response(
            status=status,
            body=orjson.dumps(body),
            content_type="application/json",
            headers=self._era_header(),
        )

    def _era_header(self) -> dict[str, str]:
        return {} if self.era is None else {"Store-Era": str(self.era)}


def _row(
    table: str, key: str, raw: bytes, version: int
) -> dict[str, typing.Any]:
    return {
        "table": table,
        "part": "",
        "key": key,
        "value": base64.b64encode(raw).decode(),
        "ver": version,
    }


Behaviour = typing.Callable[
    ["ReplicaStandIn", web.BaseRequest],
    typing.Awaitable[web.StreamResponse],
]


# Number of models that fit into the memory of an engine of configuration().
MAX_LOADED_MODELS = 2


class ReplicaStandIn(StandIn):
    """A replica that answers requests by ``behaviour`` and accepts orders.

    An entry's sequence number starts at 40, so that a confusion with the
    number of accepted orders shows.  ``overcommits`` counts loads beyond the
    engine's memory.
    """

    def __init__(self, name: str, service: str) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.state = "ready"
        self.zone = "bog-a"
        self.software = "v1"
        self.behaviour: Behaviour = answer_at_once
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.orders: list[dict[str, typing.Any]] = []
        self.accepted_orders = 0
        self.sent_reports = 0
        self.models: dict[str, list[str]] = {}
        self.on_disk: list[str] = []
        self.entry_sequence = 40
        self.cancelled_requests = 0
        self.order_delay_s = 0.0
        self.unload_s = 0.0
        self.unloading = ""
        self.refused_orders = 0
        self.overcommits = 0
        self.born_ms = 1_700_000_000_000

    async def crash(self, down_s: float) -> None:
        """Reset every connection, and start again after a time."""
        self.born_ms += 1
        await self.stop()
        await asyncio.sleep(down_s)
        await self.start()

    def entry(self) -> dict[str, typing.Any]:
        """Return its next entry for the store."""
        self.entry_sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.entry_sequence,
            "born": self.born_ms,
            "models": self._models(),
            "available": {"in_memory": [], "on_disk": self.on_disk},
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request, a request for a report, or an order."""
        if request.path == "/api/report":
            self.sent_reports += 1
            return self._json(
                {
                    "models": self._models(),
                    "busy": bool(self.unloading),
                    "sequence": self.accepted_orders,
                    "running": 0,
                    "waiting": 0,
                    "born": self.born_ms,
                    "available": {"in_memory": [], "on_disk": self.on_disk},
                }
            )
        if request.path == "/api/order":
            await asyncio.sleep(self.order_delay_s)
            return self._order(orjson.loads(await request.read()))
        body = await request.read()
        self.requests.append((request.raw_path, dict(request.headers), body))
        try:
            return await self.behaviour(self, request)
        except asyncio.CancelledError:
            self.cancelled_requests += 1
            raise

    def _models(self) -> list[dict[str, typing.Any]]:
        return [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.models.items()
        ]

    def _order(self, order: dict[str, typing.Any]) -> web.Response:
        self.orders.append(order)
        is_expected = (
            order.get("precondition", self.accepted_orders)
            == self.accepted_orders
        )
        if self.unloading or not is_expected:
            self.refused_orders += 1
            return web.Response(status=409)
        self.accepted_orders += 1
        name, adapter = order["model"], order.get("adapter")
        if order["operation"] == "loading":
            self.models.setdefault(name, [])
            if len(self.models) > MAX_LOADED_MODELS:
                self.overcommits += 1
            if adapter:
                self.models[name].append(adapter)
        elif adapter:
            self.models[name].remove(adapter)
        else:
            self.unloading = name
            asyncio.get_running_loop().call_later(self.unload_s, self._unload)
        return web.Response(status=202)

    def _unload(self) -> None:
        del self.models[self.unloading]
        self.unloading = ""

    def _json(self, body: dict[str, typing.Any]) -> web.Response:
        return web.Response(
            body=orjson.dumps(body), content_type="application/json"
        )


def signed(request: web.BaseRequest) -> dict[str, str]:
    """Return headers that mark an answer as a replica's own."""
    return {
        "Attempt-Id": request.headers["Attempt-Id"],
        "Response-Signature": SIGNATURE,
    }


async def answer_at_once(
    replica: ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Answer with the replica's name."""
    return web.Response(text=replica.name, headers=signed(request))


async def crash_for_good(
    replica: ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Reset the connection of a request, and refuse every later one."""
    await replica.stop_listening()
    reset(request)
    return web.Response()


async def never_answer(
    replica: ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Keep the request until its connection is closed."""
    await asyncio.sleep(60)
    return web.Response()


def reset(request: web.BaseRequest) -> None:
    """Reset a request's connection, so that its peer gets no FIN."""
    assert request.transport is not None
    request.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    request.transport.abort()


async def begin_stream(
    request: web.BaseRequest, headers: typing.Mapping[str, str] = {}
) -> web.StreamResponse:
    """Start an answer that is a stream of events."""
    answer = web.StreamResponse(headers=signed(request) | dict(headers))
    answer.content_type = "text/event-stream"
    answer.enable_chunked_encoding()
    await answer.prepare(request)
    return answer


async def stream_events(
    request: web.BaseRequest, count: int, period_s: float
) -> web.StreamResponse:
    """Answer with a whole stream of some events."""
    answer = await begin_stream(request)
    for number in range(count):
        await answer.write(event(number))
        await asyncio.sleep(period_s)
    await answer.write_eof()
    return answer


def begin_unframed(request: web.BaseRequest) -> asyncio.Transport:
    """Start an answer that ends with its connection."""
    transport = request.transport
    assert isinstance(transport, asyncio.Transport)
    head = "".join(
        f"{name}: {value}\r\n" for name, value in signed(request).items()
    )
    transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
    return transport


def event(number: int) -> bytes:
    """Return a server-sent event with this id."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


MODEL = {
    "weights_mb": 70_000.0,
    "load_s": 0.4,
    "disk_s": 0.1,
    "warm_s": 0.05,
    "adapters": 2,
    "adapter_mb": 66.0,
}


def configuration(version: int = 7) -> dict[str, typing.Any]:
    """Return a configuration with each kind of route."""

    def route(name: str, kind: str, **overrides: typing.Any) -> typing.Any:
        return {
            "name": name,
            "host": "ficu95.example",
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 4_000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": "plain",
            "max_attempts": 2,
            "anonymous": False,
        } | overrides

    return {
        "version": version,
        "routes": [
            route("read", "idempotent"),
            route("write", "non_idempotent"),
            route("open", "idempotent", anonymous=True),
            route(
                "chat",
                "streaming",
                service="engines",
                resumable=True,
                gap_target_ms=400,
            ),
            route("once", "streaming", service="engines", max_attempts=1),
        ],
        "services": [
            {"name": "plain", "connection_limit": 50},
            {
                "name": "engines",
                "connection_limit": 50,
                "engine": {
                    "slots": 64,
                    "kv_cache_tokens": 100_000,
                    "weights_mb": 150_000.0,
                    "adapter_slots": 1,
                    "loads_per_s": 2.5,
                    "models": [
                        {"name": name} | MODEL for name in ("m1", "m2", "m3")
                    ],
                },
            },
        ],
        "limits": {"max_body_bytes": 10_000},
        "tenants": [
            {
                "name": "siesta",
                "api_keys": [KEY],
                "unit": "tokens",
                "plain_tokens": 100,
                "rate_per_s": 1_000,
                "burst": 1_000,
            }
        ],
    }


@dataclasses.dataclass
class Deployment:
    """Running gateways, with their store and replicas."""

    store: StoreStandIn
    replicas: list[ReplicaStandIn]
    gateways: list[gateway_module.Gateway]
    open_platform: typing.Callable[[], plugin.ConsorcioPlatform] = (
        plugin.ConsorcioPlatform
    )

    def url(self, path: str, number: int = 0) -> str:
        """Return the URL of a path at a gateway."""
        return f"http://{self.gateways[number].settings.callers}{path}"

    async def start_gateway(
        self, is_first_start: bool = True, **settings_changes: typing.Any
    ) -> gateway_module.Gateway:
        """Start one more gateway, with some settings changed."""
        settings = make_settings(len(self.gateways), self.store)
        gateway = gateway_module.Gateway(
            self.open_platform(),
            dataclasses.replace(
                settings, is_first_start=is_first_start, **settings_changes
            ),
        )
        # The start is moved back beyond the sliding windows, so that their
        # counts are complete.
        gateway.state.rates._started_ms -= 20_000
        gateway.state.retries._started_ms -= 20_000
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    def register(self, replica: ReplicaStandIn) -> None:
        """Write a replica's entry to the store."""
        self.store.put("servers", replica.name, replica.entry())

    async def register_and_wait(self, replica: ReplicaStandIn) -> None:
        """Write a replica's entry; wait until the first gateway has it."""
        self.register(replica)
        targets = self.gateways[0].state.targets.by_id
        await wait_until(
            lambda: (
                targets[replica.name].target.entry_sequence
                == replica.entry_sequence
            )
        )


def make_settings(
    number: int, store: StoreStandIn
) -> settings_module.GatewaySettings:
    """Return settings with short times and unused ports."""
    ports = free_ports(4)
    return settings_module.GatewaySettings(
        instance=ids.InstanceId(f"frontend-{number}"),
        data_centre=ids.DataCentreId("bog-a"),
        callers=settings_module.Address(HOST, ports[0]),
        readiness=settings_module.Address(HOST, ports[1]),
        peers_host=HOST,
        peers_port=ports[2],
        metrics_port=ports[3],
        store_address=store.address,
        grace_ms=6_000,
        lease_ms=300,
        retry_ratio=0.2,
        retry_window_ms=10_000,
        retry_slack=200,
        rate_window_ms=8_000,
        rate_overage=0.1,
        rate_tolerance=0.0,
        load_window_ms=5_000,
        load_overage=1.1,
    )


@contextlib.asynccontextmanager
async def running_deployment(
    plain: int = 2,
    engines: int = 1,
    gateways: int = 1,
    open_platform: typing.Callable[
        [], plugin.ConsorcioPlatform
    ] = plugin.ConsorcioPlatform,
) -> typing.AsyncIterator[Deployment]:
    """Run gateways that are ready, with replicas and a store.

    ``open_platform`` is called for each gateway.  Afterwards no engine may
    have been ordered to load more models than fit.
    """
    store = StoreStandIn()
    await store.start()
    replicas = [ReplicaStandIn(f"p{n}", "plain") for n in range(plain)]
    for number in range(engines):
        replica = ReplicaStandIn(f"e{number}", "engines")
        replica.models = {"m1": [], "m2": []}
        replica.on_disk = ["m1", "m2", "m3"]
        replicas.append(replica)
    deployment = Deployment(store, replicas, [], open_platform)
    store.put("op", "config", configuration())
    for replica in replicas:
        await replica.start()
        deployment.register(replica)
    try:
        for _ in range(gateways):
            await deployment.start_gateway()
        await wait_until(
            lambda: all(
                gateway.is_ready
                and len(gateway.state.targets.by_id) == len(replicas)
                and len(gateway.link.fresh_peers()) == gateways - 1
                for gateway in deployment.gateways
            )
        )
        yield deployment
    finally:
        for gateway in deployment.gateways:
            await gateway.close()
        for replica in replicas:
            await replica.stop()
        await store.stop()
    assert not any(replica.overcommits for replica in replicas)


async def wait_until(
    is_met: typing.Callable[[], bool], timeout_s: float = 10.0
) -> None:
    """Wait until a condition is met; raises TimeoutError otherwise."""
    async with asyncio.timeout(timeout_s):
        while not is_met():
            await asyncio.sleep(0.01)
