"""Tests of how streams of targets end, and what their callers see."""

import functools

import aiohttp
from aiohttp import web
import pytest

from tests.wire import scenarios
from tests.wire import standins

EVENTS = b"".join(standins.event(number) for number in range(1, 4))
CRLF_EVENTS = EVENTS.replace(b"\n", b"\r\n")
WITHIN_LAST_EVENT = len(EVENTS) - 5


async def _send(
    request: web.BaseRequest, framing: str, body: bytes
) -> web.StreamResponse:
    """Send a body that ends as its framing says."""
    if framing == "length":
        return web.Response(
            body=body,
            headers=standins.signed(request),
            content_type="text/event-stream",
        )
    if framing == "chunked":
        answer = await standins.begin_stream(request)
        await answer.write(body)
        await answer.write_eof()
        return answer
    transport = standins.begin_unframed(request)
    transport.write(body)
    transport.close()
    return web.Response()


def _behaviour(framing: str, sent: bytes) -> standins.Behaviour:
    """Return a behaviour that sends its bytes, and all events on a resume."""

    async def send(
        replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        last_event = int(request.headers.get("Last-Event-Id", "0"))
        if not last_event:
            return await _send(request, framing, sent)
        rest = b"".join(
            standins.event(number) for number in range(last_event + 1, 4)
        )
        return await _send(request, framing, rest)

    return send


async def _read_stream(
    deployment: standins.Deployment, session: aiohttp.ClientSession, path: str
) -> bytes:
    """Return a stream; raises ClientPayloadError if it is incomplete."""
    head = scenarios.headers("a1", **scenarios.model_headers("m1"))
    async with session.post(deployment.url(path), headers=head) as answer:
        assert answer.status == 200
        return await answer.read()


@pytest.mark.parametrize("framing", ["length", "chunked", "connection_end"])
class TestStreamEnds:
    """Streams whose end does or does not fall between two events."""

    def test_stream_that_ends_inside_an_event_is_not_complete(
        self, framing: str
    ) -> None:
        """Callers got a broken-off stream that was framed as complete."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (engine,) = deployment.replicas
            engine.behaviour = _behaviour(framing, EVENTS[:WITHIN_LAST_EVENT])
            with pytest.raises(aiohttp.ClientPayloadError):
                await _read_stream(deployment, session, "/once/a")

        run = functools.partial(scenarios.run_scenario, plain=0, engines=1)
        run(scenario)

    def test_stream_that_ends_inside_an_event_is_resumed(
        self, framing: str
    ) -> None:
        """A resumable stream that broke off was taken for a complete one."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            for engine in deployment.replicas:
                engine.behaviour = _behaviour(
                    framing, EVENTS[:WITHIN_LAST_EVENT]
                )
            body = await _read_stream(deployment, session, "/chat/a")
            assert body == EVENTS

        run = functools.partial(scenarios.run_scenario, plain=0, engines=2)
        run(scenario)

    @pytest.mark.parametrize("events", [EVENTS, CRLF_EVENTS])
    def test_stream_that_ends_between_events_is_complete(
        self, framing: str, events: bytes
    ) -> None:
        """A whole stream could be taken for a broken-off one."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (engine,) = deployment.replicas
            engine.behaviour = _behaviour(framing, events)
            body = await _read_stream(deployment, session, "/once/a")
            assert body == events

        run = functools.partial(scenarios.run_scenario, plain=0, engines=1)
        run(scenario)


class TestOtherAnswers:
    """Answers of another type on the route of a stream."""

    def test_answer_that_is_no_stream_of_events_is_complete(self) -> None:
        """An answer without events could be taken for a broken-off stream."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            body = await _read_stream(deployment, session, "/once/a")
            assert body == deployment.replicas[0].name.encode()

        run = functools.partial(scenarios.run_scenario, plain=0, engines=1)
        run(scenario)


class TestStreamEndLog:
    """What the line of an answered request tells of its stream's end."""

    def test_line_has_the_framing_and_the_unfinished_bytes(
        self, log_entries: scenarios.Entries
    ) -> None:
        """A short stream could not be told from a whole one in the logs."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            (engine,) = deployment.replicas
            engine.behaviour = _behaviour("connection_end", EVENTS)
            await _read_stream(deployment, session, "/once/a")
            (line,) = [
                entry
                for entry in log_entries
                if entry["event"] == "forward: answered"
            ]
            assert line["framing"] == "connection_end"
            assert line["incomplete_bytes"] == 0

        run = functools.partial(scenarios.run_scenario, plain=0, engines=1)
        run(scenario)
