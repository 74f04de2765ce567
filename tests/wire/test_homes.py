"""Tests of requests that may run in some regions only."""

import dataclasses
from unittest import mock

import aiohttp
from aiohttp import web
import pytest

from cardamom_gateway import gateway as gateway_module
from cardamom_kernel import ids
from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins

REGION_BY_DATA_CENTRE = {"bog-a": "co", "mad-a": "es"}
PATHS = ("/read/a", "/write/a", "/chat/a")


async def serve(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve a plain request, or a stream of one event."""
    if replica.service == "engines":
        return await standins.stream_events(request, 1, 0.0)
    return await standins.answer_at_once(replica, request)


async def break_off(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Break a request off, a stream after its first event."""
    if replica.service == "engines":
        answer = await standins.begin_stream(request)
        await answer.write(standins.event(1))
    standins.reset(request)
    return web.Response()


def set_regions(gateway: gateway_module.Gateway) -> None:
    """Tell a gateway the regions of the data centres."""
    gateway.state.settings = dataclasses.replace(
        gateway.state.settings, region_by_data_centre=REGION_BY_DATA_CENTRE
    )


async def set_homes(
    deployment: standins.Deployment,
    of_routes: list[str],
    of_team: list[str],
    *zones: str,
) -> None:
    """Put homes in force, and place the replicas in turn in data centres."""
    for gateway in deployment.gateways:
        set_regions(gateway)
    for replica, zone in zip(deployment.replicas, zones, strict=True):
        replica.zone = zone
        deployment.register(replica)
    configuration = standins.configuration(9)
    for route in configuration["routes"]:
        route["allowed_regions"] = of_routes
    (team,) = configuration["tenants"]
    team |= {"allowed_regions": of_team, "rate_per_s": 0}
    deployment.store.put("op", "config", configuration)
    zone_by_name = dict(
        zip((r.name for r in deployment.replicas), zones, strict=True)
    )
    await standins.wait_until(
        lambda: all(
            gateway._versions()["cv"] == 9
            and {
                name: record.target.data_centre
                for name, record in gateway.state.targets.by_id.items()
            }
            == zone_by_name
            for gateway in deployment.gateways
        )
    )


async def send(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    path: str,
    attempt: str,
    number: int = 0,
) -> tuple[int, str]:
    """Send a request; return the status and the text, empty if cut."""
    async with session.post(
        deployment.url(path, number),
        headers=scenarios.headers(attempt, **scenarios.model_headers("m1")),
        data="body",
    ) as answer:
        try:
            return answer.status, await answer.text()
        except aiohttp.ClientError:
            return answer.status, ""


class TestHomes:
    """Targets in two regions."""

    @pytest.mark.parametrize(
        ("of_routes", "of_team"),
        [(["es"], []), ([], ["es"]), (["co", "es"], ["es"])],
    )
    @pytest.mark.parametrize("path", PATHS)
    def test_requests_reach_targets_at_home_only(
        self, path: str, of_routes: list[str], of_team: list[str]
    ) -> None:
        """They ran in any region, mostly in that of the instance."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            zones = ["mad-a", "bog-a", "bog-a"] * 2
            await set_homes(deployment, of_routes, of_team, *zones)
            for replica in deployment.replicas:
                replica.behaviour = serve
            for number in range(30):
                status, _ = await send(
                    deployment, session, path, f"a{number}", number % 2
                )
                assert status == 200
            assert all(
                bool(replica.requests)
                == (
                    replica.zone == "mad-a"
                    and (replica.service == "engines") == (path == "/chat/a")
                )
                for replica in deployment.replicas
            )

        scenarios.run_scenario(scenario, plain=3, engines=3, gateways=2)

    @pytest.mark.parametrize(
        ("of_routes", "of_team", "zone"),
        [
            (["co"], ["es"], "bog-a"),
            (["co"], [], "mad-a"),
            (["co"], [], "unknown"),
        ],
    )
    @pytest.mark.parametrize("path", PATHS)
    def test_requests_without_a_target_at_home_are_refused(
        self, path: str, of_routes: list[str], of_team: list[str], zone: str
    ) -> None:
        """They must be told at once that they haven't run, and why."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await set_homes(deployment, of_routes, of_team, zone, zone)
            async with session.post(
                deployment.url(path),
                headers=scenarios.headers(
                    "a1", **scenarios.model_headers("m1")
                ),
            ) as answer:
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) >= 1
                assert "no target is in a home" in await answer.text()
            assert not any(r.requests for r in deployment.replicas)

        scenarios.run_scenario(scenario, plain=1, engines=1)

    @pytest.mark.parametrize("path", ["/read/a", "/chat/a"])
    def test_retries_and_resumed_streams_stay_at_home(self, path: str) -> None:
        """The only untried target is elsewhere."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            zones = ["bog-a", "mad-a"] * 2
            await set_homes(deployment, ["co"], [], *zones)
            for replica in deployment.replicas:
                if replica.zone == "bog-a":
                    replica.behaviour = break_off
                else:
                    replica.behaviour = serve
            status, text = await send(deployment, session, path, "a1")
            assert (status, text) == (200, "") or status == 502
            assert any(r.requests for r in deployment.replicas)
            assert not any(
                r.requests for r in deployment.replicas if r.zone == "mad-a"
            )

        scenarios.run_scenario(scenario, plain=2, engines=2)

    def test_evacuated_home_is_not_replaced_by_another_region(self) -> None:
        """An evacuation would move data out of its region."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await set_homes(deployment, ["co"], [], "bog-a", "mad-a")
            deployment.store.put("op", "evacuate/bog-a", {})
            gateway = deployment.gateways[0]
            await standins.wait_until(
                lambda: bool(gateway.state.evacuations.by_data_centre)
            )
            status, text = await send(deployment, session, "/read/a", "a1")
            assert status == 503
            assert "every target is evacuated: bog-a" in text
            assert not any(r.requests for r in deployment.replicas)

        scenarios.run_scenario(scenario, plain=2, engines=0)


