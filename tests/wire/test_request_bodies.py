"""Tests of request bodies that callers have encoded."""

import gzip
import zlib

import aiohttp
import pytest

from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins

TEXT = b"two evenings a week" * 20
BODY_BY_ENCODING = {
    "gzip": gzip.compress(TEXT),
    "deflate": zlib.compress(TEXT),
    "br": b"\x8b\x02\x80not for the gateway to read\x03",
    "zstd": b"\x28\xb5\x2f\xfdnor this",
}


class TestEncodedBodies:
    """Bodies with a Content-Encoding, which is the target's to undo."""

    @pytest.mark.parametrize("encoding", BODY_BY_ENCODING)
    def test_body_reaches_the_target_as_it_was_sent(
        self, encoding: str
    ) -> None:
        """It was decoded, but still labelled as encoded, or refused."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            body = BODY_BY_ENCODING[encoding]
            async with session.post(
                deployment.url("/write/a"),
                data=body,
                headers=scenarios.headers("a1", Content_Encoding=encoding),
            ) as answer:
                assert answer.status == 200
            ((_, headers, received),) = deployment.replicas[0].requests
            assert headers["Content-Encoding"] == encoding
            assert received == body

        scenarios.run_scenario(scenario, plain=1, engines=0)

    def test_body_that_goes_through_a_peer_is_not_decoded_either(
        self,
    ) -> None:
        """The peer's port is another server."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            body = BODY_BY_ENCODING["gzip"]
            await linked.cut({0}, cuts.Cut.RESET)
            async with linked.session.post(
                linked.deployment.url("/write/a"),
                data=body,
                headers=scenarios.headers("a1", Content_Encoding="gzip"),
            ) as answer:
                assert answer.status == 200
            ((_, _, received),) = linked.deployment.replicas[0].requests
            assert received == body

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)
