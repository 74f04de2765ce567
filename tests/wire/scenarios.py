"""Scenarios against running gateways, and the headers of their calls."""

import asyncio
import typing

import aiohttp

from tests.wire import standins

Entries = list[typing.MutableMapping[str, typing.Any]]
Scenario = typing.Callable[
    [standins.Deployment, aiohttp.ClientSession], typing.Awaitable[None]
]


def run_scenario(scenario: Scenario, **sizes: int) -> None:
    """Run a scenario against gateways and stand-ins of its own."""

    async def run() -> None:
        async with (
            standins.running_deployment(**sizes) as deployment,
            aiohttp.ClientSession() as session,
        ):
            await scenario(deployment, session)

    asyncio.run(run())


def headers(attempt: str, **overrides: str) -> dict[str, str]:
    """Return a caller's headers; ``_`` in a name stands for ``-``."""
    replaced = {
        name.replace("_", "-"): value for name, value in overrides.items()
    }
    return {
        "Host": "ficu95.example",
        "Attempt-Id": attempt,
        "X-Api-Key": standins.KEY,
        "Deadline-Ms": "3000",
    } | replaced


def model_headers(model: str, adapter: str = "") -> dict[str, str]:
    """Return the headers of a call to a model, with 100 prompt tokens."""
    name = f"{model}/{adapter}" if adapter else model
    return {"Model": name, "Token_Usage": "100,20"}


async def post(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    path: str,
    attempt: str,
) -> tuple[int, bytes]:
    """Return status and body of a call, of a model where the path has one."""
    head = headers(attempt, **model_headers("m1"))
    async with session.post(deployment.url(path), headers=head) as answer:
        return answer.status, await answer.read()


async def lift_limits(
    deployment: standins.Deployment, **of_services: typing.Any
) -> None:
    """Let teams send as much as they like, and change all services."""
    configuration = standins.configuration(8)
    configuration["tenants"][0]["rate_per_s"] = 0
    for service in configuration["services"]:
        service |= of_services
    deployment.store.put("op", "config", configuration)
    await standins.wait_until(
        lambda: all(
            gateway.state.configuration.version == 8
            for gateway in deployment.gateways
        )
    )
