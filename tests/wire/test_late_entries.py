"""Tests of entries that the store writes after their target was removed."""

import asyncio
import collections

import aiohttp
from aiohttp import web

from tests.wire import scenarios
from tests.wire import standins

LOAD_S = 1.5
PERIOD_S = 0.02
# Reports of a removal, or of a late entry, are no longer sent after this.
REPORTED_S = 0.5


async def send_writes(
    deployment: standins.Deployment, session: aiohttp.ClientSession
) -> None:
    """Send writes to all instances in turn."""

    async def send(number: int) -> None:
        url = deployment.url("/write/x", number % len(deployment.gateways))
        head = scenarios.headers(f"a{number}")
        async with session.post(url, headers=head) as answer:
            assert answer.status == 200

    async with asyncio.TaskGroup() as group:
        for number in range(round(LOAD_S / PERIOD_S)):
            group.create_task(send(number))
            await asyncio.sleep(PERIOD_S)


class Served:
    """Counts the writes that each target gets."""

    def __init__(self, deployment: standins.Deployment) -> None:
        self.by_target: collections.Counter[str] = collections.Counter()
        for replica in deployment.replicas:
            replica.behaviour = self._answer

    async def _answer(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        self.by_target[replica.name] += 1
        return await standins.answer_at_once(replica, request)


class TestLateEntries:
    """A heartbeat without an answer, which the store carries out late."""

    def test_removed_target_gets_no_writes_after_its_late_entry(self) -> None:
        """It leaves without a report, and exits under what it would get."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            leaving, late_entry = await _remove_first(deployment)
            served = Served(deployment)
            deployment.store.put("servers", leaving.name, late_entry)
            await send_writes(deployment, session)
            assert not served.by_target[leaving.name]
            deployment.register(leaving)  # it lives on after all
            await standins.wait_until(
                lambda: all(
                    leaving.name in gateway.state.targets.by_id
                    for gateway in deployment.gateways
                ),
                timeout_s=2.0,
            )
            await send_writes(deployment, session)
            assert served.by_target[leaving.name]

        scenarios.run_scenario(scenario, plain=3, engines=0, gateways=2)

    def test_instance_that_starts_meanwhile_hears_of_the_removal(
        self,
    ) -> None:
        """It has read neither the removal nor the later entries."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            leaving, late_entry = await _remove_first(deployment)
            deployment.store.put("servers", leaving.name, late_entry)
            await asyncio.sleep(REPORTED_S)
            gateway = await deployment.start_gateway()
            targets = gateway.state.targets.by_id
            await standins.wait_until(
                lambda: (
                    gateway.is_ready
                    and not (
                        leaving.name in targets
                        and targets[leaving.name].is_usable
                    )
                ),
                timeout_s=3.0,
            )

        scenarios.run_scenario(scenario, plain=3, engines=0, gateways=2)


async def _remove_first(
    deployment: standins.Deployment,
) -> tuple[standins.ReplicaStandIn, dict[str, object]]:
    """Remove a target after its next entry; return it and the one before."""
    leaving = deployment.replicas[0]
    late_entry = leaving.entry()
    await deployment.register_and_wait(leaving)
    deployment.store.remove("servers", leaving.name)
    await standins.wait_until(
        lambda: (
            not any(
                leaving.name in gateway.state.targets.by_id
                for gateway in deployment.gateways
            )
        )
    )
    return leaving, late_entry
