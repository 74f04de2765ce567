"""Tests of requests that were in flight when a target crashed."""

import asyncio

import aiohttp
import pytest

from cardamom_gateway.fleet import peers
from cardamom_gateway.fleet import stored_rows
from cardamom_gateway import gateway as gateway_module
from tests.wire import scenarios
from tests.wire import standins

REQUESTS_IN_FLIGHT = 60
# What an instance may send for control, see docs/CAPACITY.md.
MAX_CONTROL_BYTES_PER_S = 5_000
MEASURED_S = 3.0


def sent_bytes(gateway: gateway_module.Gateway) -> float:
    """Return the bytes of state updates that an instance has sent."""
    counter = gateway.state.metrics.peer_bytes.labels("sent")
    return next(
        sample.value
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


# A peer that was lost may still be asked for so long.
PEER_SILENCE_S = peers.MAX_PEER_AGE_MS / 1000 + 0.3
BACK_S = 0.5
CRASHES_TO_REFUSE = 2


class TestLostPeers:
    """Crashes that no other instance can confirm."""

    @pytest.mark.parametrize("silence_s", [0.0, PEER_SILENCE_S])
    @pytest.mark.parametrize("plain", [1, 2])
    def test_request_that_crashes_targets_is_refused_by_the_last_instance(
        self, plain: int, silence_s: float
    ) -> None:
        """Crashes were not counted, as no peer could be asked.

        The row of a lost instance stays in the store for minutes.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            lost = deployment.gateways.pop()
            await lost.close()
            await asyncio.sleep(silence_s)
            await crash_until_refused(deployment, session)
            await assert_refused(deployment, session)

        scenarios.run_scenario(scenario, plain=plain, engines=0, gateways=2)


class TestKillOfAll:
    """What the instances of after a kill of all know of crashes."""

    def test_request_that_crashes_targets_is_still_refused(self) -> None:
        """Each kill of all let it crash two more targets."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store = deployment.store
            await crash_until_refused(deployment, session)
            await standins.wait_until(
                lambda: any(
                    key == stored_rows.SUSPECTS_KEY
                    for _, key in store.row_by_name
                )
            )
            for gateway in deployment.gateways:
                await gateway.close()
            deployment.gateways.clear()
            restarted = await deployment.start_gateway(is_first_start=False)
            await standins.wait_until(
                lambda: restarted.is_ready and restarted.fleet.is_reached
            )
            await assert_refused(deployment, session)

        scenarios.run_scenario(scenario, plain=2, engines=0)


async def crash_until_refused(
    deployment: standins.Deployment, session: aiohttp.ClientSession
) -> None:
    """Send a request that crashes targets until it is refused."""
    for number in range(CRASHES_TO_REFUSE):
        for replica in deployment.replicas:
            replica.behaviour = standins.crash_for_good
        assert await status_of_poison(deployment, session, f"a{number}") == 502
        await wait_for_crashes(deployment, number + 1)


async def assert_refused(
    deployment: standins.Deployment, session: aiohttp.ClientSession
) -> None:
    """Assert that the request is refused and reaches no target."""
    ran = sum(len(r.requests) for r in deployment.replicas)
    assert await status_of_poison(deployment, session, "last") == 503
    assert ran == sum(len(r.requests) for r in deployment.replicas)


async def status_of_poison(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    attempt: str,
) -> int:
    """Return the status of the request that crashes targets."""
    async with session.post(
        deployment.url("/write/a"),
        data=b"poison",
        headers=scenarios.headers(attempt),
    ) as answer:
        return answer.status


async def wait_for_crashes(
    deployment: standins.Deployment, crashes: int
) -> None:
    """Replace the crashed target; wait until its crash has been counted."""
    crashed = next(r for r in deployment.replicas if r.requests and r.is_up)
    await crashed.stop()
    await asyncio.sleep(BACK_S)
    new = standins.ReplicaStandIn(
        f"p{len(deployment.replicas)}", crashed.service
    )
    deployment.replicas.append(new)
    await new.start()
    deployment.register(new)
    deployment.store.remove("servers", crashed.name)
    (gateway,) = deployment.gateways
    await standins.wait_until(
        lambda: (
            new.name in gateway.state.targets.by_id
            and crashed.name not in gateway.state.targets.by_id
            and crashes
            in {len(r.losses) for r in gateway.state.suspicions.export()}
        )
    )


class TestCrashOfABusyTarget:
    """A target that crashes with many requests in flight."""

    def test_crash_of_a_busy_target_does_not_fill_the_link(self) -> None:
        """Each message could repeat all requests that ever met a crash."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (target,) = deployment.replicas
            target.behaviour = standins.never_answer
            callers = [
                asyncio.create_task(
                    session.post(
                        deployment.url("/write/a", number % 3),
                        data=f"body {number}",
                        headers=scenarios.headers(f"a{number}"),
                    )
                )
                for number in range(REQUESTS_IN_FLIGHT)
            ]
            await standins.wait_until(
                lambda: len(target.requests) == REQUESTS_IN_FLIGHT
            )
            await target.stop()
            answers = await asyncio.gather(*callers)
            assert {answer.status for answer in answers} == {502}
            await asyncio.sleep(1.0)
            before = [sent_bytes(gateway) for gateway in deployment.gateways]
            await asyncio.sleep(MEASURED_S)
            for gateway, sent in zip(deployment.gateways, before):
                used = sent_bytes(gateway) - sent
                assert used <= MAX_CONTROL_BYTES_PER_S * MEASURED_S

        scenarios.run_scenario(scenario, plain=1, engines=0, gateways=3)
