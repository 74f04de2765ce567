"""Tests of gateways that are cut off from all targets for a while."""

import asyncio
import dataclasses
from unittest import mock

from aiohttp import web
import pytest

from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins

# The operators count first tries from this long after the cut began.
CONTACT_S = 3.0
CUT_S = 7.0
MIN_SERVED_RATIO = 2 / 3
RUN_S = 0.1
REQUESTS_PER_S = 24
SHARED_PART = "5c1e07a2"
PATHS = ("/read/x", "/write/x", "/chat/x")
RESETS = 3
BROKEN_STREAMS = 8
SOUND_STREAMS = 12
PREFILL_S = 0.6
RESET_S = 0.8
RECOVERY_S = 1.5
SUCCESSION_S = 5.0


async def stream(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Stream three events, the first one after a while."""
    await asyncio.sleep(RUN_S)
    return await standins.stream_events(request, count=3, period_s=0.02)


async def prefill_for_long(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Stream events, the first one after a long time."""
    await asyncio.sleep(PREFILL_S)
    return await stream(replica, request)


async def send_stream(
    linked: cuts.LinkedDeployment, gateway: int, attempt: str
) -> int:
    """Return the status of a stream; all share a part of their prompts."""
    return await cuts.status_of(
        linked,
        gateway,
        "/chat/x",
        attempt,
        **scenarios.model_headers("m1"),
        Prompt_Prefix=f"{SHARED_PART}:50,{attempt.encode().hex()}:50",
    )


async def answer_late(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Answer after a while."""
    await asyncio.sleep(RUN_S)
    return await standins.answer_at_once(replica, request)


def behave(deployment: standins.Deployment) -> None:
    """Let engines stream, and other replicas answer."""
    for replica in deployment.replicas:
        is_engine = replica.service == "engines"
        replica.behaviour = stream if is_engine else answer_late


@dataclasses.dataclass
class Sent:
    """One request: its gateway, when it was sent, and its status."""

    gateway: int
    path: str
    sent_s: float
    status: int


async def send_for(
    linked: cuts.LinkedDeployment, duration_s: float
) -> list[Sent]:
    """Send requests of all kinds to all gateways for a while."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    gateways = len(linked.deployment.gateways)

    async def send(number: int) -> Sent:
        path = PATHS[number // gateways % len(PATHS)]
        sent_s = loop.time() - begun_s
        status = await cuts.status_of(
            linked,
            number % gateways,
            path,
            f"a{number}-{begun_s}",
            **scenarios.model_headers("m1"),
            Prompt_Prefix=f"{SHARED_PART}:50,{number + 4096:08x}:50",
        )
        return Sent(number % gateways, path, sent_s, status)

    tasks = []
    for number in range(round(duration_s * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return list(await asyncio.gather(*tasks))


def served_ratio(sent: list[Sent], gateways: set[int], path: str) -> float:
    """Return the share of requests to a path served at some gateways."""
    statuses = [
        s.status for s in sent if s.gateway in gateways and s.path == path
    ]
    return statuses.count(200) / len(statuses)


class TestCutInstances:
    """Callers of instances without links to targets."""

    @pytest.mark.parametrize("how", list(cuts.Cut))
    @pytest.mark.parametrize("cut", [{0}, {0, 1, 2}])
    def test_callers_of_cut_instances_are_served_through_others(
        self, cut: set[int], how: cuts.Cut
    ) -> None:
        """An instance took its own link for the state of all targets."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            behave(linked.deployment)
            await send_for(linked, 0.5)
            await linked.cut(cut, how)
            sent = await send_for(linked, CUT_S)
            await linked.restore(cut)
            counted = [s for s in sent if s.sent_s >= CONTACT_S]
            for path in PATHS:
                others = served_ratio(counted, set(range(4)) - cut, path)
                assert others >= 0.9
                served = served_ratio(counted, cut, path)
                assert served >= MIN_SERVED_RATIO * others
            await asyncio.sleep(1.0)
            afterwards = await send_for(linked, 1.0)
            assert {s.status for s in afterwards} == {200}
            written = [
                headers["Attempt-Id"]
                for replica in linked.deployment.replicas
                for path, headers, _ in replica.requests
                if path.startswith("/write/")
            ]
            assert len(written) == len(set(written))

        cuts.run_linked(scenario, plain=3, engines=3, gateways=4)


class TestRelayedRequests:
    """Single requests that go through a peer."""

    def test_target_hears_of_a_caller_that_leaves(self) -> None:
        """It would work on for nobody."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            (replica,) = linked.deployment.replicas
            replica.behaviour = standins.never_answer
            await linked.cut({0}, cuts.Cut.RESET)
            send = asyncio.create_task(
                cuts.status_of(linked, 0, "/read/x", "leaves")
            )
            await standins.wait_until(lambda: len(replica.requests) == 1)
            send.cancel()
            await standins.wait_until(
                lambda: replica.cancelled_requests == 1, timeout_s=0.5
            )

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)

    def test_answer_that_breaks_off_is_not_called_not_run(self) -> None:
        """A call that may run once has run, although it went by a peer."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            (replica,) = linked.deployment.replicas

            async def run_and_break(
                replica: standins.ReplicaStandIn, request: web.BaseRequest
            ) -> web.StreamResponse:
                standins.reset(request)
                return web.Response()

            replica.behaviour = run_and_break
            await linked.cut({0}, cuts.Cut.RESET)
            status = await cuts.status_of(linked, 0, "/write/x", "breaks")
            assert status == 502
            assert len(replica.requests) == 1

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)

    def test_peer_whose_build_relays_nothing_is_not_taken_for_the_target(
        self,
    ) -> None:
        """Callers got its 404 as the target's answer, during an upgrade."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            older = linked.deployment.gateways[1]
            await linked.cut({0}, cuts.Cut.RESET)
            with mock.patch.object(
                older.relay, "handle", older.peer_calls.handle
            ):
                status = await cuts.status_of(linked, 0, "/write/x", "w1")
            assert status == 503

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)

    def test_target_that_nobody_reaches_is_refused_as_not_run(self) -> None:
        """The caller may send the request again."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            await linked.cut({0, 1, 2}, cuts.Cut.RESET)
            status = await cuts.status_of(linked, 0, "/write/x", "unsent")
            assert status == 503

        cuts.run_linked(scenario, plain=1, engines=0, gateways=3)


class TestEvidenceOfACutInstance:
    """What an instance says of targets that only it can't reach."""

    def test_sound_prompts_are_not_refused_after_resets_of_one_instance(
        self,
    ) -> None:
        """Its broken links looked like crashes under the prompts."""
        cuts.run_linked(
            assert_no_prompt_is_refused_after_resets,
            plain=0,
            engines=8,
            gateways=3,
        )

    def test_sound_prompts_are_not_refused_after_resets_of_the_last_one(
        self,
    ) -> None:
        """No peer says that the targets are reached by others."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            for gateway in linked.deployment.gateways[1:]:
                await gateway.close()
            del linked.deployment.gateways[1:]
            await assert_no_prompt_is_refused_after_resets(linked)

        cuts.run_linked(scenario, plain=0, engines=8, gateways=2)


async def assert_no_prompt_is_refused_after_resets(
    linked: cuts.LinkedDeployment,
) -> None:
    """Cut one instance from all targets several times under streams."""
    behave(linked.deployment)
    for engine in linked.deployment.replicas:
        engine.behaviour = prefill_for_long
    for number in range(RESETS):
        streams = [
            asyncio.create_task(send_stream(linked, 0, f"{number}-{n}"))
            for n in range(BROKEN_STREAMS)
        ]
        await asyncio.sleep(PREFILL_S / 2)
        await linked.cut({0}, cuts.Cut.RESET)
        await asyncio.gather(*streams)
        await asyncio.sleep(RESET_S)
        await linked.restore({0})
        await asyncio.sleep(RECOVERY_S)
    behave(linked.deployment)
    statuses = [
        await send_stream(
            linked, number % len(linked.deployment.gateways), f"sound-{number}"
        )
        for number in range(SOUND_STREAMS)
    ]
    assert statuses.count(200) == SOUND_STREAMS


class TestCutHolderOfOrders:
    """The instance that gives orders to engines, without links to them."""

    def test_another_instance_gives_orders_within_seconds(self) -> None:
        """No model or adapter would be loaded anywhere until the cut ends."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            behave(linked.deployment)
            gateways = linked.deployment.gateways
            await standins.wait_until(
                lambda: any(gateway.placer.may_order for gateway in gateways)
            )
            holder = next(
                number
                for number, gateway in enumerate(gateways)
                if gateway.placer.may_order
            )
            await linked.cut({holder}, cuts.Cut.RESET)
            load = asyncio.create_task(send_for(linked, CONTACT_S))
            await standins.wait_until(
                lambda: any(
                    gateway.placer.may_order
                    for number, gateway in enumerate(gateways)
                    if number != holder
                ),
                timeout_s=SUCCESSION_S,
            )
            await load
            statuses = [
                await cuts.status_of(
                    linked,
                    number,
                    "/chat/x",
                    f"adapter-{number}",
                    **scenarios.model_headers("m1", f"a{number}"),
                )
                for number in (0, 1)
            ]
            assert statuses == [200, 200]
            await linked.restore({holder})

        cuts.run_linked(scenario, plain=1, engines=2, gateways=3)
