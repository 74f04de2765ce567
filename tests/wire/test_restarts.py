"""Tests of instances that replace others while a team is near its limit."""

import functools

import aiohttp

from tests.wire import scenarios
from tests.wire import standins

TEAM = "siesta"
USED_TOKENS = 900.0


class TestEarlierUse:
    """What a new instance knows of the use before its start."""

    def test_new_instance_learns_the_use_of_an_ended_one(self) -> None:
        """A team got more than its rate when instances were replaced."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            ended, *others = deployment.gateways
            now_ms = ended.clock.now_ms()
            ended.state.rates.add(TEAM, USED_TOKENS, now_ms)
            await standins.wait_until(
                lambda: all(
                    gateway.state.rates.used(TEAM, gateway.clock.now_ms())
                    for gateway in others
                )
            )
            await ended.close()
            new = await deployment.start_gateway()
            await standins.wait_until(
                lambda: (
                    new.state.rates.used(TEAM, new.clock.now_ms())
                    == USED_TOKENS
                ),
                timeout_s=4.0,
            )

        run = functools.partial(
            scenarios.run_scenario, plain=1, engines=0, gateways=3
        )
        run(scenario)
