"""Tests of streams that broke off, and of what another target answers then."""

import dataclasses
import typing

import aiohttp
from aiohttp import web
import pytest

from tests.wire import cuts
from tests.wire import raw_answers
from tests.wire import scenarios
from tests.wire import standins

BEGUN = standins.event(1) + standins.event(2)
MORE = standins.event(3)
ERROR = b'{"error": "out of memory"}\n\n'
EVENT_TYPE = "Content-Type: text/event-stream"


def _length(body: bytes) -> str:
    return f"Content-Length: {len(body)}"


@dataclasses.dataclass(frozen=True)
class SecondAnswer:
    """An answer that goes on with no stream."""

    name: str
    start_line: str
    lines: tuple[str, ...]
    body: bytes = b""


SECOND_ANSWERS = (
    SecondAnswer(
        "text",
        raw_answers.OK,
        ("Content-Type: text/plain", _length(ERROR)),
        ERROR,
    ),
    SecondAnswer(
        "json",
        raw_answers.OK,
        ("Content-Type: application/json", _length(ERROR)),
        ERROR,
    ),
    SecondAnswer("no_content", "HTTP/1.1 204 No Content", ()),
    SecondAnswer("not_modified", "HTTP/1.1 304 Not Modified", ()),
    SecondAnswer(
        "partial",
        "HTTP/1.1 206 Partial Content",
        (EVENT_TYPE, _length(MORE)),
        MORE,
    ),
    SecondAnswer(
        "moved",
        "HTTP/1.1 302 Found",
        (EVENT_TYPE, "Location: /other", _length(MORE)),
        MORE,
    ),
    SecondAnswer(
        "failed",
        "HTTP/1.1 500 Internal Server Error",
        (EVENT_TYPE, _length(ERROR)),
        ERROR,
    ),
    SecondAnswer(
        "not_found", "HTTP/1.1 404 Not Found", (_length(ERROR),), ERROR
    ),
)


def _break_off_then(second: standins.Behaviour) -> standins.Behaviour:
    """Return a behaviour that breaks a stream off, and then answers."""

    async def behave(
        replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        if "Last-Event-Id" in request.headers:
            return await second(replica, request)
        answer = await standins.begin_stream(request)
        await answer.write(BEGUN)
        standins.reset(request)
        return answer

    return behave


async def _assert_is_broken_off(
    session: aiohttp.ClientSession, deployment: standins.Deployment
) -> None:
    """Check that a caller gets the begun events alone, as an incomplete."""
    received = bytearray()
    head = scenarios.headers("a1", **scenarios.model_headers("m1"))
    url = deployment.url("/chat/a")
    with pytest.raises(aiohttp.ClientPayloadError):
        async with session.post(url, headers=head) as answer:
            assert answer.status == 200
            async for data in answer.content.iter_any():
                received += data
    assert bytes(received) == BEGUN
    requests = [r for replica in deployment.replicas for r in replica.requests]
    assert len(requests) == 2


@pytest.mark.parametrize(
    "second", SECOND_ANSWERS, ids=lambda second: second.name
)
class TestContinuedStreams:
    """A second answer that isn't the rest of the stream."""

    def _behave(
        self,
        replicas: typing.Iterable[standins.ReplicaStandIn],
        second: typing.Any,
    ) -> None:
        behaviour = _break_off_then(
            raw_answers.RawAnswer(second.start_line, second.lines, second.body)
        )
        for replica in replicas:
            replica.behaviour = behaviour

    def test_answer_that_is_no_rest_of_a_stream_is_not_joined_to_it(
        self, second: SecondAnswer
    ) -> None:
        """Its text stood in the stream, which was framed as whole."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            self._behave(deployment.replicas, second)
            await _assert_is_broken_off(session, deployment)

        scenarios.run_scenario(scenario, plain=0, engines=2)

    def test_answer_through_a_relaying_peer_is_not_joined(
        self, second: SecondAnswer
    ) -> None:
        """The peer passes on what it gets."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            self._behave(linked.deployment.replicas, second)
            await linked.cut({0}, cuts.Cut.RESET)
            await _assert_is_broken_off(linked.session, linked.deployment)

        cuts.run_linked(scenario, plain=0, engines=2, gateways=2)


class TestStreamsWithoutEvents:
    """Answers of another type that break off on the route of a stream."""

    def test_begun_stream_of_no_events_is_not_joined_to_another(self) -> None:
        """Two runs of an answer that has no events don't fit together."""

        async def behave(
            replica: standins.ReplicaStandIn, request: web.BaseRequest
        ) -> web.StreamResponse:
            answer = web.StreamResponse(headers=standins.signed(request))
            answer.content_type = "text/plain"
            answer.enable_chunked_encoding()
            await answer.prepare(request)
            await answer.write(b"a line\n\n")
            standins.reset(request)
            return answer

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            for replica in deployment.replicas:
                replica.behaviour = behave
            received = bytearray()
            head = scenarios.headers("a1", **scenarios.model_headers("m1"))
            with pytest.raises(aiohttp.ClientPayloadError):
                async with session.post(
                    deployment.url("/chat/a"), headers=head
                ) as answer:
                    async for data in answer.content.iter_any():
                        received += data
            assert bytes(received) == b"a line\n\n"

        scenarios.run_scenario(scenario, plain=0, engines=2)
