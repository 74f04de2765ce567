"""Tests of targets that fall over when they reject many requests."""

import asyncio
import collections

import aiohttp
from aiohttp import web
import pytest

from cardamom_gateway import gateway as gateway_module
from tests.wire import scenarios
from tests.wire import standins

CONTACT_S = 3.0
DURATION_S = 10.0
RUN_S = 0.1
# The entry names more slots than the target has room for.
ROOM = 2
TOLERATED_REJECTIONS = 3
DOWN_S = 2.0
# Falls that the operators allow: 2, and a tenth of the targets.
MAX_FALLS = 2
OFFERED_PER_S = 4 * ROOM / RUN_S
# Targets that run as many requests as their entry says, while one waits.
FULL_ROOM = 7
LONG_RUN_S = 0.3
RESTARTS_S = 16.0


class Brittle:
    """Targets that fall over after some rejections within a second."""

    def __init__(
        self,
        deployment: standins.Deployment,
        room: int = ROOM,
        run_s: float = RUN_S,
    ) -> None:
        self._deployment = deployment
        self._room = room
        self._run_s = run_s
        self._running: collections.Counter[str] = collections.Counter()
        self._rejected_s: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_s = asyncio.get_running_loop().time()
        self.falls = 0

    async def answer(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer after a while, or reject for want of room."""
        headers = standins.signed(request)
        headers["Server-Brittle"] = str(TOLERATED_REJECTIONS)
        if self._running[replica.name] >= self._room:
            self._note_rejection(replica)
            return web.Response(
                status=503, headers=headers | {"Not-Executed": "1"}
            )
        self._running[replica.name] += 1
        try:
            await asyncio.sleep(self._run_s)
        finally:
            self._running[replica.name] -= 1
        return web.Response(text=replica.name, headers=headers)

    def _note_rejection(self, replica: standins.ReplicaStandIn) -> None:
        now_s = asyncio.get_running_loop().time()
        recent = [
            at_s
            for at_s in self._rejected_s[replica.name]
            if now_s - at_s < 1.0
        ]
        self._rejected_s[replica.name] = [*recent, now_s]
        if now_s - self._started_s < CONTACT_S:
            return
        if len(recent) + 1 > TOLERATED_REJECTIONS:
            self._rejected_s[replica.name].clear()
            self.falls += 1
            self.crash(replica)

    def crash(self, replica: standins.ReplicaStandIn) -> None:
        """Let a target crash, and return after a time."""
        task = asyncio.create_task(self._fall(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fall(self, replica: standins.ReplicaStandIn) -> None:
        await replica.crash(DOWN_S)
        self._running[replica.name] = 0
        self._deployment.register(replica)

    async def finish(self) -> None:
        """Wait until all targets are back."""
        await standins.wait_until(lambda: not self._tasks)


class TestBrittleTargets:
    """Requests beyond the room of targets that say that they are brittle."""

    @pytest.mark.parametrize("requests_per_s", [60, 120])
    def test_rejections_do_not_bring_brittle_targets_down(
        self, requests_per_s: int
    ) -> None:
        """Each rejection went to the next target, and taught nothing."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            brittle = Brittle(deployment)
            statuses = await _send_reads(
                deployment, session, brittle, requests_per_s, DURATION_S
            )
            assert brittle.falls <= MAX_FALLS
            served_per_s = statuses.count(200) / DURATION_S
            assert served_per_s >= 0.75 * min(requests_per_s, OFFERED_PER_S)

        scenarios.run_scenario(scenario, plain=4, engines=0, gateways=3)

    @pytest.mark.parametrize(
        ("room", "run_s"), [(FULL_ROOM, LONG_RUN_S), (ROOM, RUN_S)]
    )
    def test_brittle_targets_do_not_fall_over_after_a_restart(
        self, room: int, run_s: float
    ) -> None:
        """Guards against falls at each return (review, case 9).

        Nobody knew that they were brittle until their first answers.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            brittle = Brittle(deployment, room, run_s)
            capacity_per_s = len(deployment.replicas) * room / run_s
            loop = asyncio.get_running_loop()
            for replica in deployment.replicas[:2]:
                loop.call_later(CONTACT_S + 1, brittle.crash, replica)
            statuses = await _send_reads(
                deployment, session, brittle, capacity_per_s, RESTARTS_S
            )
            assert brittle.falls <= MAX_FALLS
            assert statuses.count(200) >= 0.6 * len(statuses)

        scenarios.run_scenario(scenario, plain=4, engines=0, gateways=3)


class TestRestartingInstances:
    """Instances that stop and start while targets are brittle.

    Guards against targets that fall over then (review, case 8).
    """

    def test_instance_knows_brittle_targets_once_it_is_ready(self) -> None:
        """Its first requests went there without permits."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            brittle = Brittle(deployment, FULL_ROOM)
            await _send_reads(deployment, session, brittle, 40, 1.0)
            gateway = await deployment.start_gateway(is_first_start=False)
            await standins.wait_until(lambda: gateway.is_ready)
            now_ms = gateway.clock.now_ms()
            needs = [
                record.permit_need(now_ms)
                for record in gateway.state.targets.by_id.values()
            ]
            assert needs and all(need and need.is_brittle for need in needs)

        scenarios.run_scenario(scenario, plain=4, engines=0, gateways=2)

    def test_brittle_targets_do_not_fall_over_while_instances_restart(
        self,
    ) -> None:
        """Two owners counted at once, each only its own permits."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            brittle = Brittle(deployment, FULL_ROOM, LONG_RUN_S)
            capacity_per_s = len(deployment.replicas) * FULL_ROOM / LONG_RUN_S
            serving = list(deployment.gateways)

            async def restart_all() -> None:
                await asyncio.sleep(CONTACT_S + 1)
                for gateway in list(serving):
                    serving.remove(gateway)
                    gateway.begin_stop()
                    await gateway.stopped.wait()
                    successor = await deployment.start_gateway(
                        is_first_start=False
                    )
                    await standins.wait_until(lambda: successor.is_ready)
                    serving.append(successor)

            async with asyncio.TaskGroup() as group:
                group.create_task(restart_all())
                statuses = await _send_reads(
                    deployment,
                    session,
                    brittle,
                    0.9 * capacity_per_s,
                    RESTARTS_S,
                    serving,
                )
            assert brittle.falls <= MAX_FALLS
            assert statuses.count(200) >= 0.9 * len(statuses)

        scenarios.run_scenario(scenario, plain=4, engines=0, gateways=3)


async def _send_reads(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    brittle: Brittle,
    requests_per_s: float,
    duration_s: float,
    serving: list[gateway_module.Gateway] | None = None,
) -> list[int]:
    """Send reads to all instances in turn; return the answers' statuses.

    No two are alike, so that none is suspected of the crashes.  ``serving``
    are the instances that get them, all by default.
    """
    gateways = deployment.gateways if serving is None else serving
    for replica in deployment.replicas:
        replica.behaviour = brittle.answer
    statuses: list[int] = []

    async def send(number: int) -> None:
        callers = gateways[number % len(gateways)].settings.callers
        async with session.get(
            f"http://{callers}/read/{number}",
            headers=scenarios.headers(f"a{number}"),
        ) as answer:
            await answer.read()
            statuses.append(answer.status)

    async with asyncio.TaskGroup() as group:
        for number in range(round(duration_s * requests_per_s)):
            group.create_task(send(number))
            await asyncio.sleep(1 / requests_per_s)
    await brittle.finish()
    return statuses
