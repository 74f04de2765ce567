"""Tests of the instances that read the store for their data centre."""

import asyncio

import aiohttp
import pytest

from cardamom_gateway import gateway as gateway_module
from cardamom_gateway.store import store_readers
from tests.wire import scenarios
from tests.wire import standins

CHANGE_PERIOD_S = 0.4
CALM_S = 4.0
# Operators allow this long until instances act on a loss.
CONTACT_S = 3.0
SMALL_FLEET = 4
LARGE_FLEET = 16


def readers(
    deployment: standins.Deployment,
) -> list[gateway_module.Gateway]:
    """Return the instances that read the store."""
    return [
        gateway
        for gateway in deployment.gateways
        if gateway.store_watch.is_reader()
    ]


async def wait_for_reader(deployment: standins.Deployment) -> None:
    """Wait until one instance reads the store."""
    await standins.wait_until(lambda: len(readers(deployment)) == 1)


def knows_leaving(gateway: gateway_module.Gateway, name: str) -> bool:
    """Return whether an instance no longer uses a target."""
    return all(
        record.target.id != name or not record.is_usable
        for record in gateway.state.targets.by_id.values()
    )


async def assert_leaving_is_heard(deployment: standins.Deployment) -> None:
    """Let a target leave, and wait until no instance uses it."""
    leaving = deployment.replicas[0]
    leaving.state = "draining"
    deployment.register(leaving)
    await standins.wait_until(
        lambda: all(
            knows_leaving(gateway, leaving.name)
            for gateway in deployment.gateways
        ),
        timeout_s=CONTACT_S,
    )


class TestCostOfTheFleet:
    """Calls to the store while targets and configurations change."""

    def test_calls_do_not_grow_with_the_instances(self) -> None:
        """Each call is charged for, and hundreds of instances follow."""
        calls_by_size: dict[int, int] = {}

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store, target = deployment.store, deployment.replicas[0]
            await asyncio.sleep(CONTACT_S)
            store.calls.clear()
            for number in range(round(CALM_S / CHANGE_PERIOD_S)):
                deployment.register(target)
                store.put("op", "config", standins.configuration(number + 100))
                await asyncio.sleep(CHANGE_PERIOD_S)
            calls_by_size[len(deployment.gateways)] = len(store.calls)
            await standins.wait_until(
                lambda: all(
                    g.state.configuration is not None
                    and g.state.configuration.version == number + 100
                    for g in deployment.gateways
                )
            )

        for size in (SMALL_FLEET, LARGE_FLEET):
            scenarios.run_scenario(scenario, plain=2, engines=0, gateways=size)
        assert calls_by_size[LARGE_FLEET] <= 1.5 * calls_by_size[SMALL_FLEET]


class TestLossOfReaders:
    """Readers that end, are cut off from the store, or stop as planned."""

    @pytest.mark.parametrize("lost", [1, 2])
    def test_another_instance_takes_over(self, lost: int) -> None:
        """The others would not hear of a leaving target any more."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await wait_for_reader(deployment)
            for _ in range(lost):
                (reader,) = readers(deployment)
                deployment.gateways.remove(reader)
                await reader.close()
                await asyncio.sleep(
                    0 if lost == 1 else store_readers.SILENCE_MS / 1000
                )
                await standins.wait_until(
                    lambda: len(readers(deployment)) == 1,
                    timeout_s=CONTACT_S,
                )
            await assert_leaving_is_heard(deployment)

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=5)

    def test_reader_that_stops_is_replaced_before_its_end(self) -> None:
        """Nobody would read the store between its end and the takeover."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await wait_for_reader(deployment)
            (reader,) = readers(deployment)
            reader.begin_stop()
            await standins.wait_until(
                lambda: any(g is not reader for g in readers(deployment)),
                timeout_s=CONTACT_S,
            )
            assert not reader.stopped.is_set()
            await reader.stopped.wait()

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=4)

    def test_reader_that_the_store_turns_away_is_replaced(self) -> None:
        """The store may reject some instances and serve the others."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await wait_for_reader(deployment)
            (reader,) = readers(deployment)
            # Nothing listens on the port of discard.
            reader._store._store._base = "http://127.0.0.1:9"  # type: ignore
            deployment.store.answer_feeds()
            await standins.wait_until(
                lambda: any(g is not reader for g in readers(deployment)),
                timeout_s=CONTACT_S,
            )
            await assert_leaving_is_heard(deployment)

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=5)


class TestOutages:
    """A store that is down for all, and comes back."""

    def test_return_is_noticed_at_once(self) -> None:
        """Retries of a large fleet are spread over its instances."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await wait_for_reader(deployment)
            deployment.store.is_down = True
            deployment.store.answer_feeds()
            await standins.wait_until(
                lambda: (
                    not any(g.fleet.is_reached for g in deployment.gateways)
                )
            )
            deployment.store.is_down = False
            await standins.wait_until(
                lambda: all(g.fleet.is_reached for g in deployment.gateways),
                timeout_s=CONTACT_S,
            )

        scenarios.run_scenario(scenario, plain=1, engines=0, gateways=8)
