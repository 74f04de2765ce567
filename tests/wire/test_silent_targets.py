"""Tests of sound targets that fall silent for a moment and go on."""

import asyncio

from aiohttp import web
import pytest

from cardamom_gateway import sockets
from tests.wire import cuts
from tests.wire import scenarios
from tests.wire import standins

# The operators' targets are silent for a second or so.
SILENCE_S = 1.4
QUEUED_S = 1.2
STREAMS = 6


async def stream_slowly(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Stream some events, the first one after a wait in the queue."""
    await asyncio.sleep(QUEUED_S)
    return await standins.stream_events(request, count=6, period_s=0.2)


class TestSilentTarget:
    """A target that sends nothing, and accepts nothing, for a while."""

    @pytest.mark.parametrize("before_s", [0.3, 1.0, 1.8])
    def test_streams_of_a_target_that_goes_on_are_not_broken_off(
        self, before_s: float
    ) -> None:
        """Waiting streams, and begun ones, were started again elsewhere."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            for replica in linked.deployment.replicas:
                replica.behaviour = stream_slowly
            streams = [
                asyncio.create_task(
                    cuts.status_of(
                        linked,
                        number % 2,
                        "/chat/x",
                        f"a{number}",
                        **scenarios.model_headers("m1"),
                        Deadline_Ms="8000",
                    )
                )
                for number in range(STREAMS)
            ]
            await asyncio.sleep(before_s)
            silent = [linked.links(gateway)[0] for gateway in (0, 1)]
            for link in silent:
                await link.cut(cuts.Cut.HANG)
            await asyncio.sleep(SILENCE_S)
            for link in silent:
                await link.restore()
            assert set(await asyncio.gather(*streams)) == {200}
            arrived = [
                headers["Attempt-Id"]
                for replica in linked.deployment.replicas
                for path, headers, _ in replica.requests
            ]
            assert sorted(arrived) == sorted(set(arrived))

        cuts.run_linked(scenario, plain=0, engines=2, gateways=2)

    def test_connection_outlasts_a_silence_between_two_probes(self) -> None:
        """With TCP_USER_TIMEOUT, the second timer ends it at the latest."""
        first_probe_ms = sockets.PROBE_INTERVAL_S * 1000
        assert sockets.TARGET_UNACKNOWLEDGED_TIMEOUT_MS > 2 * first_probe_ms
        assert sockets.TARGET_UNACKNOWLEDGED_TIMEOUT_MS > SILENCE_S * 1000
