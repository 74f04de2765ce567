"""Tests of evacuated data centres."""

import asyncio
import contextlib
import typing

import aiohttp
from aiohttp import web
import pytest

from cardamom_gateway import gateway as gateway_module
from cardamom_gateway.locations import evacuations
from cardamom_gateway.targets import reachability
from cardamom_kernel import ids
from cardamom_wire import store as store_module
from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins

PREFIX = store_module.EVACUATION_PREFIX
# A change reaches all instances within some 100 ms.
HEARD_S = 0.5
# Behind a reader that is cut off, changes come from a peer.
HEARD_BEHIND_CUT_S = 2.0
PATHS = ("/read/a", "/write/a", "/chat/a")


async def serve(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve a plain request, or a stream of one event."""
    if replica.service == "engines":
        return await standins.stream_events(request, 1, 0.0)
    return await standins.answer_at_once(replica, request)


async def stream_for_a_while(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve a stream of a second."""
    return await standins.stream_events(request, 10, 0.1)


async def place(
    deployment: standins.Deployment, number: int, zone: str
) -> standins.ReplicaStandIn:
    """Move a replica to a data centre, before any request."""
    replica = deployment.replicas[number]
    replica.zone = zone
    deployment.register(replica)
    await standins.wait_until(
        lambda: all(
            gateway.state.targets.by_id[replica.name].target.data_centre
            == zone
            for gateway in deployment.gateways
        )
    )
    return replica


async def evacuate(deployment: standins.Deployment, zone: str) -> None:
    """Write the row of an evacuation, as the operator does.

    A fleet that starts elects its readers of the store first.
    """
    await standins.wait_until(
        lambda: any(g.store_watch.is_reader() for g in deployment.gateways)
    )
    deployment.store.put("op", PREFIX + zone, {})


async def wait_for(
    gateways: typing.Iterable[gateway_module.Gateway],
    *zones: str,
    timeout_s: float = HEARD_S,
) -> None:
    """Wait until gateways know of these evacuations, and of no others."""
    await standins.wait_until(
        lambda: all(
            set(gateway.state.evacuations.by_data_centre) == set(zones)
            for gateway in gateways
        ),
        timeout_s=timeout_s,
    )


async def send(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    path: str,
    attempt: str,
    model: str = "m1",
    gateway: int = 0,
) -> int:
    """Send a request; return its status, 0 for a broken answer."""
    with contextlib.suppress(aiohttp.ClientError):
        async with session.post(
            deployment.url(path, gateway),
            headers=scenarios.headers(
                attempt, **scenarios.model_headers(model)
            ),
        ) as answer:
            await answer.read()
            return answer.status
    return 0


async def send_many(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    path: str,
    prefix: str,
    count: int = 40,
    model: str = "m1",
) -> list[int]:
    """Send requests to all gateways in turn; return their statuses."""
    return await asyncio.gather(
        *(
            send(
                deployment,
                session,
                path,
                f"{prefix}{number}",
                model,
                number % len(deployment.gateways),
            )
            for number in range(count)
        )
    )


class TestEvacuation:
    """A data centre that is evacuated beside another one."""

    @pytest.mark.parametrize("path", PATHS)
    def test_its_targets_get_nothing_until_it_ends(self, path: str) -> None:
        """Requests reached them as before."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            number = 3 if path == "/chat/a" else 1
            evacuated = await place(deployment, number, "bog-b")
            for replica in deployment.replicas:
                replica.behaviour = serve
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            statuses = await send_many(deployment, session, path, "a")
            assert statuses == [200] * len(statuses)
            assert evacuated.requests == []
            assert all(gateway.is_ready for gateway in deployment.gateways)
            deployment.store.remove("op", PREFIX + "bog-b")
            await wait_for(deployment.gateways)
            await send_many(deployment, session, path, "b")
            assert evacuated.requests

        scenarios.run_scenario(scenario, plain=2, engines=2, gateways=2)

    @pytest.mark.parametrize("path", PATHS)
    def test_requests_are_refused_while_no_target_is_left(
        self, path: str
    ) -> None:
        """They must be told at once that they haven't run, and when to return.

        Instances stay ready: the balancer has no better ones.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await evacuate(deployment, "bog-a")
            await wait_for(deployment.gateways, "bog-a")
            if path == "/chat/a":  # the last holders serve for a while
                await asyncio.sleep(
                    evacuations.LAST_HOLDERS_FRACTION * 5.0 + 0.1
                )
            started_s = asyncio.get_running_loop().time()
            async with session.post(
                deployment.url(path),
                headers=scenarios.headers(
                    "a1", **scenarios.model_headers("m1")
                ),
            ) as answer:
                assert answer.status == 503
                assert "every target is evacuated" in await answer.text()
                assert float(answer.headers["Retry-After"]) >= 1
            assert asyncio.get_running_loop().time() - started_s < 0.5
            assert not any(r.requests for r in deployment.replicas)
            assert all(gateway.is_ready for gateway in deployment.gateways)

        scenarios.run_scenario(scenario, plain=2, engines=1)

    def test_streams_that_run_there_finish_there(self) -> None:
        """They would be run twice, or broken off."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            evacuated = await place(deployment, 0, "bog-b")
            evacuated.behaviour = stream_for_a_while
            stream = asyncio.create_task(
                send(deployment, session, "/chat/a", "a1")
            )
            await standins.wait_until(lambda: bool(evacuated.requests))
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            assert await stream == 200
            assert len(evacuated.requests) == 1
            assert evacuated.cancelled_requests == 0

        scenarios.run_scenario(scenario, plain=0, engines=1)

    def test_retries_stay_outside(self) -> None:
        """A retry reached the evacuated target as the only untried one."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            evacuated = await place(deployment, 1, "bog-b")
            failing = deployment.replicas[0]

            async def break_off(
                replica: standins.ReplicaStandIn, request: web.BaseRequest
            ) -> web.StreamResponse:
                standins.reset(request)
                return web.Response()

            failing.behaviour = break_off
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            assert await send(deployment, session, "/read/a", "a1") == 502
            assert failing.requests
            assert evacuated.requests == []

        scenarios.run_scenario(scenario, plain=2, engines=0)

    def test_targets_count_as_cold_afterwards(self) -> None:
        """They may have turned cold, and a full load would crash them."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            gateway = deployment.gateways[0]
            await scenarios.lift_limits(
                deployment, cold_start_s=3.0, cold_per_s=9.2
            )
            evacuated = await place(deployment, 1, "bog-b")
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            deployment.store.remove("op", PREFIX + "bog-b")
            await wait_for(deployment.gateways)
            evacuated.born_ms += 1  # a new record
            await deployment.register_and_wait(evacuated)
            records = gateway.state.targets.by_id
            now_ms = gateway.clock.now_ms()
            returned = records[evacuated.name].cold
            assert returned.is_cold(now_ms + 2_000)
            assert not returned.is_cold(now_ms + 3_000)
            assert not records[deployment.replicas[0].name].cold.is_cold(
                now_ms
            )

        scenarios.run_scenario(scenario, plain=2, engines=0)


class TestLearning:
    """How instances learn of an evacuation."""

    def test_instance_that_starts_sends_nothing_there(self) -> None:
        """It reads the row with the configuration, and its age is unknown."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            evacuated = await place(deployment, 0, "bog-b")
            evacuated.behaviour = serve
            await evacuate(deployment, "bog-b")
            gateway = await deployment.start_gateway()
            await standins.wait_until(lambda: gateway.is_ready)
            status = await send(deployment, session, "/chat/a", "a1", "m1", 1)
            assert status == 503
            assert evacuated.requests == []

        scenarios.run_scenario(scenario, plain=0, engines=1)

    def test_row_that_an_older_copy_lacks_stays_in_force(self) -> None:
        """The operator writes it again only some seconds later."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store = deployment.store
            evacuated = await place(deployment, 1, "bog-b")
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            del store.row_by_name[("op", PREFIX + "bog-b")]
            store.written = [
                write
                for write in store.written
                if write[1] != ("op", PREFIX + "bog-b")
            ]
            store.return_from_copy(1)
            store.answer_feeds()
            await standins.wait_until(
                lambda: all(
                    gateway.configurations.version.era == 2
                    and gateway.configurations.version.number > 0
                    for gateway in deployment.gateways
                )
            )
            await send_many(deployment, session, "/read/a", "a")
            assert evacuated.requests == []
            await evacuate(deployment, "bog-b")
            deployment.store.remove("op", PREFIX + "bog-b")
            await wait_for(deployment.gateways, timeout_s=HEARD_BEHIND_CUT_S)
            await send_many(deployment, session, "/read/a", "b")
            assert evacuated.requests

        scenarios.run_scenario(scenario, plain=2, engines=0, gateways=2)

    def test_instance_cut_off_from_the_store_learns_from_a_peer(self) -> None:
        """Nobody in its data centre may reach the store."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            store = deployment.store
            cut = await deployment.start_gateway(
                data_centre=ids.DataCentreId("bog-c")
            )
            await standins.wait_until(
                lambda: cut.is_ready and bool(cut.link.fresh_peers())
            )
            calls = cut._store._store
            assert isinstance(calls, store_module.HttpStore)
            calls._base = "http://127.0.0.1:9"
            store.answer_feeds()
            await standins.wait_until(
                lambda: not cut.configurations.is_reached
            )
            await asyncio.sleep(1.0)
            await evacuate(deployment, "bog-b")
            await wait_for(
                deployment.gateways, "bog-b", timeout_s=HEARD_BEHIND_CUT_S
            )
            store.remove("op", PREFIX + "bog-b")
            await wait_for(deployment.gateways, timeout_s=HEARD_BEHIND_CUT_S)

        scenarios.run_scenario(scenario, plain=1, engines=0, gateways=1)


class TestEngines:
    """Engines in an evacuated data centre."""

    def test_models_that_only_they_hold_are_loaded_elsewhere(self) -> None:
        """Requests for them would be refused until the evacuation ends."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            inside, outside = deployment.replicas[1], deployment.replicas[0]
            for replica in deployment.replicas:
                replica.behaviour = serve
            inside.models = {"m3": []}
            inside.born_ms += 1
            await place(deployment, 1, "bog-b")
            await standins.wait_until(
                lambda: any(g.placer.may_order for g in deployment.gateways)
            )
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            reports, orders = inside.sent_reports, len(inside.orders)
            end_s = asyncio.get_running_loop().time() + 5.0
            statuses = []
            while asyncio.get_running_loop().time() < end_s:
                statuses += await send_many(
                    deployment,
                    session,
                    "/chat/a",
                    f"a{len(statuses)}-",
                    count=2,
                    model="m3",
                )
                await asyncio.sleep(0.1)
            assert statuses == [200] * len(statuses)
            assert "m3" in outside.models
            assert inside.requests
            before = len(inside.requests)
            await send_many(
                deployment, session, "/chat/a", "b", 10, model="m3"
            )
            assert len(inside.requests) == before
            assert (inside.sent_reports, len(inside.orders)) == (
                reports,
                orders,
            )

        scenarios.run_scenario(scenario, plain=0, engines=2, gateways=2)

    def test_returning_engine_is_not_overcommitted(self) -> None:
        """A holder that began its term meanwhile hasn't heard its report.

        It may not ask for one before the end of the evacuation.

        That no engine is ordered to hold more than fits is checked at the end
        of every scenario.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            for replica in deployment.replicas:
                replica.behaviour = serve
            evacuated = await place(deployment, 1, "bog-b")
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            reports = evacuated.sent_reports
            await deployment.start_gateway()
            holder = next(g for g in deployment.gateways if g.placer.is_holder)
            holder.begin_stop()
            deployment.gateways.remove(holder)
            deployment.gateways.append(holder)  # for its close
            (other,) = (g for g in deployment.gateways if g is not holder)
            await standins.wait_until(lambda: other.placer.may_order, 15.0)
            await asyncio.sleep(HEARD_S)  # several periods of reports
            assert evacuated.sent_reports == reports
            assert evacuated.orders == []
            deployment.store.remove("op", PREFIX + "bog-b")
            await wait_for([other])
            statuses = [
                await send(deployment, session, "/chat/a", f"a{n}", "m3")
                for n in range(20)
            ]
            assert 200 in statuses
            assert evacuated.sent_reports > reports

        scenarios.run_scenario(scenario, plain=0, engines=2)


class TestRelays:
    """Requests through peers, and connections without a request."""

    def test_relay_refuses_them_as_not_connected(self) -> None:
        """The sender may not know of the evacuation yet."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            deployment = linked.deployment
            await place(deployment, 0, "bog-b")
            await linked.cut({0}, cuts.Cut.RESET)
            for number in range(4):
                await cuts.status_of(linked, 0, "/read/a", f"a{number}")
            sender, relay = deployment.gateways
            sender.evacuation_rows.apply = (  # type: ignore[method-assign]
                lambda *changes: None
            )
            await evacuate(deployment, "bog-b")
            await wait_for([relay], "bog-b")
            assert not sender.state.evacuations.by_data_centre
            before = len(deployment.replicas[0].requests)
            assert before
            for number in range(4):
                status = await cuts.status_of(
                    linked, 0, "/read/a", f"b{number}"
                )
                assert status == 503
            assert len(deployment.replicas[0].requests) == before

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)

    def test_no_connections_are_tried_from_here(self) -> None:
        """A target that only peers reach is tried periodically else."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            deployment = linked.deployment
            gateway = deployment.gateways[0]
            await place(deployment, 0, "bog-b")
            await evacuate(deployment, "bog-b")
            await wait_for(deployment.gateways, "bog-b")
            record = gateway.state.targets.by_id[deployment.replicas[0].name]
            gateway.reachability._mark_relayed(record)
            await asyncio.sleep(2 * reachability.RETRY_PERIOD_MS / 1000)
            assert record.is_relayed
            deployment.store.remove("op", PREFIX + "bog-b")
            await wait_for(deployment.gateways)
            await standins.wait_until(lambda: not record.is_relayed)

        cuts.run_linked(scenario, plain=2, engines=0, gateways=2)
