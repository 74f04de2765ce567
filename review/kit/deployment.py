"""Stand-ins and gateway processes for the scripts of the review.

The store, the replicas and the clients are small stand-ins written after
PROTOCOL.md.  The gateways are real processes, started with the command of the
deploy file.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

import aiohttp
from aiohttp import web
import yaml

ROOT = pathlib.Path(__file__).parents[2]
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
KEY = "i9n73hh2b9wu3fexd9dn"
HOST_HEADER = "ficu95.example"
START = time.monotonic()


def now_ms() -> int:
    """Return the time since the script's start in ms."""
    return int((time.monotonic() - START) * 1000)


class Record:
    """The lines of record.txt, each with the time in ms."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", buffering=1)

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now_ms():7d} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def reset(request: web.BaseRequest) -> None:
    """Reset a request's connection."""
    transport = request.transport
    if transport is None:
        return
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    transport.abort()


class Store:
    """The platform's metadata store, with one port for each machine.

    ``mode_by_machine`` has the machines that are turned away, and how:
    "busy" answers 503, "reset" resets connections, "silent" never answers.
    """

    FEED_POLL_S = 0.005

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.removed: dict[tuple[str, str], int] = {}
        self.mode_by_machine: dict[str, str] = {}
        self.port_by_machine: dict[str, int] = {}
        self.on_call = lambda machine, path, query: None
        self.on_written = lambda machine, body: None
        # The open feeds by machine and table.
        self.feeds: collections.Counter = collections.Counter()
        self._changed = asyncio.Event()
        self._runners: list[web.ServerRunner] = []
        self._open: dict[str, dict[int, web.BaseRequest]] = (
            collections.defaultdict(dict)
        )

    async def listen(self, machine: str) -> None:
        """Open a port for a machine."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(machine, request)

        runner = web.ServerRunner(
            web.Server(handle, handler_cancellation=True, access_log=None),
            shutdown_timeout=0.05,
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port_by_machine[machine] = site._server.sockets[
            0
        ].getsockname()[1]
        self._runners.append(runner)

    async def close(self) -> None:
        """Close all ports."""
        for runner in self._runners:
            await runner.cleanup()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as the operator or a replica does."""
        self.version += 1
        self._put(table, key, json.dumps(value).encode())
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.removed[(table, key)] = self.version
        self._notify()

    def turn_away(self, machines: list[str], mode: str) -> None:
        """Begin to turn machines away."""
        for machine in machines:
            self.mode_by_machine[machine] = mode
            for request in list(self._open[machine].values()):
                if mode == "reset":
                    reset(request)
        self._notify()

    def serve_again(self, machines: list[str]) -> None:
        """Serve machines again."""
        for machine in machines:
            self.mode_by_machine.pop(machine, None)
        self._notify()

    def _put(self, table: str, key: str, raw: bytes) -> None:
        self.rows[(table, key)] = (raw, self.version)
        self.removed.pop((table, key), None)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, machine: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        self._open[machine][id(request)] = request
        try:
            await asyncio.sleep(0.004)
            turned_away = await self._turned_away(machine, request)
            if turned_away is not None:
                return turned_away
            self.on_call(machine, request.path, request.query)
            if request.path == "/api/rows-get":
                answer = self._get(request.query)
            elif request.path == "/api/rows-feed":
                name = (machine, request.query["table"])
                self.feeds[name] += 1
                try:
                    answer = await self._feed(machine, request)
                finally:
                    self.feeds[name] -= 1
            elif request.path == "/api/rows-tx":
                body = json.loads(await request.read())
                answer = self._transact(machine, body)
            else:
                return web.Response(status=404)
            # A connection on which an answer is lost delivers nothing more.
            return await self._turned_away(machine, request) or answer
        finally:
            del self._open[machine][id(request)]

    async def _turned_away(
        self, machine: str, request: web.BaseRequest
    ) -> web.Response | None:
        mode = self.mode_by_machine.get(machine)
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "reset":
            reset(request)
            return web.Response(status=503)
        return web.Response(status=503) if mode else None

    def _answer(self, body: dict, status: int = 200) -> web.Response:
        body |= {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        return web.json_response(body, status=status)

    def _row(self, name: tuple[str, str]) -> dict:
        raw, version = self.rows[name]
        return {
            "table": name[0],
            "part": "",
            "key": name[1],
            "value": base64.b64encode(raw).decode(),
            "ver": version,
        }

    def _get(self, query) -> web.Response:
        start, end = query.get("from", ""), query.get("to")
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[1] >= start
            and (not end or name[1] < end)
        )
        return self._answer(
            {"rows": [self._row(name) for name in names], "has_more": False}
        )

    async def _feed(
        self, machine: str, request: web.BaseRequest
    ) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        end_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            rows = [
                self._row(name)
                for name, (_, version) in self.rows.items()
                if name[0] == table and version > after
            ] + [
                {
                    "table": name[0],
                    "part": "",
                    "key": name[1],
                    "ver": version,
                    "tombstone": True,
                }
                for name, version in self.removed.items()
                if name[0] == table and version > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0 or machine in self.mode_by_machine:
                rows.sort(key=lambda row: row["ver"])
                return self._answer({"rows": rows})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, machine: str, body: dict) -> web.Response:
        current, holds = [], True
        for row in body.get("precondition", ()):
            name = (row["table"], row["key"])
            _, version = self.rows.get(name, (b"", 0))
            holds = holds and version == row["ver"]
            if version:
                current.append(self._row(name))
        if not holds:
            return self._answer({"rows": current}, 412)
        self.version += 1
        for row in body.get("writes", ()):
            self._put(
                row["table"], row["key"], base64.b64decode(row["value"])
            )
        for row in body.get("remove", ()):
            name = (row["table"], row["key"])
            if self.rows.pop(name, None):
                self.removed[name] = self.version
        self.on_written(machine, body)
        self._notify()
        return self._answer({})


