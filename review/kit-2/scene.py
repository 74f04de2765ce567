"""Gateway processes, replicas and clients for the scripts of this review.

The store and the replicas are the project's own stand-ins; a replica is
reached through a link, which can be silenced as if its machine were gone.
The gateways run with the command of the deploy file.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import aiohttp  # noqa: E402
import yaml  # noqa: E402

from tests.wire import cuts  # noqa: E402
from tests.wire import standins  # noqa: E402

HEARTBEAT_S = 1.2
# An entry is removed after three intervals without a heartbeat.
EXPIRY_S = 3 * HEARTBEAT_S
LIMIT_S = 115
KEY = standins.KEY
START = time.monotonic()
# The bounds of sisidro-clubs and sueno-andino.
BOUNDS: dict[str, object] = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_period_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_tolerance": 17000,
    "fencing_enforced": False,
    "lease_ms": 3000,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
}


def now_ms() -> int:
    """Return the time since the start of the script in ms."""
    return int((time.monotonic() - START) * 1000)


class Record:
    """Writes record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)

    def note(self, event: str, **fields: object) -> None:
        """Write one line with the time in ms."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_ms():7d} {event} {text}\n")


class Replica(standins.ReplicaStandIn):
    """A replica behind a link, with heartbeats to the store.

    ``reports_to_store`` is whether its heartbeats reach the store.
    """

    def __init__(
        self, name: str, service: str, zone: str, store: standins.StoreStandIn
    ) -> None:
        super().__init__(name, service)
        self.zone = zone
        self.born_ms = int(time.time() * 1000)
        self.link = cuts.Link(standins.HOST, 0)
        self.reports_to_store = True
        self._store = store
        self._reported_s = 0.0

    async def open(self) -> None:
        """Listen, and write the first entry."""
        await self.start()
        self.link = cuts.Link(standins.HOST, self.port)
        await self.link.start()
        self.report()

    async def shut(self) -> None:
        """Close every connection."""
        await self.link.stop()
        await self.stop()

    def entry(self) -> dict[str, typing.Any]:
        """Return its next entry, with the address of the link."""
        return super().entry() | {"address": self.link.address}

    def report(self, entry: dict[str, typing.Any] | None = None) -> None:
        """Write its next entry, or an earlier one, to the store."""
        self._reported_s = time.monotonic()
        self._store.put("servers", self.name, entry or self.entry())

    async def heartbeat(self) -> None:
        """Report periodically; the store removes an entry without reports."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.reports_to_store:
                self.report()
            elif time.monotonic() - self._reported_s > EXPIRY_S and (
                ("servers", self.name) in self._store.row_by_name
            ):
                self._store.remove("servers", self.name)

    async def go_dark(self, down_s: float) -> None:
        """Fall silent, as a machine without power, and start anew later."""
        self.reports_to_store = False
        await self.link.cut(cuts.Cut.HANG)
        await asyncio.sleep(down_s)
        await self._start_anew()
        self.link.abort_connections()
        await self.link.restore()
        self.reports_to_store = True
        self.report()

    async def crash_with_reset(self, down_s: float) -> None:
        """Reset every connection, refuse new ones, and start anew later."""
        self.reports_to_store = False
        await self.link.cut(cuts.Cut.RESET)
        await asyncio.sleep(down_s)
        await self._start_anew()
        await self.link.restore()
        self.reports_to_store = True
        self.report()

    async def _start_anew(self) -> None:
        self.born_ms = int(time.time() * 1000)
        if self.is_up:
            await self.stop()
        await self.start()


