"""A whole deployment of processes on this machine, on free ports."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import typing

import aiohttp

from cardamom_config import folders
from cardamom_config import schema

OPERATOR_KEY = "operator-key-of-the-demo"
FLEET_SECRET = "fleet-secret-of-the-demo"
HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
POLL_S = 0.1
EXAMPLES = pathlib.Path("examples")

Json = dict[str, typing.Any]


@dataclasses.dataclass
class Proc:
    """One started process and its ports."""

    name: str
    url: str
    handle: subprocess.Popen[bytes]

    def kill(self) -> None:
        """Kill the process at once."""
        self.handle.kill()
        self.handle.wait()

    def terminate(self) -> None:
        """Ask the process for a planned stop."""
        self.handle.send_signal(signal.SIGTERM)

    @property
    def is_running(self) -> bool:
        """Tell whether the process still runs."""
        return self.handle.poll() is None


@dataclasses.dataclass
class InstanceProc(Proc):
    """An instance of cardamomd with its other ports."""

    peer_url: str = ""
    operator_url: str = ""
    data_centre: str = ""


class Deployment:
    """Stand-ins and instances of one example folder."""

    def __init__(
        self,
        example: str,
        folder: pathlib.Path,
        overlay: str = "",
    ) -> None:
        self.example = example
        self._overlay = overlay
        self.folder = folder
        self.standins: dict[str, Proc] = {}
        self.instances: dict[str, InstanceProc] = {}
        self.key_by_team: dict[str, str] = {}
        self.key_id_by_team: dict[str, str] = {}
        self._env = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self.configuration = _load(EXAMPLES / example)

    @property
    def config_folder(self) -> pathlib.Path:
        """Return the example's folder with the addresses of the stand-ins."""
        return self.folder / "config"

    def caller_urls(self) -> list[str]:
        """Return the caller addresses of the running instances."""
        return [i.url for i in self.instances.values() if i.is_running]

    def operator_urls(self) -> list[str]:
        """Return the operator addresses of the running instances."""
        return [
            i.operator_url for i in self.instances.values() if i.is_running
        ]

    async def start(
        self,
        instances: int,
        start_more: typing.Callable[[], typing.Awaitable[None]] | None = None,
    ) -> None:
        """Start everything, apply the configuration and create keys.

        ``start_more`` starts instances in a way of its own.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_platform()
        self._start_targets()
        await asyncio.gather(*[_until_open(p) for p in self.standins.values()])
        self._write_config()
        centres = sorted(
            {t.data_centre for t in self.configuration.targets.values()}
        )
        for number in range(instances):
            self.start_instance(number, centres[number % len(centres)])
        if start_more is not None:
            await start_more()
        await asyncio.gather(
            *[_until_open(p) for p in self.instances.values()]
        )
        await self._configure()

    def start_instance(
        self,
        number: int,
        centre: str,
        *more: str,
        ports: list[int] | None = None,
        peer_url: str = "",
    ) -> InstanceProc:
        """Start an instance of cardamomd with its flags and some more."""
        ports = ports or free_ports(3)
        name = f"entry-{number + 1}"
        seeds = [i.peer_url for i in list(self.instances.values())[:2]]
        seed_flags = [word for url in seeds for word in ("--peer", url)]
        command = [
            str(pathlib.Path(sys.executable).with_name("cardamomd")),
            *("--instance", name),
            *("--data-centre", centre),
            *("--operator-key", OPERATOR_KEY),
            *("--fleet-secret", FLEET_SECRET),
            *("--table-url", self.standins["table"].url),
            *("--list-url", self.standins["list"].url),
            *("--objects-url", self.standins["objects"].url),
            *("--caller-port", str(ports[0])),
            *("--peer-port", str(ports[1])),
            *("--operator-port", str(ports[2])),
            *seed_flags,
            *more,
        ]
        handle = self._spawn(name, command)
        proc = InstanceProc(
            name,
            _url(ports[0]),
            handle,
            peer_url or _url(ports[1]),
            _url(ports[2]),
            centre,
        )
        self.instances[name] = proc
        return proc

    async def set_faults(self, standin: str, **switches: object) -> None:
        """Set fault switches of a stand-in."""
        async with aiohttp.ClientSession() as session:
            url = self.standins[standin].url + "/faults"
            async with session.post(url, json=switches) as response:
                response.raise_for_status()

    async def ledger(self, target: str) -> Json:
        """Return what a target has counted."""
        kind = self.configuration.targets[target].kind
        name = "engine" if kind is schema.TargetKind.ENGINE else "service"
        url = f"{self.standins[target].url}/{name}/v1/ledger"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                parsed: Json = await response.json()
                return parsed

    def ctl(self, *words: str, operators: str = "") -> tuple[int, str, str]:
        """Run cardamomctl; returns its exit code, output and errors."""
        command = [
            str(pathlib.Path(sys.executable).with_name("cardamomctl")),
            *words,
        ]
        urls = operators or ",".join(self.operator_urls())
        env = {
            **self._env,
            "CARDAMOM_OPERATORS": urls,
            "CARDAMOM_OPERATOR_KEY": OPERATOR_KEY,
        }
        done = subprocess.run(command, env=env, capture_output=True)
        return done.returncode, done.stdout.decode(), done.stderr.decode()

    async def ctl_async(self, *words: str, operators: str = "") -> Json:
        """Run cardamomctl with --json beside other work."""
        code, out, err = await asyncio.to_thread(
            lambda: self.ctl(*words, "--json", operators=operators)
        )
        body: Json = json.loads(out) if out.strip() else {}
        return {"exit": code, "error": err.strip(), **body}

    async def operator_get(self, instance: InstanceProc, path: str) -> Json:
        """Read an operator path of an instance."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        timeout = aiohttp.ClientTimeout(total=5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = instance.operator_url + path
            async with session.get(url, headers=headers) as response:
                parsed: Json = await response.json()
                return parsed

    async def until_ready(self) -> None:
        """Wait until every instance is ready and its shares are complete."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._all_ready():
                await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """End every process."""
        running = [*self.instances.values(), *self.standins.values()]
        for proc in running:
            if proc.is_running:
                proc.handle.kill()
        for proc in running:
            await asyncio.to_thread(proc.handle.wait)

    def write_endpoints(self, path: pathlib.Path) -> None:
        """Write where callers and operators find the deployment."""
        body = {
            "callers": self.caller_urls(),
            "operators": self.operator_urls(),
            "operator_key": OPERATOR_KEY,
            "keys": self.key_by_team,
            "models": sorted(self.configuration.models),
            "routes": sorted(
                route.path for route in self.configuration.routes.values()
            ),
        }
        path.write_text(json.dumps(body, indent=2) + "\n")

    async def _all_ready(self) -> bool:
        total = {team: 0 for team in self.configuration.teams}
        for instance in self.instances.values():
            try:
                status = await self.operator_get(instance, "/v1/status")
            except (aiohttp.ClientError, OSError):
                return False
            if not status["ready"] or status["seat"] is None:
                return False
            for team, units in status["shares"]["units"].items():
                total[team] = total.get(team, 0) + units
        return all(units == 1_000_000 for units in total.values())

    async def _configure(self) -> None:
        applied = await self._apply_until_taken()
        if applied["exit"] != 0:
            raise RuntimeError(f"apply failed: {applied}")
        await self.until_ready()
        for team in self.configuration.teams:
            created = await self.ctl_async("key", "create", team)
            self.key_by_team[team] = created["key"]
            self.key_id_by_team[team] = created["id"]

    async def _apply_until_taken(self) -> Json:
        applied: Json = {}
        for _ in range(20):
            applied = await self.ctl_async("apply", str(self.config_folder))
            if applied["exit"] == 0:
                break
            await asyncio.sleep(0.5)
        return applied

    def _start_platform(self) -> None:
        store = self.configuration.weight_store
        rates = (
            *("--loads-per-s", str(store.loads_per_s)),
            *("--concurrent-loads", str(store.concurrent_loads)),
        )
        self._standin("table", "table")
        self._standin("list", "list")
        self._standin("objects", "objects")
        self._standin("weights", "weights", *rates)

    def _start_targets(self) -> None:
        weights = self.standins["weights"].url
        for name, target in self.configuration.targets.items():
            if target.kind is schema.TargetKind.SERVICE:
                self._standin(name, "service", "--name", name)
                continue
            fencing = (
                "--checks-fencing"
                if target.checks_fencing
                else "--no-checks-fencing"
            )
            self._standin(
                name,
                "engine",
                *("--name", name),
                *("--memory-mb", str(target.memory_mb)),
                *("--weights-url", weights),
                fencing,
            )

    def _standin(self, name: str, kind: str, *flags: str) -> None:
        port = free_ports(1)[0]
        words = ["-m", "cardamom_standins", kind, "--port", str(port)]
        handle = self._spawn(name, [sys.executable, *words, *flags])
        self.standins[name] = Proc(name, _url(port), handle)

    def _spawn(
        self,
        name: str,
        command: list[str],
    ) -> subprocess.Popen[bytes]:
        with open(self.folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                command,
                env=self._env,
                stdout=log,
                stderr=log,
            )

    def _write_config(self) -> None:
        self.config_folder.mkdir(exist_ok=True)
        for file in (EXAMPLES / self.example).iterdir():
            (self.config_folder / file.name).write_text(file.read_text())
        lines = ["targets:"]
        for name in self.configuration.targets:
            lines += [f"  {name}:", f"    url: {self.standins[name].url}"]
        if self._overlay:
            (self.config_folder / "90-overlay.yaml").write_text(self._overlay)
        overlay = self.config_folder / "99-addresses.yaml"
        overlay.write_text("\n".join(lines) + "\n")


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]


def _url(port: int) -> str:
    return f"http://{HOST}:{port}"


def _load(folder: pathlib.Path) -> schema.Configuration:
    loaded = folders.load_folder(folder)
    if loaded.configuration is None:
        raise SystemExit("\n".join(str(p) for p in loaded.problems))
    return loaded.configuration


async def _until_open(proc: Proc) -> None:
    port = int(proc.url.rpartition(":")[2])
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(HOST, port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(POLL_S)
