"""Tests of targets that turn requests away with 503 and Retry-After."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins
from tests.wire import test_stated_leaving

LOAD_S = 2.6
PAUSE_S = 2
# The operators count requests from this long after the answer on.
GRACE_S = 0.5
ALLOWED = 2


class PausingReplica:
    """Rejects requests for a time that it states, and notes arrivals."""

    def __init__(self, retry_after: str = str(PAUSE_S)) -> None:
        self._retry_after = retry_after
        self.arrivals_s: list[float] = []
        self.is_pausing = True

    async def behave(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Reject a request, or serve it once the pause is over."""
        self.arrivals_s.append(asyncio.get_running_loop().time())
        if not self.is_pausing:
            return await test_stated_leaving.stream_once(replica, request)
        headers = {
            "Attempt-Id": request.headers["Attempt-Id"],
            "Not-Executed": "1",
            "Retry-After": self._retry_after,
        }
        return web.Response(status=503, headers=headers)

    def counted(self) -> int:
        """Return the arrivals that count in the first time it has stated."""
        first_s = self.arrivals_s[0]
        return sum(
            GRACE_S < at_s - first_s < PAUSE_S for at_s in self.arrivals_s
        )


def pause(
    replicas: list[standins.ReplicaStandIn], retry_after: str = str(PAUSE_S)
) -> list[PausingReplica]:
    """Let replicas reject requests."""
    pausing = [PausingReplica(retry_after) for _ in replicas]
    for replica, behaviour in zip(replicas, pausing, strict=True):
        replica.behaviour = behaviour.behave
    return pausing


class TestStatedPause:
    """What reaches a target in the time that it has stated."""

    @pytest.mark.parametrize("pausing_targets", [1, 3])
    @pytest.mark.parametrize("path", test_stated_leaving.PATHS)
    def test_others_serve_meanwhile(
        self, path: str, pausing_targets: int
    ) -> None:
        """The target got its share of requests, and of their retries."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            for replica in deployment.replicas:
                replica.behaviour = test_stated_leaving.stream_once
            of_service = [
                r
                for r in deployment.replicas
                if (r.service == "engines") == (path == "/chat/a")
            ]
            pausing = pause(of_service[:pausing_targets])
            await test_stated_leaving.send_for(
                deployment, session, path, GRACE_S, "a"
            )
            statuses = await test_stated_leaving.send_for(
                deployment, session, path, PAUSE_S - GRACE_S - 0.2, "b"
            )
            assert sum(bool(p.arrivals_s) for p in pausing) >= 1
            for replica in pausing:
                if replica.arrivals_s:
                    assert replica.counted() <= ALLOWED
            assert statuses.count(200) >= 0.98 * len(statuses)

        scenarios.run_scenario(scenario, plain=4, engines=4)

    def test_requests_are_refused_while_all_pause(self) -> None:
        """Each was sent on, and refused without the time to return."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            pausing = pause(deployment.replicas)
            await test_stated_leaving.send_for(
                deployment, session, "/write/a", GRACE_S, "a"
            )
            before = [len(p.arrivals_s) for p in pausing]
            async with session.post(
                deployment.url("/write/a"), headers=scenarios.headers("b")
            ) as answer:
                assert answer.status == 503
                returns_s = float(answer.headers["Retry-After"])
            assert 1.0 < returns_s < PAUSE_S + 1.0
            assert [len(p.arrivals_s) for p in pausing] == before

        scenarios.run_scenario(scenario, plain=2, engines=0)

    def test_target_returns_with_one_request_at_a_time(self) -> None:
        """All that waited would arrive at the same moment."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            (pausing,) = pause(deployment.replicas[:1], "0.6")
            await test_stated_leaving.send_for(
                deployment, session, "/read/a", LOAD_S, "a"
            )
            first_s = pausing.arrivals_s[0]
            after = [at_s - first_s for at_s in pausing.arrivals_s]
            # It rejects a first one each time, and at most one at a time.
            assert 2 <= len(after) <= 1 + ALLOWED + LOAD_S / 0.6
            pausing.is_pausing = False
            before = len(pausing.arrivals_s)
            await asyncio.sleep(1.2)
            await test_stated_leaving.send_for(
                deployment, session, "/read/a", LOAD_S, "b"
            )
            assert len(pausing.arrivals_s) - before >= 10

        scenarios.run_scenario(scenario, plain=2, engines=0)

    @pytest.mark.parametrize(
        "retry_after",
        ["-1", "nan", "inf", "x", "0", "Fri, 31 Dec 1999 23:59:59 GMT", ""],
    )
    def test_other_values_state_no_time(self, retry_after: str) -> None:
        """A target could be left out for ever by a value that isn't one."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (pausing,) = pause(deployment.replicas, retry_after)
            await status_of(deployment, session, "a")
            pausing.is_pausing = False
            assert await status_of(deployment, session, "b") == 200

        scenarios.run_scenario(scenario, plain=1, engines=0)

    def test_next_start_serves_at_once(self) -> None:
        """A very long time ends with the incarnation that stated it."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (replica,) = deployment.replicas
            (pausing,) = pause([replica], "1e9")
            await status_of(deployment, session, "a")
            pausing.is_pausing = False
            assert await status_of(deployment, session, "b") == 503
            replica.born_ms += 1
            await deployment.register_and_wait(replica)
            assert await status_of(deployment, session, "c") == 200

        scenarios.run_scenario(scenario, plain=1, engines=0)

    def test_relaying_instance_heeds_it_too(self) -> None:
        """What it sends on for a peer counts as its own."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            (pausing,) = pause(linked.deployment.replicas[:1])
            await linked.cut({0}, cuts.Cut.RESET)
            for number in range(4):
                await cuts.status_of(linked, 0, "/read/a", f"a{number}")
            assert pausing.arrivals_s
            before = len(pausing.arrivals_s)
            for number in range(20):
                status = await cuts.status_of(
                    linked, number % 2, "/read/a", f"b{number}"
                )
                assert status == 200
            assert len(pausing.arrivals_s) == before

        cuts.run_linked(scenario, plain=2, engines=0, gateways=2)


async def status_of(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    attempt: str,
) -> int:
    """Return the status of a request that may run once."""
    async with session.post(
        deployment.url("/write/a"), headers=scenarios.headers(attempt)
    ) as answer:
        await answer.read()
        return answer.status
