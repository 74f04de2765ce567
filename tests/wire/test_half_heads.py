"""Tests of answers whose head ends halfway."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from tests.wire import cuts
from tests.wire import raw_answers
from tests.wire import scenarios
from tests.wire import standins

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
PATHS = ("/read/a", "/write/a", "/chat/a", "/once/a")
FAILED = (502, 504)
# Places in the head at which it ends; after the last one only CRLF is left.
CUTS = (8, 12, 15, 17, 30, 60, -2, -1, None)


class HalfHead:
    """A behaviour that ends its connection inside the head of an answer.

    The length comes first, so that the head could be taken for whole early.
    """

    def __init__(
        self, end: int | None, is_reset: bool, prefix: bytes = b""
    ) -> None:
        self.end = end
        self.is_reset = is_reset
        self.prefix = prefix
        self.runs = 0

    async def __call__(
        self, replica: standins.ReplicaStandIn, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Write a part of a head."""
        self.runs += 1
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        head = raw_answers.signed_head(
            request.headers["Attempt-Id"],
            f"{raw_answers.OK}\r\nContent-Length: 0",
            "Content-Type: text/event-stream",
        )
        transport.write(self.prefix + head[: self.end])
        await asyncio.sleep(0.01)
        if self.is_reset:
            standins.reset(request)
        transport.close()
        return web.Response()


@pytest.mark.parametrize("is_reset", [False, True])
class TestHalfHeads:
    """Guards against an empty 200 for an answer that never came."""

    @pytest.mark.parametrize("prefix", [b"", INTERIM])
    def test_head_that_ends_halfway_is_no_answer(
        self, is_reset: bool, prefix: bytes
    ) -> None:
        """What may be repeated is, once; the rest has run once."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            for number, end in enumerate(CUTS):
                for path in PATHS:
                    half = HalfHead(end, is_reset, prefix)
                    for replica in deployment.replicas:
                        replica.behaviour = half
                    status, _ = await scenarios.post(
                        deployment, session, f"{path}{number}", f"a{number}"
                    )
                    assert status in FAILED, (path, end)
                    assert half.runs == 1 or path in ("/read/a", "/chat/a")

        scenarios.run_scenario(scenario, plain=2, engines=2)

    def test_head_that_ends_halfway_at_a_relaying_peer_is_no_answer(
        self, is_reset: bool
    ) -> None:
        """The peer must not pass it on as a whole one."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            await linked.cut({0}, cuts.Cut.RESET)
            for number, end in enumerate(CUTS):
                for path in ("/write/a", "/once/a"):
                    half = HalfHead(end, is_reset)
                    for replica in linked.deployment.replicas:
                        replica.behaviour = half
                    status = await cuts.status_of(
                        linked,
                        0,
                        f"{path}{number}",
                        f"a{number}",
                        **scenarios.model_headers("m1"),
                    )
                    assert status in FAILED, (path, end)
                    assert half.runs == 1

        cuts.run_linked(scenario, plain=1, engines=1, gateways=2)
