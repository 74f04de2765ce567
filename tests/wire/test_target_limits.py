"""Tests of targets that state how many requests a second they take."""

import asyncio
import dataclasses

import aiohttp
from aiohttp import web
import pytest

from tests.wire import scenarios
from tests.wire import standins

# The operators count requests from this long after the first statement, in
# each span of this length, against one and a half times the limit and 5 more.
CONTACT_S = 3.0
SPAN_S = 4.0
OVERAGE_RATIO = 1.5
SLACK_REQUESTS = 5
RUN_S = 0.1
DURATION_S = 9.0
REQUESTS_PER_S = 40
# Share of what limited targets offer that callers have to get.
MIN_USED_RATIO = 0.6
MIN_SERVED_RATIO = 0.95


@dataclasses.dataclass
class Record:
    """What targets and callers saw, by the event loop's time in s."""

    arrivals_s: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    answers: list[tuple[int, str | None]] = dataclasses.field(
        default_factory=list
    )

    def most_in_span(self, target: str, since_s: float) -> int:
        """Return the most requests in a span that begins after a time."""
        times = [t for t in self.arrivals_s.get(target, []) if t >= since_s]
        return max(
            (
                sum(1 for t in times if first <= t < first + SPAN_S)
                for first in times
            ),
            default=0,
        )

    def statuses(self) -> list[int]:
        """Return the statuses of all answers."""
        return [status for status, _ in self.answers]


class Crowd:
    """Callers at all gateways, and targets that state limits."""

    def __init__(
        self,
        deployment: standins.Deployment,
        limit_by_target: dict[str, str],
        path: str = "/read/x",
    ) -> None:
        self._deployment = deployment
        self.limit_by_target = limit_by_target
        self._path = path
        self.record = Record()

    async def answer(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer after a while, and state the limit."""
        now_s = asyncio.get_running_loop().time()
        self.record.arrivals_s.setdefault(replica.name, []).append(now_s)
        await asyncio.sleep(RUN_S)
        headers = standins.signed(request)
        limit = self.limit_by_target.get(replica.name)
        if limit is not None:
            headers["Server-Limit"] = limit
        return web.Response(text=replica.name, headers=headers)

    async def run(
        self, session: aiohttp.ClientSession, duration_s: float = DURATION_S
    ) -> None:
        """Send requests for a while and wait for their answers."""
        for replica in self._deployment.replicas:
            replica.behaviour = self.answer
        async with asyncio.TaskGroup() as group:
            for number in range(round(duration_s * REQUESTS_PER_S)):
                group.create_task(self._send(session, number))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, session: aiohttp.ClientSession, number: int) -> None:
        ready = [
            number
            for number, gateway in enumerate(self._deployment.gateways)
            if gateway.is_ready
        ]
        async with session.get(
            self._deployment.url(self._path, ready[number % len(ready)]),
            headers=scenarios.headers(f"a{number}"),
        ) as answer:
            await answer.read()
            self.record.answers.append(
                (answer.status, answer.headers.get("Retry-After"))
            )


def allowed_requests(limit: str) -> float:
    """Return how many requests a target may get in a span."""
    return float(limit) * SPAN_S * OVERAGE_RATIO + SLACK_REQUESTS


class TestStatedLimit:
    """Requests of several instances to targets with a limit."""

    @pytest.mark.parametrize(
        ("limit", "limited"), [("1.5", 1), ("1.5", 4), ("0.4", 4), ("0", 1)]
    )
    def test_target_gets_no_more_than_the_limit_that_it_states(
        self, limit: str, limited: int
    ) -> None:
        """Each instance alone would send a target the whole limit."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            targets = [f"p{number}" for number in range(limited)]
            crowd = Crowd(deployment, dict.fromkeys(targets, limit))
            started_s = asyncio.get_running_loop().time()
            await crowd.run(session)
            record = crowd.record
            most = [
                record.most_in_span(target, started_s + CONTACT_S)
                for target in targets
            ]
            assert max(most) <= allowed_requests(limit)
            statuses = record.statuses()
            if limited < len(deployment.replicas):
                served = statuses.count(200) / len(statuses)
                assert served >= MIN_SERVED_RATIO
                return
            offered = float(limit) * limited * DURATION_S
            assert statuses.count(200) >= MIN_USED_RATIO * offered
            assert set(statuses) == {200, 503}
            assert all(
                retry_after and float(retry_after) > 0
                for status, retry_after in record.answers
                if status == 503
            )

        scenarios.run_scenario(scenario, plain=4, engines=0, gateways=3)

    def test_limit_holds_while_instances_come_and_go(self) -> None:
        """Another instance takes over the count of each target."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            targets = [replica.name for replica in deployment.replicas]
            crowd = Crowd(deployment, dict.fromkeys(targets, "1.5"))
            started_s = asyncio.get_running_loop().time()
            load = asyncio.create_task(crowd.run(session))
            await asyncio.sleep(CONTACT_S)
            leaving = deployment.gateways[-1]
            leaving.begin_stop()
            await asyncio.sleep(1.0)
            await deployment.start_gateway()
            await load
            await leaving.stopped.wait()
            most = [
                crowd.record.most_in_span(target, started_s + CONTACT_S)
                for target in targets
            ]
            assert max(most) <= allowed_requests("1.5")

        scenarios.run_scenario(scenario, plain=4, engines=0, gateways=4)

    def test_target_that_states_no_limit_any_more_is_used_again(self) -> None:
        """A limit holds only for as long as the target states it."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            targets = [replica.name for replica in deployment.replicas]
            crowd = Crowd(deployment, dict.fromkeys(targets, "1"))
            await crowd.run(session, duration_s=4.0)
            crowd.limit_by_target.clear()
            await crowd.run(session, duration_s=4.0)
            crowd.record.answers.clear()
            await crowd.run(session, duration_s=1.0)
            assert set(crowd.record.statuses()) == {200}

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=3)

    @pytest.mark.parametrize("value", ["many", "nan", "inf", "-1"])
    def test_value_that_is_no_limit_is_not_used(self, value: str) -> None:
        """The answer is relayed all the same."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            targets = [replica.name for replica in deployment.replicas]
            crowd = Crowd(deployment, dict.fromkeys(targets, value))
            await crowd.run(session, duration_s=0.5)
            assert set(crowd.record.statuses()) == {200}

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=1)