class TestPlacement:
    """Models that no engine at home holds."""

    def test_model_is_loaded_at_home_beside_a_copy_elsewhere(self) -> None:
        """The copy counted as one for all, so requests were never served."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            home, elsewhere = deployment.replicas
            elsewhere.models = {"m3": []}
            elsewhere.born_ms += 1
            home.behaviour = elsewhere.behaviour = serve
            await set_homes(deployment, ["co"], [], "bog-a", "mad-a")
            await standins.wait_until(
                lambda: any(g.placer.may_order for g in deployment.gateways)
            )
            for number in range(6):
                async with session.post(
                    deployment.url("/chat/a", number % 2),
                    headers=scenarios.headers(
                        f"a{number}", **scenarios.model_headers("m3")
                    ),
                ) as answer:
                    assert answer.status == 200
            assert "m3" in home.models
            assert elsewhere.requests == []
            # Once for all of them.
            loads = [o for o in home.orders if o["operation"] == "loading"]
            assert len(loads) == 1

        scenarios.run_scenario(scenario, plain=0, engines=2, gateways=2)


class TestRelays:
    """Instances through which others reach their targets."""

    @pytest.mark.parametrize(
        ("of_routes", "may_relay"), [(["co"], False), ([], True)]
    )
    def test_bodies_pass_through_no_instance_elsewhere(
        self, of_routes: list[str], may_relay: bool
    ) -> None:
        """A peer in another region got the whole request."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            deployment = linked.deployment
            await set_homes(deployment, of_routes, [], "bog-a", "bog-a")
            sender, peer = deployment.gateways
            relayed = count_relayed(peer)
            # The sender takes its peer for one in another region; rows of
            # the store would set it right again.
            member = sender.link.member_by_id[peer.settings.instance]
            elsewhere = dataclasses.replace(
                member, data_centre=ids.DataCentreId("mad-a")
            )
            with mock.patch.object(sender.link, "set_members"):
                sender.link.member_by_id[member.id] = elsewhere
                sender.link.peer_by_id[member.id].member = elsewhere
                await linked.cut({0}, cuts.Cut.RESET)
                statuses = [
                    await cuts.status_of(linked, 0, "/read/a", f"a{number}")
                    for number in range(6)
                ]
            assert bool(relayed) == may_relay
            assert (200 in statuses) == may_relay

        cuts.run_linked(scenario, plain=2, engines=0, gateways=2)


def count_relayed(gateway: gateway_module.Gateway) -> list[str]:
    """Return a list that gets the path of each relayed request."""
    paths: list[str] = []
    handle = gateway.relay.handle

    async def note(request: web.BaseRequest) -> web.StreamResponse:
        paths.append(request.path)
        return await handle(request)

    gateway.relay.handle = note  # type: ignore[method-assign]
    return paths