class Link:
    """A TCP proxy between one machine and the store, which can be cut.

    While it is cut, no byte passes in either direction, and connections stay
    open, as behind a partition.
    """

    def __init__(self, port: int) -> None:
        self._store_port = port
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Let no more bytes pass."""
        self._is_open.clear()

    def heal(self) -> None:
        """Let bytes pass again; connections from before are reset."""
        for writer in self._writers:
            writer.transport.abort()
        self._is_open.set()

    async def close(self) -> None:
        """Close every connection."""
        self._is_open.set()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._is_open.wait()
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self._store_port
            )
            self._writers.add(up_writer)
            await asyncio.gather(
                self._pump(reader, up_writer), self._pump(up_reader, writer)
            )
            self._writers.discard(up_writer)
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self._is_open.wait()
            writer.close()


class Replica:
    """A replica: a model engine if it has models, else a plain service.

    ``runs`` lists the requests that it began to run.
    """

    REPORT_AGE_S = 0.1

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        models: tuple[str, ...] = (),
        adapter_slots: int = 5,
        work_s: float = 0.05,
        events: int = 4,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record = store, record
        self.models = {model: [] for model in models}
        self.adapter_slots = adapter_slots
        self.work_s, self.events = work_s, events
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.entry_sequence = 0
        self.orders: list[dict] = []
        self.runs: list[tuple[int, dict[str, str]]] = []
        self.running: dict[int, str] = {}
        self.busy = False
        self._reports: collections.deque = collections.deque()

    async def start(self) -> None:
        """Listen, and register in the store."""
        runner = web.ServerRunner(
            web.Server(
                self._handle, handler_cancellation=True, access_log=None
            ),
            shutdown_timeout=0.05,
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runner = runner
        self.port = site._server.sockets[0].getsockname()[1]
        self.write_entry()

    async def close(self) -> None:
        """Close every connection."""
        await self._runner.cleanup()

    def write_entry(self) -> None:
        """Write the entry in the store."""
        self.entry_sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64 if self.models else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.entry_sequence,
            "born": self.born,
        }
        if self.models:
            entry |= {
                "stage": "prefill_decode",
                "models": self._models(),
                "available": {
                    "in_memory": list(self.models),
                    "on_disk": list(self.models),
                },
            }
        self.store.put("servers", self.name, entry)

    def _models(self) -> list[dict]:
        return [
            {"name": name, "version": 1, "adapters": list(adapters)}
            for name, adapters in self.models.items()
        ]

    def _report(self) -> dict:
        return {
            "stage": "prefill_decode",
            "models": self._models(),
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": len(self.running),
            "kv_cache_used": 0,
            "kv_cache_total": 147895,
            "handles": 0,
            "born": self.born,
            "pending": [],
            "available": {
                "in_memory": list(self.models),
                "on_disk": list(self.models),
            },
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get("Expected-Instance", self.name)
        if expected != self.name:
            return web.Response(
                status=421, headers={"Instance-Id": self.name}
            )
        if request.path == "/api/report":
            return web.json_response(self._report())
        if request.path == "/api/order":
            return self._order(json.loads(await request.read()))
        if request.path == "/healthz":
            return web.Response(headers={"Instance-Id": self.name})
        return await self.run(request)

    def _order(self, order: dict) -> web.Response:
        status = self._carry_out(order)
        self.orders.append(order | {"at_ms": now_ms(), "status": status})
        self.record.note(
            "order",
            replica=self.name,
            holder=order.get("holder"),
            token=order.get("fencing_token"),
            operation=order.get("operation"),
            model=order.get("model"),
            adapter=order.get("adapter", ""),
            precondition=order.get("precondition"),
            status=status,
        )
        return web.Response(status=status)

    def _carry_out(self, order: dict) -> int:
        if "holder" not in order or "fencing_token" not in order:
            return 400
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        model, adapter = order["model"], order.get("adapter")
        adapters = self.models.get(model)
        is_load = order["operation"] == "loading"
        if not adapter:
            if is_load and adapters is not None:
                return 200
            if is_load:
                self.models[model] = []
            else:
                self.models.pop(model, None)
            self.sequence += 1
            return 202
        if adapters is None:
            return 421
        if is_load == (adapter in adapters):
            return 200
        self.sequence += 1
        if not is_load:
            adapters.remove(adapter)
            return 200
        if sum(map(len, self.models.values())) >= self.adapter_slots:
            self.record.note("overloaded", replica=self.name)
        adapters.append(adapter)
        return 202

    def answer_headers(self, request: web.BaseRequest) -> dict[str, str]:
        """Return the headers of a replica's own answer."""
        return {
            "Attempt-Id": request.headers.get("Attempt-Id", ""),
            "Response-Signature": SIGNATURE,
        }

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request of a client."""
        await request.read()
        model, _, adapter = request.headers.get("Model", "").partition("/")
        if self.models and (
            model not in self.models
            or (adapter and adapter not in self.models[model])
        ):
            return web.Response(
                status=421, headers={"Not-Executed": "1"}
            )
        attempt = request.headers.get("Attempt-Id", "")
        self.runs.append((now_ms(), dict(request.headers)))
        self.record.note("run", replica=self.name, attempt=attempt)
        self.running[id(request)] = request.headers.get("Model", "")
        try:
            if not self.models:
                await asyncio.sleep(self.work_s)
                return web.Response(
                    body=f"{self.name} {attempt}".encode(),
                    headers=self.answer_headers(request),
                )
            answer = web.StreamResponse(headers=self.answer_headers(request))
            answer.content_type = "text/event-stream"
            answer.enable_chunked_encoding()
            await answer.prepare(request)
            first = int(request.headers.get("Last-Event-Id") or 0) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.work_s)
                await answer.write(
                    f"id: {number}\ndata: piece {number}\n\n".encode()
                )
            await answer.write_eof()
            return answer
        finally:
            del self.running[id(request)]


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        network: str,
        zone: str,
        zones: list[str],
        folder: pathlib.Path,
        store_port: int,
        bounds: dict[str, object],
    ) -> None:
        self.name = f"frontend-{zone}-{number}"
        self.zone, self.folder = zone, folder
        self.host = f"{network}.{number}"
        self.port, self.readiness_port = 61_001, 61_002
        self.process: asyncio.subprocess.Process | None = None
        self.settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip_address": self.host,
            "zone": zone,
            "region": "luzon-south",
            "zones": {name: "luzon-south" for name in zones},
            "listen_addresses": {
                "frontend_address": f"{self.host}:{self.port}",
                "readiness": f"{self.host}:{self.readiness_port}",
                "control": f"{self.host}:61003",
            },
            "internal_port_range": [61_010, 61_025],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memory_mb": 300, "file_descriptors": 4100},
            "data_directory": None,
            "heartbeat_interval_ms": 1200,
            "bounds": bounds,
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
            },
        }

    async def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(self.settings))
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "deploy/cardamomd.py",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "CARDAMOMWAY_BOOT": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def end(self) -> None:
        """Kill the process."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Ask for readiness as the platform does."""
        try:
            async with session.get(
                f"http://{self.host}:{self.readiness_port}/api/readyz",
                timeout=aiohttp.ClientTimeout(1.0),
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


BOUNDS: dict[str, object] = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_bound_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_tolerance": 17000,
    "recovery_s": 12,
    "fencing_enforced": False,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
}


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{name}",
        "host": HOST_HEADER,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
    } | fields


