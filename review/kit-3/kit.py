"""Stand-ins for the platform, its store, replicas and clients.

Only the standard library is used.  Everything listens on loopback addresses
and on ports that are free when it starts.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
FRONT_HOST = "club.example"
KEY = "k3y0fthef1rsttenant0"
TENANT = "hule930"
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_S = time.monotonic()


def has_trouble() -> bool:
    """Return whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, case: str) -> None:
        path = ROOT / "review" / case / "record.txt"
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - START_S:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()


def free_port(host: str = HOST) -> int:
    with socket.socket() as bound:
        bound.bind((host, 0))
        return int(bound.getsockname()[1])


# HTTP, as far as the stand-ins need it.


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        return dict(
            urllib.parse.parse_qsl(
                self.target.partition("?")[2], keep_blank_values=True
            )
        )


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the fields of a message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(
    first: str, fields: typing.Mapping[str, typing.Any], body: bytes = b""
) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """An HTTP server; ``answer`` returns the bytes of an answer or None.

    With None the connection is closed; ``answer`` may also write by itself.
    """

    def __init__(self, host: str = HOST) -> None:
        self.host = host
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                first, fields = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, fields)
                request = Request(method, target, fields, body)
                answer = await self.answer(request, reader, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        raise NotImplementedError


Name = tuple[str, str]


class Store(Server):
    """The platform's store: rows, transactions and feeds."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.rows: dict[Name, tuple[bytes, int]] = {}
        self.removed: dict[Name, int] = {}
        self.era = 1
        self.is_away = False
        self._changed = asyncio.Event()
        # Copies of all rows with the time at which each was made.
        self._copies: list[
            tuple[float, int, dict[Name, tuple[bytes, int]], dict[Name, int]]
        ] = []

    def _keep_copy(self) -> None:
        self._copies.append(
            (
                time.monotonic(),
                self.version,
                dict(self.rows),
                dict(self.removed),
            )
        )

    def go_away(self) -> None:
        """Answer nothing and accept no calls until the return."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def return_from_copy(self, copied_s: float) -> None:
        """Come back from the copy of a time.

        What the operator and the replicas have written since is written
        again.
        """
        latest = self.rows
        _, self.version, rows, removed = [
            copy for copy in self._copies if copy[0] <= copied_s
        ][-1]
        self.rows, self.removed = dict(rows), dict(removed)
        self.era += 1
        self.is_away = False
        for (table, key), (raw, _) in latest.items():
            if table in ("op", "servers"):
                self.put(table, key, raw)

    def put(self, table: str, key: str, value: typing.Any) -> None:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        if (table, key) in self.rows and _is_same_entry(
            self.rows[(table, key)][0], raw
        ):
            return
        self.version += 1
        self.rows[(table, key)] = (raw, self.version)
        self.removed.pop((table, key), None)
        self._keep_copy()
        self._notify()

    def remove(self, table: str, key: str) -> None:
        if (table, key) in self.rows:
            self.version += 1
            del self.rows[(table, key)]
            self.removed[(table, key)] = self.version
            self._keep_copy()
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_away:
            return None
        if request.path == "/api/rows-get":
            return self._get(request.query)
        if request.path == "/api/rows-feed":
            return await self._feed(request.query)
        if request.path == "/api/rows-tx":
            return self._transact(json.loads(request.body))
        return message("HTTP/1.1 404 Not Found", {})

    def _row(self, name: Name) -> dict[str, typing.Any]:
        raw, version = self.rows[name]
        return {
            "table": name[0],
            "part": "",
            "key": name[1],
            "value": base64.b64encode(raw).decode(),
            "ver": version,
        }

    def _get(self, query: dict[str, str]) -> bytes:
        start, end = query.get("from", ""), query.get("to")
        rows = [
            self._row(name)
            for name in sorted(self.rows)
            if name[0] == query["table"]
            and name[1] >= start
            and (end is None or name[1] < end)
        ]
        return self._json({"rows": rows, "has_more": False})

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.version:
                return message("HTTP/1.1 410 Gone", self._own_fields())
            rows = [
                self._row(name)
                for name, (_, version) in self.rows.items()
                if name[0] == table and version > after
            ] + [
                {"table": table, "part": "", "key": name[1], "ver": version}
                | {"tombstone": True}
                for name, version in self.removed.items()
                if name[0] == table and version > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return self._json({"rows": rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body: dict[str, typing.Any]) -> bytes:
        names = [(r["table"], r["key"]) for r in body.get("precondition", [])]
        if any(
            self.rows.get((r["table"], r["key"]), (b"", 0))[1] != r["ver"]
            for r in body.get("precondition", [])
        ):
            current = [self._row(name) for name in names if name in self.rows]
            return self._json({"rows": current}, "412 Precondition Failed")
        for row in body.get("writes", []):
            raw = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], raw)
        for row in body.get("remove", []):
            self.remove(row["table"], row["key"])
        return self._json({})

    def _json(
        self, fields: dict[str, typing.Any], status: str = "200 OK"
    ) -> bytes:
        now_ms = int(time.monotonic() * 1000)
        body = json.dumps(fields | {"ver": self.version, "now_ms": now_ms})
        return message(
            f"HTTP/1.1 {status}",
            self._own_fields() | {"Content-Type": "application/json"},
            body.encode(),
        )

    def _own_fields(self) -> dict[str, typing.Any]:
        return {"Store-Era": self.era}


def _is_same_entry(known: bytes, raw: bytes) -> bool:
    """Return whether two entries differ in ``sequence`` at most."""
    if b'"sequence"' not in raw:
        return False
    return json.loads(known) | {"sequence": 0} == json.loads(raw) | {
        "sequence": 0
    }


class Replica(Server):
    """A sound replica of a plain service, which registers itself.

    ``work_s`` and ``answer_body`` are what it does for each request, ``runs``
    which requests it has run.
    """

    def __init__(self, store: Store, record: Record, name: str) -> None:
        super().__init__()
        self.name = name
        self.service = "talaan"
        self.version = "v1"
        self.is_up = False
        self.zone = "lz-a"
        self.work_s = 0.06
        self.answer_body = b"done"
        self.large_body = b""  # of the answers to lookups
        self.slots = 6
        self.running = 0
        self.queue = 24
        self.runs: list[str] = []
        self._store = store
        self._record = record
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._slots: asyncio.Semaphore | None = None

    async def start(self) -> None:
        self._slots = asyncio.Semaphore(self.slots)
        self.running = 0
        await super().start()
        self.is_up = True
        self.register()

    def entry(self) -> dict[str, typing.Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    def register(self) -> None:
        """Write the entry to the store, unless the replica is down."""
        if self.is_up:
            self._sequence += 1
            self._store.put("servers", self.name, self.entry())

    async def crash(self) -> None:
        """Reset every connection and accept no others."""
        self._record(f"{self.name} ({self.version}) crashes")
        self.is_up = False
        self._server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def start_again(self, version: str) -> None:
        """Start at the same address and under the same id."""
        self.version = version
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        await self.start()
        self._record(f"{self.name} starts again as {self.version}")

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        attempt = request.headers.get("attempt-id", "")
        own = {"Attempt-Id": attempt}
        if request.headers.get("expected-instance", self.name) != self.name:
            return message(
                "HTTP/1.1 421 Misdirected Request", own | {"Not-Executed": 1}
            )
        if self.running >= self.slots + self.queue:
            return message(
                "HTTP/1.1 503 Service Unavailable", own | {"Not-Executed": 1}
            )
        assert self._slots is not None
        self.running += 1
        try:
            async with self._slots:
                self.runs.append(attempt)
                self._record(f"{self.name} runs {attempt}")
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self._record(f"{self.name} has run {attempt}, answers 200")
        return message(
            "HTTP/1.1 200 OK",
            own
            | {
                "Response-Signature": f"sig.{self.name}.{attempt}",
                "Content-Type": "application/octet-stream",
            },
            self.large_body
            if self.large_body and request.path.startswith("/lookup/")
            else self.answer_body,
        )


ENGINE_SERVICE = "sagot"
MODEL = "m0"
ADAPTERS = 25
ADAPTER_SLOTS = 5


class Engine(Replica):
    """A sound model replica, which answers with streams of events.

    Each event says which software version has written it.
    """

    def __init__(self, store: Store, record: Record, name: str) -> None:
        super().__init__(store, record, name)
        self.service = ENGINE_SERVICE
        self.slots = 64
        self.events = 14
        self.gap_s = 0.1
        self.sequence = 0
        self.adapters: list[str] = []
        # Time, holder, fencing token and answer of each order.
        self.orders: list[tuple[float, str, int, int]] = []
        self._in_use: collections.Counter[str] = collections.Counter()

    def entry(self) -> dict[str, typing.Any]:
        return super().entry() | {"models": self._models()}

    def _models(self) -> list[dict[str, typing.Any]]:
        adapters = list(self.adapters)
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def _order(self, order: dict[str, typing.Any]) -> int:
        """Carry out an order; return the status of its answer."""
        adapter = order.get("adapter", "")
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        if not adapter:
            return 200 if order["operation"] == "loading" else 409
        is_load = order["operation"] == "loading"
        if is_load is (adapter in self.adapters):
            return 200
        if not is_load and self._in_use[adapter]:
            return 409
        self.sequence += 1
        if is_load:
            self.adapters.append(adapter)
            return 202
        self.adapters.remove(adapter)
        return 200

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        if request.headers.get("expected-instance", self.name) != self.name:
            return await super().answer(request, reader, writer)
        if request.path == "/api/report":
            report = {
                "stage": "prefill_decode",
                "models": self._models(),
                "busy": False,
                "sequence": self.sequence,
                "waiting": 0,
                "running": self.running,
                "born": self._born_ms,
            }
            return message(
                "HTTP/1.1 200 OK",
                {"Content-Type": "application/json"},
                json.dumps(report).encode(),
            )
        if request.path == "/api/order":
            order = json.loads(request.body)
            status = self._order(order)
            self.orders.append(
                (
                    time.monotonic(),
                    order["holder"],
                    order["fencing_token"],
                    status,
                )
            )
            self._record(
                f"{self.name} gets an order: {order['operation']} "
                f"{order['model']}/{order.get('adapter', '')} by "
                f"{order['holder']}, fencing token "
                f"{order['fencing_token']}: {status}"
            )
            return message(f"HTTP/1.1 {status} Answered", {})
        attempt = request.headers.get("attempt-id", "")
        done = int(request.headers.get("last-event-id") or 0)
        adapter = request.headers.get("model", "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            return message(
                "HTTP/1.1 421 Misdirected Request",
                {"Attempt-Id": attempt, "Not-Executed": 1},
            )
        self._record(
            f"{self.name} ({self.version}) runs {attempt} after event {done}"
        )
        head = message(
            "HTTP/1.1 200 OK",
            {
                "Attempt-Id": attempt,
                "Response-Signature": f"sig.{self.name}.{attempt}",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        ).replace(b"Content-Length: 0\r\n", b"")
        writer.write(head)
        self.running += 1
        self._in_use[adapter] += 1
        try:
            for number in range(done + 1, self.events + 1):
                event = f"id: {number}\ndata: {self.version} {attempt}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(self.gap_s)
        finally:
            self.running -= 1
            self._in_use[adapter] -= 1
        return b"0\r\n\r\n"


def engine_service() -> dict[str, typing.Any]:
    return {
        "name": ENGINE_SERVICE,
        "connection_limit": 370,
        "engine": {
            "slots": 64,
            "kv_cache_tokens": 147_895,
            "weights_mb": 200_000.0,
            "adapter_slots": ADAPTER_SLOTS,
            "loads_per_s": 1.4,
            "models": [
                {
                    "name": MODEL,
                    "weights_mb": 34_300.0,
                    "load_s": 4.0,
                    "adapters": ADAPTERS,
                    "adapter_mb": 40.0,
                }
            ],
        },
    }


def route(name: str, kind: str, **others: typing.Any) -> dict[str, typing.Any]:
    return {
        "name": name,
        "host": FRONT_HOST,
        "prefix": f"/{name}/",
        "service": "talaan",
        "kind": kind,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "timeout_ms": 15_000,
        "target_latency_ms": 600,
        "priority": 1,
        "anonymous": False,
    } | others


def configuration(**others: typing.Any) -> dict[str, typing.Any]:
    return {
        "version": 3,
        "routes": [
            route("lookup", "idempotent"),
            route("enroll", "non_idempotent"),
        ],
        "services": [{"name": "talaan", "connection_limit": 110}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 60_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    } | others


BOUNDS = {
    "drain_ms": 2000,
    "contact_ms": 3000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_tolerance": 17000,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
}
GRACE_S = 8
MEMORY_MB = 300


class Instance:
    """One machine of the system, which the platform starts and stops."""

    def __init__(
        self,
        number: int,
        store: Store,
        record: Record,
        folder: pathlib.Path,
        zone: str = "lz-a",
    ) -> None:
        self.name = f"frontend-{zone}-{number}"
        self.host = f"127.0.{1 + os.getpid() % 250}.{10 + number}"
        self.zone = zone
        self.record = record
        self.callers = free_port(self.host)
        self.readiness = free_port(self.host)
        self.peers = 7600
        self._path = folder / f"{self.name}.yaml"
        self._log_path = folder / f"{self.name}.log"
        self._store = store
        self.process: asyncio.subprocess.Process | None = None
        self.exceeded_memory = False

    def settings(self) -> dict[str, typing.Any]:
        return {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip_address": self.host,
            "zone": self.zone,
            "region": "luzon-south",
            "zones": {"lz-a": "luzon-south", "lz-b": "luzon-south"},
            "listen_addresses": {
                "frontend_address": f"{self.host}:{self.callers}",
                "readiness": f"{self.host}:{self.readiness}",
            },
            "internal_port_range": [self.peers, self.peers + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memory_mb": MEMORY_MB, "file_descriptors": 4100},
            "data_directory": None,
            "heartbeat_interval_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self._store.address, "form": "table"},
        }

    async def start(self) -> None:
        self._path.write_text(json.dumps(self.settings()))
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "deploy/cardamomd.py",
                cwd=ROOT,
                env=variables
                | {
                    "CARDAMOMWAY_BOOT": str(self._path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"{self.name} starts, process {self.process.pid}")

    async def is_ready(self) -> bool:
        try:
            status, _, _ = await call(
                (self.host, self.readiness), "GET", "/api/readyz", {}
            )
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end_s or self.has_ended:
                raise CouldNotRun(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)

    @property
    def has_ended(self) -> bool:
        return self.process is None or self.process.returncode is not None

    def send(self, signum: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"{signal.Signals(signum).name} to {self.name}")
            self.process.send_signal(signum)

    def resident_mb(self) -> float:
        """Return the memory of the process in MiB, 0 once it has ended."""
        assert self.process is not None
        try:
            path = f"/proc/{self.process.pid}/statm"
            pages = int(pathlib.Path(path).read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    async def limit_memory(self) -> None:
        """Kill the process if it exceeds its memory, as the platform does.

        Returns once it has ended.
        """
        most_mb, next_note_mb = 0.0, 50.0
        while not self.has_ended:
            resident_mb = self.resident_mb()
            most_mb = max(most_mb, resident_mb)
            if most_mb >= next_note_mb:
                self.record(f"{self.name} has {most_mb:.0f} MiB")
                next_note_mb = most_mb + 50.0
            if resident_mb > MEMORY_MB:
                self.record(f"{self.name} exceeds memory_mb, {MEMORY_MB}")
                self.exceeded_memory = True
                self.send(signal.SIGKILL)
                assert self.process is not None
                await self.process.wait()
            await asyncio.sleep(0.02)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class CouldNotRun(Exception):
    """Raised if a case can't be judged."""


class ConnectionEnded(Exception):
    """Raised if a connection ends before the answer does."""


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: dict[str, typing.Any],
    body: bytes = b"",
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; return status, fields and body.

    Raises OSError and IncompleteReadError.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(
            message(
                f"{method} {target} HTTP/1.1",
                {"Host": FRONT_HOST, "Connection": "close"} | fields,
                body,
            )
        )
        head = await read_head(reader)
        if head is None:
            raise asyncio.IncompleteReadError(b"", None)
        first, answered = head
        return (
            int(first.split(" ")[1]),
            answered,
            await read_body(reader, answered),
        )
    finally:
        writer.close()


class KeptCaller:
    """A caller that sends one small request after the other.

    It keeps its connection.  ``lost`` are the requests that it had sent whole
    on the kept connection when that ended without any answer.
    """

    def __init__(self, instance: Instance, name: str) -> None:
        self._instance = instance
        self._name = name
        self.lost: list[str] = []

    async def run(self) -> None:
        """Send requests until the connection ends."""
        reader, writer = await asyncio.open_connection(
            self._instance.host, self._instance.callers
        )
        number = 0
        attempt = ""
        try:
            while True:
                attempt = f"{self._name}-{number}"
                writer.write(
                    message(
                        "POST /enroll/5a HTTP/1.1",
                        {
                            "Host": FRONT_HOST,
                            "Attempt-Id": attempt,
                            "Deadline-Ms": 4000,
                            "X-Api-Key": KEY,
                        },
                        b"a form",
                    )
                )
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    break
                await read_body(reader, head[1])
                number += 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
        if number:
            self._instance.record(
                f"caller of {attempt}: the kept connection to "
                f"{self._instance.name} ends without an answer"
            )
            self.lost.append(attempt)


def lost_at_replicas(
    deployment: "Deployment", callers: list[KeptCaller]
) -> list[str]:
    """Return the lost requests that had been passed on to a replica."""
    runs = {run for replica in deployment.replicas for run in replica.runs}
    return [a for caller in callers for a in caller.lost if a in runs]


class Deployment:
    """A store, replicas and instances, all ended at the end of the case."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.replicas: list[Replica] = []
        self.instances: list[Instance] = []
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(
        self,
        instances: int,
        replicas: int,
        configured: dict[str, typing.Any] | None = None,
        kind: type[Replica] = Replica,
        zones: int = 1,
    ) -> None:
        if not (ROOT / "target" / "deps" / "cardamom_gateway").is_dir():
            raise CouldNotRun("target/deps is missing: run deploy/build")
        await self.store.start()
        self.store.put("op", "config", configured or configuration())
        for number in range(replicas):
            replica = kind(self.store, self.record, f"i-{number:08x}")
            self.replicas.append(replica)
            await replica.start()
        self._heartbeats = asyncio.create_task(self._beat())
        for number in range(instances):
            zone = ("lz-a", "lz-b")[number % zones]
            instance = Instance(
                number, self.store, self.record, self.folder, zone
            )
            self.instances.append(instance)
            await instance.start()
        for instance in self.instances:
            await instance.wait_until_ready()
        self.record("all instances are ready")

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                replica.register()

    async def end(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for instance in self.instances:
            await instance.end()


Case = typing.Callable[[Deployment, Record], typing.Awaitable[bool]]


def run(case: str, judge: Case, timeout_s: float = 110.0) -> int:
    """Run a case; return its exit status.

    ``judge`` returns whether the rule held.
    """
    record = Record(case)
    record(f"TROUBLE={int(has_trouble())}")

    async def play() -> int:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(record, pathlib.Path(folder))
            try:
                async with asyncio.timeout(timeout_s):
                    has_held = await judge(deployment, record)
            except (CouldNotRun, TimeoutError, OSError) as error:
                record(f"could not run: {error!r}")
                return NOT_RUN
            finally:
                await deployment.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in pathlib.Path(folder).glob("*.log"):
                        (pathlib.Path(keep) / path.name).write_bytes(
                            path.read_bytes()
                        )
            record("the rule held" if has_held else "the rule was broken")
            return HELD if has_held else BROKEN

    status = asyncio.run(play())
    print(f"{case}: {('held', 'broken', 'could not run')[status]}")
    return status


def main(case: str, judge: Case) -> None:
    sys.exit(run(case, judge))
