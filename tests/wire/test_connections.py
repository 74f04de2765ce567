"""Tests of which requests share connections to a target."""

import asyncio
import typing
from unittest import mock

from aiohttp import web

from cardamom_gateway import model
from cardamom_gateway.requests import attempts
from cardamom_gateway.targets import target_records
from cardamom_kernel import ids
from cardamom_wire import plugin

from tests.wire import standins

STATED_IDLE_S = 10


class CountingTarget(standins.StandIn):
    """Answers every request; ``connections`` are the ports of its callers."""

    def __init__(self) -> None:
        super().__init__()
        self.connections: list[int] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the connection's idle time."""
        assert request.transport is not None
        self.connections.append(
            request.transport.get_extra_info("peername")[1]
        )
        await self.may_answer.wait()
        return web.Response(
            body=b"answer",
            headers=standins.signed(request)
            | {"Keep-Alive": f"timeout={STATED_IDLE_S}"},
        )


Scenario = typing.Callable[
    [CountingTarget, typing.Callable[..., typing.Awaitable[None]]],
    typing.Awaitable[None],
]


def _run(scenario: Scenario) -> None:
    async def run() -> None:
        target = CountingTarget()
        await target.start()
        client = attempts.TargetClient(
            plugin.ConsorcioCodec(), lambda record, answer: None
        )
        record = target_records.TargetRecord(_target(target.address), 0)

        async def send(needs_new_connection: bool = False) -> None:
            response = await client.send(
                record,
                attempts.OutgoingRequest(
                    "GET",
                    "/",
                    [("Attempt-Id", "a1")],
                    b"",
                    "a1",
                    needs_new_connection,
                ),
            )
            await response.read()
            response.release()

        try:
            await scenario(target, send)
        finally:
            await client.close()
            await target.stop()

    asyncio.run(run())


def _target(address: str) -> model.Target:
    return model.Target(
        id=ids.TargetId("t1"),
        service=model.ServiceId("s1"),
        address=address,
        data_centre=ids.DataCentreId("d1"),
        slots=6,
        state=model.TargetState.READY,
        started_ms=0,
        entry_sequence=1,
        residents=frozenset(),
        in_host_memory=frozenset(),
        on_disk=frozenset(),
    )


class TestConnections:
    """New connections are expensive for targets."""

    def test_request_that_may_not_run_twice_has_a_new_connection(self) -> None:
        """Guards against one on a connection that the target closes."""

        async def scenario(
            target: CountingTarget,
            send: typing.Callable[..., typing.Awaitable[None]],
        ) -> None:
            await send()
            await send(needs_new_connection=True)
            assert len(set(target.connections)) == 2

        _run(scenario)

    def test_later_request_uses_its_connection(self) -> None:
        """Guards against a new connection for each retryable request."""

        async def scenario(
            target: CountingTarget,
            send: typing.Callable[..., typing.Awaitable[None]],
        ) -> None:
            await send(needs_new_connection=True)
            await send()
            assert len(set(target.connections)) == 1

        _run(scenario)

    def test_connection_is_kept_as_long_as_the_target_states(self) -> None:
        """Guards against connections closed long before the target would."""

        async def scenario(
            target: CountingTarget,
            send: typing.Callable[..., typing.Awaitable[None]],
        ) -> None:
            await send()
            await asyncio.sleep(0.3)
            await send()
            assert len(set(target.connections)) == 1

        with mock.patch.object(attempts, "DEFAULT_IDLE_MS", 0):
            _run(scenario)

    def test_few_idle_connections_are_kept(self) -> None:
        """Guards against idle connections that fill the target's limit."""

        async def scenario(
            target: CountingTarget,
            send: typing.Callable[..., typing.Awaitable[None]],
        ) -> None:
            for _ in range(2):
                target.may_answer.clear()
                requests = [asyncio.ensure_future(send()) for _ in range(5)]
                while len(target.connections) % 5 or not target.connections:
                    await asyncio.sleep(0.01)
                target.may_answer.set()
                await asyncio.gather(*requests)
            kept = set(target.connections[:5]) & set(target.connections[5:])
            assert len(kept) == attempts.MAX_IDLE_PER_TARGET

        _run(scenario)