def configuration(version: int = 7, **fields: object) -> dict:
    """Return a configuration with one engine service and one plain one."""
    return {
        "version": version,
        "routes": [
            route(
                "chat",
                "streaming",
                "engines",
                resumable=True,
                sticky=True,
                gap_target_ms=400,
            ),
            route("read", "idempotent", "plain"),
            route("write", "non_idempotent", "plain", max_attempts=1),
        ],
        "services": [
            {
                "name": "engines",
                "health_path": "/healthz",
                "connection_limit": 370,
                "engine": {
                    "slots": 64,
                    "kv_cache_tokens": 147895,
                    "weights_mb": 200000.0,
                    "adapter_slots": 5,
                    "loads_per_s": 1.4,
                    "models": [
                        {
                            "name": name,
                            "weights_mb": 34300.0,
                            "load_s": 4.0,
                            "disk_s": 0.8,
                            "warm_s": 0.42,
                            "adapters": 25,
                            "adapter_mb": 40.0,
                        }
                        for name in ("m1", "m2")
                    ],
                },
            },
            {
                "name": "plain",
                "health_path": "/healthz",
                "connection_limit": 110,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 33458,
                "burst": 33458,
            }
        ],
    } | fields


class Deployment:
    """A store, replicas and gateways; ends all of them in ``close``."""

    def __init__(self, case: pathlib.Path, zones: list[str]) -> None:
        self.record = Record(case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.zones = zones
        self.gateways: list[Gateway] = []
        self.replicas: list[Replica] = []
        self.links: dict[str, Link] = {}
        self.session: aiohttp.ClientSession
        self._attempts = itertools.count(1)
        self._run = random.getrandbits(24)

    async def start(self, configuration: dict, bounds: dict = {}) -> None:
        """Start the store, the replicas and the gateways, until ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        network = _free_network(len(self.zones))
        self.store.put("op", "config", configuration)
        for replica in self.replicas:
            await replica.start()
        for number, zone in enumerate(self.zones, 1):
            name = f"frontend-{zone}-{number}"
            await self.store.listen(name)
            link = Link(self.store.port_by_machine[name])
            await link.start()
            self.links[name] = link
            self.gateways.append(
                Gateway(
                    number,
                    network,
                    zone,
                    sorted(set(self.zones)),
                    self.folder,
                    link.port,
                    BOUNDS | bounds,
                )
            )
        await asyncio.gather(*(g.start() for g in self.gateways))
        async with asyncio.timeout(20):
            for gateway in self.gateways:
                while not await gateway.is_ready(self.session):
                    await asyncio.sleep(0.1)
        self.record.note("ready", gateways=len(self.gateways))

    async def close(self) -> None:
        """End every process, and close every port."""
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            await gateway.end()
        for replica in self.replicas:
            await replica.close()
        for link in self.links.values():
            await link.close()
        await self.store.close()
        await self.session.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    def attempt_id(self) -> str:
        """Return a new id of a client's attempt."""
        return f"{self._run:06x}{next(self._attempts):010x}"

    async def send(
        self,
        gateway: Gateway,
        path: str,
        method: str = "POST",
        body: bytes = b"x" * 200,
        deadline_ms: int = 4000,
        headers: dict[str, str] = {},
        key: str = KEY,
    ) -> tuple[str, int, bytes]:
        """Send a client's request; return its id, status and body.

        The status is 0 without a complete answer.
        """
        attempt = self.attempt_id()
        self.record.note(
            "sent", attempt=attempt, gateway=gateway.name, path=path
        )
        status, text, signed = 0, b"", False
        try:
            async with self.session.request(
                method,
                f"http://{gateway.host}:{gateway.port}{path}",
                data=body if method == "POST" else None,
                headers={
                    "Host": HOST_HEADER,
                    "Attempt-Id": attempt,
                    "Deadline-Ms": str(deadline_ms),
                    "X-Api-Key": key,
                }
                | headers,
                timeout=aiohttp.ClientTimeout(
                    total=deadline_ms / 1000, sock_connect=1.0
                ),
            ) as answer:
                text = await answer.read()
                status = answer.status
                signed = "Response-Signature" in answer.headers
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.record.note("failed", attempt=attempt, error=repr(error))
        self.record.note(
            "answered", attempt=attempt, status=status, signed=signed
        )
        return attempt, status, text


def _free_network(count: int) -> str:
    """Return the first three parts of loopback addresses with free ports."""
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(1, count + 1):
                for port in (61_001, 61_002, 61_003, 61_010, 61_011):
                    with socket.socket() as probe:
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((f"{network}.{number}", port))
            return network
        except OSError:
            continue
    raise OSError("no free addresses")


def main(case) -> None:
    """Run a case and exit with 1 if the rule was broken, 2 on an error."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes that the case has started are ended also in this case.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(has_trouble), 118))
    except Exception as error:  # the case couldn't run
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
