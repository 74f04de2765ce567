"""Runs instances and stand-ins inside the test process."""

import asyncio
import contextlib
import dataclasses
import socket
import typing

import aiohttp

from cardamom_daemon import app as app_module
from cardamom_daemon import settings as settings_module
from cardamom_kernel import invariants
from cardamom_standins import base
from cardamom_standins import engine
from cardamom_standins import platform
from cardamom_standins import service
from cardamom_standins import table

OPERATOR_KEY = "operator-key-for-tests"
FLEET_SECRET = "fleet-secret-for-tests"
READY_TIMEOUT_S = 60.0
TEAM_RATE = 100_000

Json = dict[str, typing.Any]


@dataclasses.dataclass
class Deployment:
    """A deployment under test: instances, stand-ins and their URLs."""

    table: table.TableStandin
    list: platform.InstanceListStandin
    engines: dict[str, engine.EngineStandin]
    services: dict[str, service.ServiceStandin]
    url_by_name: dict[str, str]
    instances: list[app_module.Instance] = dataclasses.field(
        default_factory=list
    )
    configuration: Json = dataclasses.field(default_factory=dict)
    key: str = ""
    key_id: str = ""

    def caller_url(self, number: int = 0) -> str:
        """Return the URL of an instance's caller port."""
        settings = self.instances[number].settings
        return f"http://{settings.host}:{settings.caller_port}"

    async def start_instance(self, **changes: object) -> app_module.Instance:
        """Start an instance whose peers are the first two instances.

        ``changes`` replaces settings by name.
        """
        ports = free_ports(3)
        values: Json = {
            "instance": f"entry-{len(self.instances) + 1}",
            "data_centre": "dc-a",
            "operator_key": OPERATOR_KEY,
            "fleet_secret": FLEET_SECRET,
            "table_url": self.url_by_name["table"],
            "list_url": self.url_by_name["list"],
            "caller_port": ports[0],
            "peer_port": ports[1],
            "operator_port": ports[2],
            "peers": tuple(
                i.settings.peer_address for i in self.instances[:2]
            ),
            **changes,
        }
        instance = app_module.Instance(settings_module.Settings(**values))
        self.instances.append(instance)
        await instance.start()
        return instance

    async def until(
        self,
        condition: typing.Callable[[], bool],
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Wait until a condition holds; raise TimeoutError if it does not."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.05)

    def shares_are_complete(self) -> bool:
        """Tell whether the instances together hold all units of each team."""
        teams = self.configuration["teams"]
        return all(
            sum(
                i.fleet.shares.units_by_team().get(team, 0)
                for i in self.instances
            )
            == 1_000_000
            for team in teams
        )

    async def configure(self) -> None:
        """Apply the configuration, wait until ready, and create a key."""
        first = self.instances[0]
        await self.until(lambda: first.fleet.roster is not None)
        await first.changes.apply(self.configuration, 0, "apply-1")
        await self.until(
            lambda: all(i.fleet.is_ready() for i in self.instances)
        )
        await self.until(self.shares_are_complete)
        created = await first.changes.create_key("team-a", "")
        self.key, self.key_id = created["key"], created["id"]

    def chat(self, **changes: object) -> Json:
        """Return the body of a chat completion request."""
        return {
            "model": "small",
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 8,
            **changes,
        }

    def headers(self, **extra: str) -> dict[str, str]:
        """Return headers with the key, and ``extra``."""
        return {"Authorization": f"Bearer {self.key}", **extra}


def free_ports(count: int) -> list[int]:
    """Return ports that were free when they were checked."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]


def configuration(url_by_name: dict[str, str]) -> Json:
    """Return a small configuration with the given engines and services."""
    targets: Json = {}
    engines = sum(name.startswith("engine") for name in url_by_name)
    for name, url in url_by_name.items():
        if name.startswith("engine"):
            targets[name] = {
                "kind": "engine",
                "group": "replicas",
                "url": url,
                "data_centre": "dc-a",
                "memory_mb": 1000,
                "checks_fencing": True,
            }
        elif name.startswith("app"):
            targets[name] = {
                "kind": "service",
                "group": "app",
                "url": url,
                "data_centre": "dc-a",
            }
    return {
        "teams": {
            "team-a": {
                "rate_tokens_per_s": TEAM_RATE,
                "burst_tokens": TEAM_RATE,
            },
            "team-b": {"rate_tokens_per_s": 1000, "burst_tokens": 1000},
        },
        "models": {
            "small": {"memory_mb": 300, "min_ready": min(2, engines)},
            "large": {"memory_mb": 500},
        },
        "adapters": {"tuned": {"model": "small", "memory_mb": 10}},
        "targets": targets,
        "routes": {
            "profiles": {"path": "/profiles", "group": "app"},
            "consents": {
                "path": "/consents",
                "methods": ["POST"],
                "group": "app",
                "idempotent": False,
            },
            "public": {"path": "/public", "group": "app", "access": "open"},
        },
        "weight_store": {"loads_per_s": 50},
        "limits": {"queue_timeout_ms": 30_000},
    }


@contextlib.asynccontextmanager
async def running_deployment(
    instances: int = 1,
    engines: int = 2,
    services: int = 2,
) -> typing.AsyncIterator[Deployment]:
    """Run stand-ins and configured instances; stop them at the end."""
    invariants.set_fatal(True)
    async with contextlib.AsyncExitStack() as stack:
        urls: dict[str, str] = {}

        async def serve(name: str, standin: base.Standin) -> None:
            urls[name] = await stack.enter_async_context(base.serving(standin))

        deployment = Deployment(
            table.TableStandin(),
            platform.InstanceListStandin(lag_ms=200, ttl_ms=3_000),
            {
                f"engine-{n}": engine.EngineStandin(n, memory_mb=1000)
                for n in range(1, engines + 1)
            },
            {
                f"app-{n}": service.ServiceStandin(n, f"app-{n}")
                for n in range(1, services + 1)
            },
            urls,
        )
        await serve("table", deployment.table)
        await serve("list", deployment.list)
        for name, standin in [
            *deployment.engines.items(),
            *deployment.services.items(),
        ]:
            await serve(name, standin)
        deployment.configuration = configuration(urls)
        try:
            for _ in range(instances):
                await deployment.start_instance()
            await deployment.configure()
            yield deployment
        finally:
            for instance in deployment.instances:
                await instance.close()


async def post_json(
    url: str,
    body: object,
    headers: dict[str, str] | None = None,
) -> tuple[int, Json, typing.Mapping[str, str]]:
    """Post JSON; return the status, JSON body and headers."""
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=body, headers=headers) as response:
            return response.status, await response.json(), response.headers
