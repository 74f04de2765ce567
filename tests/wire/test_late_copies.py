"""Tests of targets that send a second copy of an answer, late."""

import asyncio
import dataclasses

import aiohttp
import orjson
import pytest

from cardamom_gateway import interfaces
from cardamom_wire import plugin
from tests.wire import raw_answers
from tests.wire import scenarios
from tests.wire import standins

CALLS = 6
COPY_DELAY_S = 0.02


class CopyingServer(raw_answers.RawServer):
    """Sends each answer once more, on the same connection.

    With ``is_with_next`` the copy comes just before the next answer, else a
    moment after its own.
    """

    def __init__(self, is_with_next: bool) -> None:
        super().__init__()
        self._is_with_next = is_with_next

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection."""
        copy, loop = b"", asyncio.get_running_loop()
        while request := await raw_answers.read_request(reader):
            answer = _answer(request)
            writer.write(copy + answer)
            if self._is_with_next:
                copy = answer
            else:
                loop.call_later(COPY_DELAY_S, writer.write, answer)


def _answer(request: raw_answers.RawRequest) -> bytes:
    """Return a request's id, a report, or a refusal of an order."""
    start_line, body = raw_answers.OK, request.attempt.encode()
    if request.path == "/api/report":
        body = orjson.dumps({"models": [], "busy": False, "sequence": 0})
    if request.path == "/api/order":
        start_line, body = "HTTP/1.1 409 Conflict", b"{}"
    head = raw_answers.signed_head(
        request.attempt, start_line, f"Content-Length: {len(body)}"
    )
    return head + b"\r\n" + body


async def _check_answers(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    pause_s: float,
) -> None:
    """Check that no call gets another's answer, and that most get theirs."""
    answers = []
    for number in range(CALLS):
        head = scenarios.headers(f"a{number}")
        url = deployment.url("/read/a")
        async with session.get(url, headers=head) as answer:
            answers.append((number, answer.status, await answer.text()))
        await asyncio.sleep(pause_s)
    served = [(n, text) for n, status, text in answers if status == 200]
    assert all(text == f"a{n}" for n, text in served)
    assert len(served) >= CALLS / 2


class TestLateCopies:
    """Connections on which an answer arrives twice."""

    @pytest.mark.parametrize("is_with_next", [False, True])
    @pytest.mark.parametrize("pause_s", [0.0, 2 * COPY_DELAY_S])
    def test_each_caller_gets_the_answer_to_its_own_request(
        self, is_with_next: bool, pause_s: float
    ) -> None:
        """The next caller got an answer that wasn't its own."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            async with CopyingServer(is_with_next) as server:
                (replica,) = deployment.replicas
                replica.port = server.port
                await deployment.register_and_wait(replica)
                await _check_answers(deployment, session, pause_s)

        scenarios.run_scenario(scenario, plain=1, engines=0)

    def test_copy_of_a_report_is_not_the_answer_to_an_order(self) -> None:
        """An order that was refused counted as carried out."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (engine,) = deployment.replicas
            async with CopyingServer(is_with_next=True) as server:
                target = dataclasses.replace(
                    deployment.gateways[0]
                    .state.targets.by_id[engine.name]
                    .target,
                    address=server.address,
                )
                engines = plugin.ConsorcioPlatform().open_engines()
                await engines.report(target)
                order = interfaces.Order(
                    interfaces.OrderKind.LOAD, "m3", "", "frontend-0", 1, 0
                )
                outcome = await engines.order(target, order)
                await engines.close()
                assert outcome is interfaces.OrderOutcome.CONFLICT

        scenarios.run_scenario(scenario, plain=0, engines=1)
