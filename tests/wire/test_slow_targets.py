"""Tests of targets that answer several times slower than others."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from tests.wire import scenarios
from tests.wire import standins
from tests.wire import test_stated_leaving

DELAY_S = 0.7
LOAD_S = 3.0


class CountingReplica:
    """Serves requests after a delay, and notes arrivals."""

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self.arrivals = 0

    async def behave(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a request after the delay."""
        self.arrivals += 1
        await asyncio.sleep(self._delay_s)
        return await test_stated_leaving.stream_once(replica, request)


class TestSlowTarget:
    """What reaches a target that is slow."""

    @pytest.mark.parametrize("path", ["/read/a", "/chat/a"])
    def test_it_gets_fewer_requests_than_the_others(self, path: str) -> None:
        """Guards against answers that nobody learns from.

        While others are idle a slow target gets few requests by its load
        alone, so it must also have been found to be slow.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            of_service = [
                r
                for r in deployment.replicas
                if (r.service == "engines") == (path == "/chat/a")
            ]
            counting = [
                CountingReplica(0.0 if number else DELAY_S)
                for number, _ in enumerate(of_service)
            ]
            for replica, behaviour in zip(of_service, counting, strict=True):
                replica.behaviour = behaviour.behave
            await test_stated_leaving.send_for(
                deployment, session, path, LOAD_S, "a"
            )
            before = [replica.arrivals for replica in counting]
            await test_stated_leaving.send_for(
                deployment, session, path, LOAD_S, "b"
            )
            slow, *others = (
                replica.arrivals - earlier
                for replica, earlier in zip(counting, before, strict=True)
            )
            assert slow < 0.5 * sum(others) / len(others)
            found = [
                sample.value
                for gateway in deployment.gateways
                for metric in gateway.state.metrics.slow_targets.collect()
                for sample in metric.samples
                if sample.name.endswith("_total")
            ]
            assert sum(found) >= 1

        scenarios.run_scenario(scenario, plain=4, engines=4)
