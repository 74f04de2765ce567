"""Tests of streams while replicas of two software versions serve."""

import asyncio
import contextlib
import functools
import typing
from unittest import mock

import aiohttp
from aiohttp import web
import pytest

from cardamom_gateway import gateway as gateway_module
from tests.wire import scenarios
from tests.wire import standins

EVENTS = 5
EVENTS_BEFORE_BREAK = 2
STREAMS = 8


async def break_new_streams(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Send events that name the replica's version; reset a new stream."""
    answer = await standins.begin_stream(request)
    last_event = int(request.headers.get("Last-Event-Id", "0"))
    for number in range(last_event + 1, EVENTS + 1):
        if not last_event and number > EVENTS_BEFORE_BREAK:
            await asyncio.sleep(0.02)
            standins.reset(request)
            return answer
        await answer.write(
            f"id: {number}\ndata: {replica.software}\n\n".encode()
        )
    await answer.write_eof()
    return answer


async def crash_after_two_events(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Reset a new stream and refuse every later connection."""
    await replica.stop_listening()
    return await break_new_streams(replica, request)


async def serve_versions(
    deployment: standins.Deployment, *versions: str
) -> None:
    """Give each engine a version and wait until all gateways know it."""
    for engine, version in zip(deployment.replicas, versions, strict=True):
        engine.software = version
        engine.behaviour = break_new_streams
        deployment.register(engine)
    await standins.wait_until(
        lambda: all(
            [
                gateway.state.targets.by_id[engine.name].target
                for engine in deployment.replicas
            ]
            == [
                gateway.state.codec.decode_target(
                    engine.name, deployment.store.raw("servers", engine.name)
                )
                for engine in deployment.replicas
            ]
            for gateway in deployment.gateways
        )
    )


async def read_pieces(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    attempt: str,
    number: int = 0,
    **headers: str,
) -> tuple[list[str], bool]:
    """Return the versions in a stream's events, and whether it is whole."""
    received = b""
    is_whole = True
    async with session.post(
        deployment.url("/chat/a", number),
        headers=scenarios.headers(
            attempt, **headers, **scenarios.model_headers("m1")
        ),
    ) as answer:
        assert answer.status == 200
        try:
            async for data in answer.content.iter_any():
                received += data
        except aiohttp.ClientPayloadError:
            is_whole = False
    lines = received.decode().splitlines()
    return [
        line.removeprefix("data: ") for line in lines if line[:4] == "data"
    ], is_whole


async def wait_for_stored_versions(
    deployment: standins.Deployment, versions: set[str]
) -> None:
    """Wait until the first gateway has read these stored versions."""
    origins = deployment.gateways[0].exchange.origins
    await standins.wait_until(
        lambda: versions in (origins.stored_versions_by_service or {}).values()
    )


async def begin_streams(
    deployment: standins.Deployment, session: aiohttp.ClientSession
) -> list[list[str]]:
    """Begin streams that break off; return the versions in their events."""
    for engine in deployment.replicas:
        engine.behaviour = break_all_streams
    read = await asyncio.gather(
        *(read_pieces(deployment, session, f"a{n}") for n in range(STREAMS))
    )
    assert not any(is_whole for _, is_whole in read)
    return [versions for versions, _ in read]


async def break_all_streams(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Send two events that name the replica's version, and reset."""
    answer = await standins.begin_stream(request)
    if "Last-Event-Id" not in request.headers:
        for number in range(EVENTS_BEFORE_BREAK):
            data = f"id: {number + 1}\ndata: {replica.software}\n\n"
            await answer.write(data.encode())
        await asyncio.sleep(0.02)
    standins.reset(request)
    return answer


async def replace_by_version(
    deployment: standins.Deployment, version: str
) -> None:
    """Restart the second engine with another version, and wait until known.

    The last gateway needn't know it.
    """
    engine = deployment.replicas[1]
    engine.born_ms += 1
    engine.software = version
    await deployment.register_and_wait(engine)


@contextlib.contextmanager
def cut_from_peers(gateway: gateway_module.Gateway) -> typing.Iterator[None]:
    """Let a gateway neither hear its peers nor reach them.

    It doesn't read the store for itself either, as it does after a while.
    """
    with (
        mock.patch.object(gateway.targets, "reads_store", return_value=False),
        mock.patch.object(gateway.link, "datagram_received"),
        mock.patch.object(gateway.link, "send"),
        mock.patch.object(gateway.peer_calls, "_call", return_value=None),
    ):
        yield


async def taken_up(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    attempt: str,
    gateway: int = 0,
) -> list[str]:
    """Return the versions in the rest of a stream, none if it is refused."""
    for engine in deployment.replicas:
        engine.behaviour = break_new_streams
    head = scenarios.headers(
        f"{attempt}-again",
        Resumes=attempt,
        Last_Event_Id=str(EVENTS_BEFORE_BREAK),
        **scenarios.model_headers("m1"),
    )
    async with session.post(
        deployment.url("/chat/a", gateway), headers=head
    ) as answer:
        if answer.status == 503:
            return []
        assert answer.status == 200
        lines = (await answer.read()).decode().splitlines()
    return [
        line.removeprefix("data: ") for line in lines if line[:4] == "data"
    ]


class TestOneAnswer:
    """Streams that the gateway itself resumes."""

    def test_stream_is_not_resumed_at_another_software_version(self) -> None:
        """An answer held events of two software versions."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v2")
            for engine in deployment.replicas:
                engine.behaviour = crash_after_two_events
            versions, is_whole = await read_pieces(deployment, session, "a1")
            assert len(versions) == EVENTS_BEFORE_BREAK
            assert len(set(versions)) == 1
            assert not is_whole

        run = functools.partial(scenarios.run_scenario, plain=0, engines=2)
        run(scenario)

    def test_stream_is_resumed_at_the_only_target_of_its_version(
        self,
    ) -> None:
        """A stream ended with its connection although its target lived."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v2")
            versions, is_whole = await read_pieces(deployment, session, "a1")
            assert is_whole
            assert len(versions) == EVENTS
            assert len(set(versions)) == 1

        run = functools.partial(scenarios.run_scenario, plain=0, engines=2)
        run(scenario)

    def test_stream_is_resumed_at_its_software_version(self) -> None:
        """A stream could end although its version was still served."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v2", "v1", "v2")
            for number in range(8):
                versions, is_whole = await read_pieces(
                    deployment, session, f"a{number}"
                )
                assert is_whole
                assert len(versions) == EVENTS
                assert len(set(versions)) == 1

        run = functools.partial(scenarios.run_scenario, plain=0, engines=4)
        run(scenario)


class TestTakenUpStreams:
    """Streams that callers take up again at another instance."""

    @pytest.mark.parametrize("is_first_instance_closed", [False, True])
    def test_stream_is_not_taken_up_at_another_software_version(
        self, is_first_instance_closed: bool
    ) -> None:
        """A caller's tries got events of two software versions."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v2")
            begun = [
                await read_pieces(deployment, session, f"a{number}")
                for number in range(8)
            ]
            if is_first_instance_closed:
                await deployment.gateways[0].close()
            for number, (versions, _) in enumerate(begun):
                rest, is_whole = await read_pieces(
                    deployment,
                    session,
                    f"b{number}",
                    1,
                    Resumes=f"a{number}",
                    Last_Event_Id=str(EVENTS_BEFORE_BREAK),
                )
                assert is_whole
                assert set(rest) == set(versions)

        run = functools.partial(
            scenarios.run_scenario, plain=0, engines=2, gateways=4
        )
        run(scenario)

    def test_stream_of_unknown_origin_is_refused_while_versions_differ(
        self,
    ) -> None:
        """A stream could go on at a version that didn't begin it."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v2")
            head = scenarios.headers(
                "b1",
                Resumes="a1",
                Last_Event_Id="2",
                **scenarios.model_headers("m1"),
            )
            async with session.post(
                deployment.url("/chat/a"), headers=head
            ) as answer:
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) > 0
            assert not any(e.requests for e in deployment.replicas)

        run = functools.partial(
            scenarios.run_scenario, plain=0, engines=2, gateways=2
        )
        run(scenario)

    def test_instance_out_of_step_does_not_join_two_versions(self) -> None:
        """It was cut off from its peers while the new version came."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v1")
            await wait_for_stored_versions(deployment, {"v1"})
            await standins.wait_until(
                lambda: any(g.placer.is_holder for g in deployment.gateways)
            )
            cut_off = next(
                gateway
                for gateway in deployment.gateways
                if not gateway.targets.reads_store()
            )
            deployment.gateways.remove(cut_off)
            deployment.gateways.append(cut_off)
            with cut_from_peers(cut_off):
                await replace_by_version(deployment, "v2")
                await wait_for_stored_versions(deployment, {"v1", "v2"})
                begun = await begin_streams(deployment, session)
                assert {"v2"} in map(set, begun)
                targets = cut_off.state.targets.by_id.values()
                assert {r.target.software_version for r in targets} == {"v1"}
                for number, versions in enumerate(begun):
                    rest = await taken_up(
                        deployment, session, f"a{number}", gateway=2
                    )
                    assert len({*versions, *rest}) == 1

        run = functools.partial(
            scenarios.run_scenario, plain=0, engines=2, gateways=3
        )
        run(scenario)

    def test_stream_is_not_joined_from_two_versions_after_a_kill_of_all(
        self,
    ) -> None:
        """The version that began it was in no row, and its target had gone.

        The holder of the lease wrote the row some time after the version had
        come.
        """

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v1")
            await wait_for_stored_versions(deployment, {"v1"})
            other = deployment.replicas[1]
            await replace_by_version(deployment, "v2")
            begun = await begin_streams(deployment, session)
            for gateway in deployment.gateways:
                await gateway.close()
            deployment.store.remove("servers", other.name)
            deployment.gateways.clear()
            restarted = await deployment.start_gateway(is_first_start=False)
            await standins.wait_until(
                lambda: (
                    restarted.is_ready
                    and restarted.exchange.origins.stored_versions_by_service
                    is not None
                )
            )
            for number, versions in enumerate(begun):
                rest = await taken_up(deployment, session, f"a{number}")
                assert len({*versions, *rest}) == 1

        run = functools.partial(scenarios.run_scenario, plain=0, engines=2)
        run(scenario)

    def test_stream_goes_on_after_a_restart_of_all_instances(self) -> None:
        """Callers lost their streams although only one version served."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await serve_versions(deployment, "v1", "v1")
            await wait_for_stored_versions(deployment, {"v1"})
            await deployment.gateways[0].close()
            restarted = await deployment.start_gateway(is_first_start=False)
            await standins.wait_until(
                lambda: (
                    restarted.is_ready
                    and len(restarted.state.targets.by_id) == 2
                    and restarted.exchange.origins.stored_versions_by_service
                    is not None
                )
            )
            versions, is_whole = await read_pieces(
                deployment, session, "b1", 1, Resumes="a1", Last_Event_Id="2"
            )
            assert is_whole
            assert versions == ["v1"] * (EVENTS - EVENTS_BEFORE_BREAK)

        run = functools.partial(scenarios.run_scenario, plain=0, engines=2)
        run(scenario)
