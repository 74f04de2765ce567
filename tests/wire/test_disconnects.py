"""Tests of callers that disconnect while their request is in progress."""

import asyncio
import functools

import aiohttp
from aiohttp import web
import pytest

from tests.wire import scenarios
from tests.wire import standins

CALLER_TIMEOUT_S = 0.25


async def stop_after_an_event(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Send the first event of a stream and no other."""
    answer = await standins.begin_stream(request)
    await answer.write(standins.event(1))
    await asyncio.sleep(60)
    return answer


def _left(entries: scenarios.Entries) -> scenarios.Entries:
    return [
        entry for entry in entries if entry["event"] == "forward: caller left"
    ]


class TestCallerLeft:
    """The line that tells what a request waited for."""

    @pytest.mark.parametrize(
        ("behaviour", "waited_for", "model"),
        [
            (standins.never_answer, "answer", "m1"),
            (stop_after_an_event, "body", "m1"),
            (standins.never_answer, "model", "m3"),
            (standins.never_answer, "adapter", "m1/a1"),
        ],
    )
    def test_line_tells_what_the_request_waited_for(
        self,
        log_entries: scenarios.Entries,
        behaviour: standins.Behaviour,
        waited_for: str,
        model: str,
    ) -> None:
        """Work for callers that have left could not be traced."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (engine,) = deployment.replicas
            engine.behaviour = behaviour
            engine.order_delay_s = 60.0
            await _leave(deployment, session, model)
            await standins.wait_until(lambda: bool(_left(log_entries)))
            (line,) = _left(log_entries)
            assert (line["id"], line["waited_for"]) == ("a1", waited_for)
            assert line["held_ms"] >= CALLER_TIMEOUT_S * 900

        run = functools.partial(scenarios.run_scenario, plain=0, engines=1)
        run(scenario)


async def _leave(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    model: str,
) -> None:
    """Call a model and disconnect after CALLER_TIMEOUT_S."""
    head = scenarios.headers("a1", **scenarios.model_headers(model))
    with pytest.raises(TimeoutError):
        async with session.post(
            deployment.url("/chat/a"),
            headers=head,
            timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S),
        ) as answer:
            await answer.read()
