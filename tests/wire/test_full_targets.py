"""Tests of plain targets that reject calls beyond their slots."""

import asyncio
import time

import aiohttp
from aiohttp import web

from tests.wire import scenarios
from tests.wire import standins
from tests.wire import test_stated_leaving

SLOTS = 6  # as the entries of the stand-ins say
CALL_S = 0.09
CALLS = 60
OBJECTIVE_S = 0.8  # of the stand-ins' routes


class SlottedReplica:
    """Serves as many calls at once as it has slots, and rejects others."""

    def __init__(self) -> None:
        self.running = 0
        self.rejections = 0
        self.served: list[str] = []

    async def behave(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a call, or reject it."""
        if self.running >= SLOTS:
            self.rejections += 1
            return web.Response(
                status=503,
                headers={
                    "Attempt-Id": request.headers["Attempt-Id"],
                    "Not-Executed": "1",
                },
            )
        self.running += 1
        try:
            await asyncio.sleep(CALL_S)
            self.served.append(request.path)
            return await test_stated_leaving.stream_once(replica, request)
        finally:
            self.running -= 1


async def call_all(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    paths: list[str],
    prefix: str,
) -> list[int]:
    """Send calls at once and return their statuses."""

    async def call(number: int, path: str) -> int:
        async with session.get(
            deployment.url(path),
            headers=scenarios.headers(f"{prefix}{number}"),
        ) as answer:
            await answer.read()
            return answer.status

    return list(
        await asyncio.gather(
            *(call(number, path) for number, path in enumerate(paths))
        )
    )


def slot(deployment: standins.Deployment) -> list[SlottedReplica]:
    """Let all replicas reject calls beyond their slots."""
    slotted = [SlottedReplica() for _ in deployment.replicas]
    for replica, behaviour in zip(deployment.replicas, slotted, strict=True):
        replica.behaviour = behaviour.behave
    return slotted


async def prioritize(deployment: standins.Deployment) -> None:
    """Lift the limits, and make one route more urgent than another."""
    changed = standins.configuration(8)
    changed["tenants"][0]["rate_per_s"] = 0
    for route in changed["routes"]:
        route["priority"] = {"read": 0, "open": 5}.get(route["name"], 1)
        route["target_latency_ms"] = 3_000
    deployment.store.put("op", "config", changed)
    await standins.wait_until(
        lambda: deployment.gateways[0].state.configuration.version == 8
    )


class TestFullTargets:
    """Bursts of plain calls at a few targets with a few slots."""

    def test_burst_is_served_within_the_objective(self) -> None:
        """Calls that all targets had rejected were refused."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            slotted = slot(deployment)
            first = await call_all(
                deployment, session, ["/read/a"] * CALLS, "first"
            )
            rejections = sum(replica.rejections for replica in slotted)
            second = await call_all(
                deployment, session, ["/read/a"] * CALLS, "second"
            )
            # The machine may be busy, so that a few calls come too late.
            assert first.count(200) >= 0.9 * CALLS
            assert second.count(200) >= 0.9 * CALLS
            assert sum(r.rejections for r in slotted) - rejections < 10

        scenarios.run_scenario(scenario, plain=3, engines=0)

    def test_burst_at_several_instances_is_served(self) -> None:
        """Each knows the loads of the others only a moment later."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            slot(deployment)
            for burst in range(3):
                statuses = await call_all(
                    deployment, session, ["/read/a"] * CALLS, f"b{burst}"
                )
                assert statuses.count(200) >= 0.8 * CALLS

        scenarios.run_scenario(scenario, plain=3, engines=0, gateways=3)

    def test_more_urgent_calls_go_first(self) -> None:
        """Slots went to whichever call came first."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await prioritize(deployment)
            (replica,) = slot(deployment)
            await call_all(deployment, session, ["/open/a"] * 12, "first")
            replica.served.clear()
            await call_all(
                deployment,
                session,
                ["/open/a"] * 24 + ["/read/a"] * 12,
                "second",
            )
            urgent = [n for n, p in enumerate(replica.served) if "read" in p]
            # The first six calls of low priority run before.
            assert len(urgent) == 12
            assert max(urgent) < 6 + 12 + SLOTS

        scenarios.run_scenario(scenario, plain=1, engines=0)

    def test_call_that_nobody_takes_is_refused_in_time(self) -> None:
        """A call waits for room no longer than its objective allows."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            slotted = slot(deployment)
            for replica in slotted:
                replica.running = SLOTS
            started_s = time.monotonic()
            statuses = await call_all(deployment, session, ["/read/a"], "a")
            took_s = time.monotonic() - started_s
            assert statuses == [503]
            assert took_s < OBJECTIVE_S + 0.4
            assert sum(replica.rejections for replica in slotted) <= 2

        scenarios.run_scenario(scenario, plain=3, engines=0)