class Gateway:
    """One gateway process, with a port of its own at the store."""

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        zones: typing.Sequence[str],
        store_address: str,
        folder: pathlib.Path,
    ) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.callers = f"{host}:61001"
        self.readiness = f"{host}:61002"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self._path = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._settings = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip_address": host,
            "zone": zone,
            "region": "luzon-south",
            "zones": {other: "luzon-south" for other in zones},
            "listen_addresses": {
                "frontend_address": self.callers,
                "readiness": self.readiness,
                "control": f"{host}:61003",
            },
            "internal_port_range": [61010, 61025],
            "seeds": [],
            "limits": {"memory_mb": 300, "file_descriptors": 4100},
            "data_directory": None,
            "heartbeat_interval_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "table"},
        }

    async def start(self) -> None:
        """Write the settings file and start the process."""
        self._settings["bootstrap"] = not self.starts
        self.starts += 1
        self._path.write_text(yaml.safe_dump(self._settings))
        with self._log.open("ab") as log:
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
                    "CARDAMOMWAY_BOOT": str(self._path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Scene:
    """A small deployment; ends all that it has started in ``close``."""

    def __init__(self, script: str) -> None:
        folder = pathlib.Path(script).resolve().parent
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = standins.StoreStandIn()
        self.store.era = None
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.status_by_attempt: dict[str, int] = {}
        self.gateway_by_attempt: dict[str, Gateway] = {}
        self.sent_ms_by_attempt: dict[str, int] = {}
        self._attempts = itertools.count()
        self._run = random.getrandbits(32)
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def run(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Run a coroutine in the background until ``close``."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_plain_replicas(
        self,
        count: int,
        zones: typing.Sequence[str],
        behaviour: standins.Behaviour,
    ) -> None:
        """Add replicas of the plain service, which ``start`` starts."""
        for number in range(count):
            replica = Replica(
                f"i-{number}", "plain", zones[number % len(zones)], self.store
            )
            replica.behaviour = behaviour
            self.replicas.append(replica)

    async def start(
        self,
        configuration: dict[str, typing.Any],
        zones: typing.Sequence[str],
    ) -> None:
        """Start the store, the replicas and a gateway for each zone given."""
        await self.store.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        self.store.put("op", "config", configuration)
        for replica in self.replicas:
            await replica.open()
            self.run(replica.heartbeat())
        network = _free_network(len(zones))
        names = sorted(set(zones))
        for number, zone in enumerate(zones, 1):
            name = f"frontend-{zone}-{number}"
            gateway = Gateway(
                name,
                f"{network}.{number}",
                zone,
                names,
                self.store.address,
                self.folder,
            )
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await self.wait_ready(gateway)
        self.record.note("ready", gateways=len(self.gateways))

    async def wait_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway says that it is ready."""
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with self.session.get(
                        f"http://{gateway.readiness}/api/readyz"
                    ) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.1)

    async def send(
        self,
        gateway: Gateway,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 4000,
        **headers: str,
    ) -> int:
        """Send a client's request; return its status, 0 without an answer.

        ``_`` in the name of a header stands for ``-``.
        """
        attempt = f"{self._run:08x}{next(self._attempts):08x}"
        self.gateway_by_attempt[attempt] = gateway
        self.sent_ms_by_attempt[attempt] = now_ms()
        self.record.note("sent", attempt=attempt, to=gateway.name, path=path)
        status = 0
        try:
            async with self.session.request(
                "POST" if body else "GET",
                f"http://{gateway.callers}{path}",
                data=body or None,
                headers={
                    "Host": "ficu95.example",
                    "Attempt-Id": attempt,
                    "X-Api-Key": KEY,
                    "Deadline-Ms": str(deadline_ms),
                }
                | {k.replace("_", "-"): v for k, v in headers.items()},
                timeout=aiohttp.ClientTimeout(
                    total=deadline_ms / 1000, sock_connect=1.0
                ),
            ) as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.record.note("failed", attempt=attempt, error=repr(error))
        self.status_by_attempt[attempt] = status
        self.record.note("answered", attempt=attempt, status=status)
        return status

    async def keep_writing(self, period_s: float) -> None:
        """Send writes to all machines in turn."""
        for gateway in itertools.cycle(self.gateways):
            self.run(self.send(gateway, "/write/2f", b"order"))
            await asyncio.sleep(period_s)

    async def close(self) -> None:
        """End every process and close every port."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.kill()
        for replica in self.replicas:
            with contextlib.suppress(Exception):
                await replica.shut()
        await self.session.close()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration() -> dict[str, typing.Any]:
    """Return a configuration whose team has no limit."""
    fields = standins.configuration()
    fields["tenants"][0]["rate_per_s"] = 0
    return fields


def _free_network(count: int) -> str:
    """Return the start of loopback addresses on which the ports are free."""
    for _ in range(100):
        network = f"127.{random.randint(30, 240)}.{random.randint(1, 250)}"
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for number, port in itertools.product(
                range(1, count + 1), (61001, 61002, 61003, 61010, 61011)
            ):
                probe = stack.enter_context(socket.socket())
                probe.bind((f"{network}.{number}", port))
            return network
    raise OSError("no free addresses")


def main(
    case: typing.Callable[
        [bool], typing.Coroutine[typing.Any, typing.Any, bool]
    ],
) -> None:
    """Run a case; exit with 1 if the rule was broken, 2 if it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(has_trouble), LIMIT_S))
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("broken" if is_broken else "held")
    sys.exit(1 if is_broken else 0)
