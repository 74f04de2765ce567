"""Tests of a planned stop of an instance that is under load."""

import asyncio
import random

import aiohttp
from aiohttp import web
import pytest

from cardamom_gateway import gateway as gateway_module
from tests.wire import scenarios
from tests.wire import standins

CALLERS = 24
RUN_S = 0.09
MAX_PAUSE_S = 0.2
# The balancer asks each second, and needs two answers other than 200.
READINESS_PERIOD_S = 1.0


class Balancer:
    """Sends new connections to the first gateway until it isn't ready."""

    def __init__(self, deployment: standins.Deployment) -> None:
        self._deployment = deployment
        self._misses = 0

    async def watch(self) -> None:
        """Ask whether the first gateway is ready, until cancelled."""
        settings = self._deployment.gateways[0].settings
        url = f"http://{settings.readiness}/api/readyz"
        while True:
            async with aiohttp.request("GET", url) as answer:
                is_ready = answer.status == 200
            self._misses = 0 if is_ready else self._misses + 1
            await asyncio.sleep(READINESS_PERIOD_S)

    @property
    def gateway(self) -> int:
        """Return the number of the gateway for a new connection."""
        return 1 if self._misses >= 2 else 0


async def _call(
    deployment: standins.Deployment, balancer: Balancer, name: str
) -> list[str]:
    """Call until the first gateway has stopped; return what went wrong."""
    failures: list[str] = []
    number = 0
    while not deployment.gateways[0].stopped.is_set():
        number += 1
        gateway = balancer.gateway
        # A session of its own, so that its connection stays at one gateway.
        async with aiohttp.ClientSession() as session:
            for path in ("/read/a", "/write/a", "/chat/a"):
                head = scenarios.headers(
                    f"{name}-{number}-{path}", **scenarios.model_headers("m1")
                )
                method = "POST" if path == "/chat/a" else "GET"
                try:
                    async with session.request(
                        method, deployment.url(path, gateway), headers=head
                    ) as answer:
                        await answer.read()
                        if answer.status != 200:
                            failures.append(f"{path} {answer.status}")
                        if answer.headers.get("Connection") == "close":
                            break
                except aiohttp.ClientError as error:
                    failures.append(f"{path} {error!r}")
                await asyncio.sleep(random.uniform(0, MAX_PAUSE_S))
    return failures


async def _run_briefly(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    if request.path == "/chat/a":
        return await standins.stream_events(request, 4, RUN_S)
    await asyncio.sleep(RUN_S)
    return await standins.answer_at_once(replica, request)


class TestStopUnderLoad:
    """Callers that go on until the balancer takes the instance out."""

    def test_no_accepted_request_is_cut_off(self) -> None:
        """Requests that were just accepted could end without an answer."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            configuration = standins.configuration(8)
            configuration["tenants"][0]["rate_per_s"] = 1_000_000
            deployment.store.put("op", "config", configuration)
            for replica in deployment.replicas:
                replica.behaviour = _run_briefly
            first: gateway_module.Gateway = deployment.gateways[0]
            await standins.wait_until(
                lambda: first.state.configuration.version == 8
            )
            balancer = Balancer(deployment)
            watch = asyncio.create_task(balancer.watch())
            callers = [
                asyncio.create_task(_call(deployment, balancer, f"c{n}"))
                for n in range(CALLERS)
            ]
            await asyncio.sleep(1.0)
            first.begin_stop()
            await asyncio.wait_for(first.stopped.wait(), 8)
            watch.cancel()
            failures = [
                f for failed in await asyncio.gather(*callers) for f in failed
            ]
            assert failures == []

        scenarios.run_scenario(scenario, plain=6, engines=2, gateways=2)


LATE_S = 2.3  # after the signal, while new connections may still come
TOO_LATE_S = 3.0  # when the balancer sends no more of them
LONG_S = 60.0
FIRST_CALLS = 2


async def _run_for_long(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Answer long after the end of the grace, the first call at once."""
    if not request.headers["Attempt-Id"].startswith("first"):
        await asyncio.sleep(LONG_S)
    return await standins.answer_at_once(replica, request)


async def _call_after(
    deployment: standins.Deployment, path: str, delay_s: float
) -> tuple[int, str, str]:
    """Return status, text and Connection of a call on a kept connection.

    The status is 0 for a connection that was closed without an answer.
    """
    async with aiohttp.ClientSession() as session:
        for attempt in ("first", "second"):
            head = scenarios.headers(
                f"{attempt}{path}{delay_s}",
                Deadline_Ms="30000",
                **scenarios.model_headers("m1"),
            )
            try:
                async with session.post(
                    deployment.url(path), headers=head
                ) as answer:
                    text = await answer.text()
            except aiohttp.ClientError as error:
                return 0, repr(error), ""
            if attempt == "first":
                assert answer.status == 200
                deployment.gateways[0].begin_stop()
                await asyncio.sleep(delay_s)
        return answer.status, text, answer.headers.get("Connection", "")


class TestLongCalls:
    """Calls that still run at the end of the grace."""

    @pytest.mark.parametrize("path", ["/write/a", "/read/a", "/once/a"])
    def test_call_that_still_runs_at_the_end_is_answered(
        self, path: str
    ) -> None:
        """Its connection was closed without an answer."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            for replica in deployment.replicas:
                replica.behaviour = _run_for_long
            gateway = deployment.gateways[0]
            status, text, _ = await _call_after(deployment, path, LATE_S)
            await asyncio.wait_for(gateway.stopped.wait(), 8)
            assert status == 502, text

        scenarios.run_scenario(scenario, plain=2, engines=2)

    @pytest.mark.parametrize("path", ["/write/a", "/once/a"])
    def test_call_that_comes_late_in_the_grace_is_refused_at_once(
        self, path: str
    ) -> None:
        """It would be cut off at the end, and may not be repeated then."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            for replica in deployment.replicas:
                replica.behaviour = _run_for_long
            running = asyncio.create_task(_call_after(deployment, path, 0.1))
            status, text, connection = await _call_after(
                deployment, path, TOO_LATE_S
            )
            await running
            assert status == 503
            assert text.startswith("draining")
            assert connection == "close"
            requests = [r for p in deployment.replicas for r in p.requests]
            assert len(requests) == FIRST_CALLS + 1

        scenarios.run_scenario(scenario, plain=2, engines=2)
