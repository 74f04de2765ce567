"""Tests of targets that say in their answers that they leave."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins

LEAVING = {"Server-Leaving": "1"}
# Time until peers have heard of it, far below the operators' two seconds.
HEARD_S = 0.5
LOAD_S = 2.0
REQUESTS_PER_S = 40
PATHS = ("/read/a", "/write/a", "/chat/a")


async def leave_and_answer(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve, and say that this replica leaves."""
    if replica.service == "engines":
        answer = await standins.begin_stream(request, LEAVING)
        await answer.write(standins.event(1))
        await answer.write_eof()
        return answer
    return web.Response(
        text=replica.name, headers=standins.signed(request) | LEAVING
    )


async def leave_and_reject(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Reject a request, and say that this replica leaves."""
    headers = {
        "Attempt-Id": request.headers["Attempt-Id"],
        "Not-Executed": "1",
    }
    return web.Response(status=503, headers=headers | LEAVING)


async def break_off_leaving(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Say that this replica leaves, and break the answer off."""
    answer = web.StreamResponse(headers=standins.signed(request) | LEAVING)
    answer.content_length = 100
    await answer.prepare(request)
    standins.reset(request)
    return answer


async def stream_once(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve a plain request, or a stream of one event."""
    if replica.service == "engines":
        return await standins.stream_events(request, 1, 0.0)
    return await standins.answer_at_once(replica, request)


async def send_for(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    path: str,
    duration_s: float,
    prefix: str,
) -> list[int]:
    """Send requests to all gateways in turn; return their statuses."""

    async def send(number: int) -> int:
        async with session.post(
            deployment.url(path, number % len(deployment.gateways)),
            headers=scenarios.headers(
                f"{prefix}{number}", **scenarios.model_headers("m1")
            ),
        ) as answer:
            try:
                await answer.read()
            except aiohttp.ClientPayloadError:
                return 0
            return answer.status

    sends = []
    for number in range(round(duration_s * REQUESTS_PER_S)):
        sends.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*sends)


class TestStatedLeaving:
    """A target whose entry says nothing of its leaving."""

    @pytest.mark.parametrize("is_store_down", [False, True])
    @pytest.mark.parametrize("behaviour", [leave_and_answer, leave_and_reject])
    @pytest.mark.parametrize("path", PATHS)
    def test_it_gets_no_new_requests_from_any_instance(
        self, path: str, behaviour: standins.Behaviour, is_store_down: bool
    ) -> None:
        """It went on getting its share, and broke requests off as it ended."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            for replica in deployment.replicas:
                replica.behaviour = stream_once
            if is_store_down:
                deployment.store.is_down = True
                deployment.store.forget_history()
            leaving = next(
                r
                for r in deployment.replicas
                if (r.service == "engines") == (path == "/chat/a")
            )
            leaving.behaviour = behaviour
            await send_for(deployment, session, path, HEARD_S, "a")
            assert leaving.requests
            before = len(leaving.requests)
            statuses = await send_for(deployment, session, path, LOAD_S, "b")
            assert len(leaving.requests) == before
            assert statuses.count(200) >= 0.98 * len(statuses)

        scenarios.run_scenario(scenario, plain=3, engines=3, gateways=2)

    def test_answer_that_breaks_off_counts(self) -> None:
        """Its head has arrived."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            leaving = deployment.replicas[0]
            leaving.behaviour = break_off_leaving
            await send_for(deployment, session, "/write/a", LOAD_S, "a")
            assert len(leaving.requests) == 1

        scenarios.run_scenario(scenario, plain=2, engines=0)

    def test_requests_are_refused_while_all_targets_leave(self) -> None:
        """A refusal has to be true, and to say when to return."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            for replica in deployment.replicas:
                replica.behaviour = leave_and_answer
            await send_for(deployment, session, "/write/a", HEARD_S, "a")
            ran = sum(len(r.requests) for r in deployment.replicas)
            async with session.post(
                deployment.url("/write/a"), headers=scenarios.headers("last")
            ) as answer:
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) > 0
            assert ran == sum(len(r.requests) for r in deployment.replicas)

        scenarios.run_scenario(scenario, plain=2, engines=0)

    def test_next_start_serves_again(self) -> None:
        """A restart under the same id is another incarnation."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            leaving = deployment.replicas[0]
            leaving.behaviour = leave_and_answer
            await send_for(deployment, session, "/read/a", HEARD_S, "a")
            # A later entry of the same start changes nothing.
            await deployment.register_and_wait(leaving)
            before = len(leaving.requests)
            await send_for(deployment, session, "/read/a", HEARD_S, "b")
            assert len(leaving.requests) == before
            leaving.behaviour = standins.answer_at_once
            leaving.born_ms += 1
            await deployment.register_and_wait(leaving)
            await send_for(deployment, session, "/read/a", HEARD_S, "c")
            assert len(leaving.requests) > before

        scenarios.run_scenario(scenario, plain=2, engines=0)

    def test_relaying_instance_heeds_the_answers_that_it_passes_on(
        self,
    ) -> None:
        """It would go on sending requests of other callers there."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            leaving = linked.deployment.replicas[0]
            leaving.behaviour = leave_and_answer
            await linked.cut({0}, cuts.Cut.RESET)
            for number in range(4):
                await cuts.status_of(linked, 0, "/read/a", f"a{number}")
            assert leaving.requests
            before = len(leaving.requests)
            for number in range(20):
                status = await cuts.status_of(
                    linked, number % 2, "/read/a", f"b{number}"
                )
                assert status == 200
            assert len(leaving.requests) == before

        cuts.run_linked(scenario, plain=2, engines=0, gateways=2)
