"""Tests of targets that are cold for a while after a start."""

import asyncio
import dataclasses
import typing

import aiohttp
from aiohttp import web
import pytest

from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins
from tests.wire import test_target_limits as limits

RATE_PER_S = 9.2
OVERAGE = 1.5
TOLERANCE = 5.0
ALLOWED = RATE_PER_S * OVERAGE + TOLERANCE
COLD_MS = 60_000
VERSION = 9
# An instance gives permits once it has been the owner for a second.
SETTLED_S = 1.3
DURATION_S = 4.0


class ColdReplicas:
    """Replicas whose entries say that they are cold, and what arrives."""

    def __init__(self, deployment: standins.Deployment) -> None:
        self.deployment = deployment
        self.arrivals_s: dict[str, list[float]] = {}
        for replica in deployment.replicas:
            replica.behaviour = self._answer

    async def _answer(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        now_s = asyncio.get_running_loop().time()
        self.arrivals_s.setdefault(replica.name, []).append(now_s)
        return web.Response(
            text=replica.name, headers=standins.signed(request)
        )

    async def configure(self) -> None:
        """Put a configuration in force with cold targets and no rates."""
        deployment = self.deployment
        configuration = standins.configuration(VERSION)
        configuration["tenants"][0]["rate_per_s"] = 0
        for service in configuration["services"]:
            service |= {"cold_start_s": 3.0, "cold_per_s": RATE_PER_S}
        for gateway in deployment.gateways:
            gateway.state.settings = dataclasses.replace(
                gateway.state.settings,
                cold_overage=OVERAGE,
                cold_tolerance=TOLERANCE,
            )
        deployment.store.put("op", "config", configuration)
        await standins.wait_until(
            lambda: all(
                gateway.state.configuration is not None
                and gateway.state.configuration.version == VERSION
                for gateway in deployment.gateways
            )
        )

    async def state(
        self, replica: standins.ReplicaStandIn, cold_ms: int
    ) -> None:
        """Write an entry, and wait until all gateways have it."""
        written = replica.entry() | {"cold_remaining_ms": cold_ms}
        self.deployment.store.put("servers", replica.name, written)
        await standins.wait_until(
            lambda: all(
                gateway.state.targets.by_id[replica.name].target.entry_sequence
                == replica.entry_sequence
                for gateway in self.deployment.gateways
            )
        )

    def most_in_a_second(self, name: str) -> int:
        """Return the most requests of a replica in any second."""
        times = self.arrivals_s.get(name, [])
        return max(
            (
                sum(1 for t in times if first <= t < first + 1)
                for first in times
            ),
            default=0,
        )


async def send_all(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    duration_s: float,
    requests_per_s: int,
    path: str = "/read/x",
) -> list[tuple[int, str | None]]:
    """Send requests to all gateways; return statuses and times to retry."""

    async def send(number: int) -> tuple[int, str | None]:
        gateway = number % len(deployment.gateways)
        async with session.get(
            deployment.url(path, gateway),
            headers=scenarios.headers(f"a{number}"),
        ) as answer:
            await answer.read()
            return answer.status, answer.headers.get("Retry-After")

    tasks = []
    async with asyncio.TaskGroup() as group:
        for number in range(round(duration_s * requests_per_s)):
            tasks.append(group.create_task(send(number)))
            await asyncio.sleep(1 / requests_per_s)
    return [task.result() for task in tasks]


def run_cold(
    scenario: typing.Callable[
        [ColdReplicas, aiohttp.ClientSession], typing.Awaitable[None]
    ],
    **sizes: int,
) -> None:
    """Run a scenario with replicas that may be cold."""

    async def run(
        deployment: standins.Deployment, session: aiohttp.ClientSession
    ) -> None:
        cold = ColdReplicas(deployment)
        await cold.configure()
        await asyncio.sleep(SETTLED_S)
        await scenario(cold, session)

    scenarios.run_scenario(run, **sizes)


class TestColdTargets:
    """Requests of several instances to targets that are cold."""

    @pytest.mark.parametrize("gateways", [1, 3])
    def test_no_second_has_more_than_the_bound(self, gateways: int) -> None:
        """Guards against instances that each send what a target bears.

        What no target may get is refused at once, with the time to retry.
        """

        async def scenario(
            cold: ColdReplicas, session: aiohttp.ClientSession
        ) -> None:
            replicas = cold.deployment.replicas
            for replica in replicas:
                await cold.state(replica, COLD_MS)
            answers = await send_all(
                cold.deployment, session, DURATION_S, requests_per_s=60
            )
            for replica in replicas:
                assert cold.most_in_a_second(replica.name) <= ALLOWED
            statuses = [status for status, _ in answers]
            assert set(statuses) == {200, 503}
            offered = RATE_PER_S * len(replicas) * DURATION_S
            assert statuses.count(200) >= limits.MIN_USED_RATIO * offered
            assert all(
                retry_after and float(retry_after) > 0
                for status, retry_after in answers
                if status == 503
            )

        run_cold(scenario, plain=2, engines=0, gateways=gateways)

    def test_warm_targets_serve_what_a_cold_one_may_not(self) -> None:
        """Guards against refusals while another target has room."""

        async def scenario(
            cold: ColdReplicas, session: aiohttp.ClientSession
        ) -> None:
            await cold.state(cold.deployment.replicas[0], COLD_MS)
            answers = await send_all(
                cold.deployment, session, DURATION_S, requests_per_s=60
            )
            assert cold.most_in_a_second("p0") <= ALLOWED
            assert {status for status, _ in answers} == {200}

        run_cold(scenario, plain=2, engines=0, gateways=2)

    def test_target_that_is_warm_again_needs_no_permit(self) -> None:
        """Guards against a target that stays limited after its cold time."""

        async def scenario(
            cold: ColdReplicas, session: aiohttp.ClientSession
        ) -> None:
            replica = cold.deployment.replicas[0]
            await cold.state(replica, COLD_MS)
            await send_all(cold.deployment, session, 1.0, requests_per_s=60)
            await cold.state(replica, 0)
            answers = await send_all(
                cold.deployment, session, 1.0, requests_per_s=60
            )
            assert {status for status, _ in answers} == {200}
            text = cold.deployment.gateways[0].state.metrics.text().decode()
            assert 'cardamom_cold_targets_total{reason="stated"} 1.0' in text

        run_cold(scenario, plain=1, engines=0, gateways=2)

    def test_instance_that_stops_hands_the_permits_over(self) -> None:
        """Guards against a bound that each owner uses in the same second."""

        async def scenario(
            cold: ColdReplicas, session: aiohttp.ClientSession
        ) -> None:
            deployment = cold.deployment
            replica = deployment.replicas[0]
            await cold.state(replica, COLD_MS)
            record = deployment.gateways[0].state.targets.by_id["p0"]
            member = deployment.gateways[0].exchange.limits.owner(
                record.target.incarnation
            )
            owner = next(
                g
                for g in deployment.gateways
                if g.settings.instance
                == (member.id if member else g.settings.instance)
            )
            load = asyncio.create_task(
                send_all(deployment, session, 5.0, requests_per_s=60)
            )
            await asyncio.sleep(1.5)
            owner.state.is_stopping = True
            answers = await load
            assert cold.most_in_a_second("p0") <= ALLOWED
            used = [status for status, _ in answers].count(200)
            # The new owner gives none in its first second.
            assert used >= limits.MIN_USED_RATIO * RATE_PER_S * 4.0

        run_cold(scenario, plain=1, engines=0, gateways=3)

    def test_retries_and_resumed_streams_need_permits(self) -> None:
        """Guards against sends that bypass the count of first attempts."""

        async def break_off(
            replica: standins.ReplicaStandIn, request: web.BaseRequest
        ) -> web.StreamResponse:
            now_s = asyncio.get_running_loop().time()
            arrivals_s.setdefault(replica.name, []).append(now_s)
            answer = await standins.begin_stream(request)
            await answer.write(standins.event(0))
            standins.reset(request)
            return answer

        async def scenario(
            cold: ColdReplicas, session: aiohttp.ClientSession
        ) -> None:
            deployment = cold.deployment
            for replica in deployment.replicas:
                replica.behaviour = break_off
                await cold.state(replica, COLD_MS)
            linked = cuts.LinkedDeployment(deployment, session, [])
            async with asyncio.TaskGroup() as group:
                for number in range(120):
                    group.create_task(
                        cuts.status_of(
                            linked,
                            number % len(deployment.gateways),
                            "/chat/x",
                            f"s{number}",
                            **scenarios.model_headers("m1"),
                        )
                    )
                    await asyncio.sleep(1 / 60)
            cold.arrivals_s = arrivals_s
            for replica in deployment.replicas:
                assert 0 < cold.most_in_a_second(replica.name) <= ALLOWED

        arrivals_s: dict[str, list[float]] = {}
        run_cold(scenario, plain=0, engines=2, gateways=2)

    @pytest.mark.parametrize("knows", [True, False])
    def test_requests_through_a_relay_need_permits(self, knows: bool) -> None:
        """Guards against relayed requests that nobody has a permit for.

        An instance that is cut off may not know that the target is cold, but
        its relay does.
        """

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            deployment = linked.deployment
            cold = ColdReplicas(deployment)
            await cold.configure()
            await asyncio.sleep(SETTLED_S)
            await cold.state(deployment.replicas[0], COLD_MS)
            state = deployment.gateways[0].state
            if not knows:
                state.targets.by_id["p0"].cold.note_stated(
                    state.clock.now_ms(), 0
                )
            await linked.cut([0], cuts.Cut.RESET)
            async with asyncio.TaskGroup() as group:
                for number in range(240):
                    group.create_task(
                        cuts.status_of(linked, 0, "/read/x", f"r{number}")
                    )
                    await asyncio.sleep(1 / 60)
            assert 0 < cold.most_in_a_second("p0") <= ALLOWED

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)
