"""Runs a deployment as processes on this machine, on free ports."""

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
POLL_INTERVAL_S = 0.1
EXAMPLES = pathlib.Path("examples")

Json = dict[str, typing.Any]


@dataclasses.dataclass
class ServerProcess:
    """A started process and the URL it listens on."""

    name: str
    url: str
    popen: subprocess.Popen[bytes]

    def kill(self) -> None:
        """Kill the process at once."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Ask the process to shut down gracefully."""
        self.popen.send_signal(signal.SIGTERM)

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.popen.poll() is None


@dataclasses.dataclass
class InstanceProcess(ServerProcess):
    """A process of cardamomd with its peer and operator URLs."""

    peer_url: str = ""
    operator_url: str = ""
    data_centre: str = ""


class Deployment:
    """The stand-ins and instances for one example configuration.

    The folder receives the logs and the configuration that is applied.
    ``overlay`` is YAML text that is merged over the example's files.
    """

    def __init__(
        self,
        example: str,
        folder: pathlib.Path,
        overlay: str = "",
    ) -> None:
        self.example = example
        self._overlay = overlay
        self.folder = folder
        self.standins: dict[str, ServerProcess] = {}
        self.instances: dict[str, InstanceProcess] = {}
        self.key_by_team: dict[str, str] = {}
        self.key_id_by_team: dict[str, str] = {}
        self._env = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self.configuration = _load(EXAMPLES / example)

    @property
    def config_folder(self) -> pathlib.Path:
        """Return the folder of the configuration that is applied."""
        return self.folder / "config"

    def caller_urls(self) -> list[str]:
        """Return the URLs for callers of the running instances."""
        return [i.url for i in self.instances.values() if i.is_running]

    def operator_urls(self) -> list[str]:
        """Return the URLs for operators of the running instances."""
        return [
            i.operator_url for i in self.instances.values() if i.is_running
        ]

    async def start(
        self,
        instances: int,
        start_custom_instances: typing.Callable[[], typing.Awaitable[None]]
        | None = None,
    ) -> None:
        """Start all processes, apply the configuration and create keys.

        ``start_custom_instances`` starts further instances, which need
        flags of their own.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_platform()
        self._start_targets()
        await asyncio.gather(
            *[_wait_until_listening(p) for p in self.standins.values()]
        )
        self._write_config()
        data_centres = sorted(
            {t.data_centre for t in self.configuration.targets.values()}
        )
        for number in range(instances):
            self.start_instance(
                number, data_centres[number % len(data_centres)]
            )
        if start_custom_instances is not None:
            await start_custom_instances()
        await asyncio.gather(
            *[_wait_until_listening(p) for p in self.instances.values()]
        )
        await self._configure()

    def start_instance(
        self,
        number: int,
        data_centre: str,
        *extra_flags: str,
        ports: list[int] | None = None,
        peer_url: str = "",
    ) -> InstanceProcess:
        """Start an instance of cardamomd and return its process.

        ``peer_url`` is the URL for peers if it differs from the peer port.
        """
        ports = ports or free_ports(3)
        name = f"entry-{number + 1}"
        seeds = [i.peer_url for i in list(self.instances.values())[:2]]
        seed_flags = [word for url in seeds for word in ("--peer", url)]
        command = [
            str(pathlib.Path(sys.executable).with_name("cardamomd")),
            *("--instance", name),
            *("--data-centre", data_centre),
            *("--operator-key", OPERATOR_KEY),
            *("--fleet-secret", FLEET_SECRET),
            *("--table-url", self.standins["table"].url),
            *("--list-url", self.standins["list"].url),
            *("--objects-url", self.standins["objects"].url),
            *("--caller-port", str(ports[0])),
            *("--peer-port", str(ports[1])),
            *("--operator-port", str(ports[2])),
            *seed_flags,
            *extra_flags,
        ]
        popen = self._spawn(name, command)
        proc = InstanceProcess(
            name,
            _url(ports[0]),
            popen,
            peer_url or _url(ports[1]),
            _url(ports[2]),
            data_centre,
        )
        self.instances[name] = proc
        return proc

    async def set_faults(self, standin: str, **switches: object) -> None:
        """Set the fault switches of a stand-in."""
        async with aiohttp.ClientSession() as session:
            url = self.standins[standin].url + "/faults"
            async with session.post(url, json=switches) as response:
                response.raise_for_status()

    async def ledger(self, target: str) -> Json:
        """Return the counts of calls and errors that a target keeps."""
        kind = self.configuration.targets[target].kind
        name = "engine" if kind is schema.TargetKind.ENGINE else "service"
        url = f"{self.standins[target].url}/{name}/v1/ledger"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                parsed: Json = await response.json()
                return parsed

    def ctl(
        self, *arguments: str, operators: str = ""
    ) -> tuple[int, str, str]:
        """Run cardamomctl; return its exit code, stdout and stderr."""
        command = [
            str(pathlib.Path(sys.executable).with_name("cardamomctl")),
            *arguments,
        ]
        urls = operators or ",".join(self.operator_urls())
        env = {
            **self._env,
            "CARDAMOM_OPERATORS": urls,
            "CARDAMOM_OPERATOR_KEY": OPERATOR_KEY,
        }
        completed = subprocess.run(command, env=env, capture_output=True)
        return (
            completed.returncode,
            completed.stdout.decode(),
            completed.stderr.decode(),
        )

    async def ctl_async(self, *arguments: str, operators: str = "") -> Json:
        """Run cardamomctl with --json without blocking the event loop.

        Returns its JSON output, with the keys ``exit`` and ``error`` added.
        """
        exit_code, output, error_output = await asyncio.to_thread(
            lambda: self.ctl(*arguments, "--json", operators=operators)
        )
        body: Json = json.loads(output) if output.strip() else {}
        return {"exit": exit_code, "error": error_output.strip(), **body}

    async def operator_get(self, instance: InstanceProcess, path: str) -> Json:
        """Return the JSON answer to a GET of an instance's operator path."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        timeout = aiohttp.ClientTimeout(total=5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = instance.operator_url + path
            async with session.get(url, headers=headers) as response:
                parsed: Json = await response.json()
                return parsed

    async def wait_until_ready(self) -> None:
        """Wait until all instances are ready and all shares are assigned.

        Raises TimeoutError after START_TIMEOUT_S.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Kill every process."""
        processes = [*self.instances.values(), *self.standins.values()]
        for proc in processes:
            if proc.is_running:
                proc.popen.kill()
        for proc in processes:
            await asyncio.to_thread(proc.popen.wait)

    def write_endpoints(self, path: pathlib.Path) -> None:
        """Write the URLs and keys for callers and operators as JSON."""
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

    async def _is_ready(self) -> bool:
        units_by_team = {team: 0 for team in self.configuration.teams}
        for instance in self.instances.values():
            try:
                status = await self.operator_get(instance, "/v1/status")
            except (aiohttp.ClientError, OSError):
                return False
            if not status["ready"] or status["seat"] is None:
                return False
            for team, units in status["shares"]["units"].items():
                units_by_team[team] = units_by_team.get(team, 0) + units
        # A team's shares add up to one million units.
        return all(units == 1_000_000 for units in units_by_team.values())

    async def _configure(self) -> None:
        applied = await self._apply_with_retries()
        if applied["exit"] != 0:
            raise RuntimeError(f"apply failed: {applied}")
        await self.wait_until_ready()
        for team in self.configuration.teams:
            created = await self.ctl_async("key", "create", team)
            self.key_by_team[team] = created["key"]
            self.key_id_by_team[team] = created["id"]

    async def _apply_with_retries(self) -> Json:
        applied: Json = {}
        for _ in range(20):
            applied = await self.ctl_async("apply", str(self.config_folder))
            if applied["exit"] == 0:
                break
            await asyncio.sleep(0.5)
        return applied

    def _start_platform(self) -> None:
        store = self.configuration.weight_store
        rate_flags = (
            *("--loads-per-s", str(store.loads_per_s)),
            *("--concurrent-loads", str(store.concurrent_loads)),
        )
        self._start_standin("table", "table")
        self._start_standin("list", "list")
        self._start_standin("objects", "objects")
        self._start_standin("weights", "weights", *rate_flags)

    def _start_targets(self) -> None:
        weights = self.standins["weights"].url
        for name, target in self.configuration.targets.items():
            if target.kind is schema.TargetKind.SERVICE:
                self._start_standin(name, "service", "--name", name)
                continue
            fencing_flag = (
                "--checks-fencing"
                if target.checks_fencing
                else "--no-checks-fencing"
            )
            self._start_standin(
                name,
                "engine",
                *("--name", name),
                *("--memory-mb", str(target.memory_mb)),
                *("--weights-url", weights),
                fencing_flag,
            )

    def _start_standin(self, name: str, kind: str, *flags: str) -> None:
        port = free_ports(1)[0]
        arguments = ["-m", "cardamom_standins", kind, "--port", str(port)]
        popen = self._spawn(name, [sys.executable, *arguments, *flags])
        self.standins[name] = ServerProcess(name, _url(port), popen)

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
    """Return ports that were free when checked."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]


def _url(port: int) -> str:
    return f"http://{HOST}:{port}"


def _load(folder: pathlib.Path) -> schema.Configuration:
    loaded = folders.load_folder(folder)
    if loaded.configuration is None:
        raise SystemExit("\n".join(str(p) for p in loaded.problems))
    return loaded.configuration


async def _wait_until_listening(proc: ServerProcess) -> None:
    port = int(proc.url.rpartition(":")[2])
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(HOST, port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(POLL_INTERVAL_S)
