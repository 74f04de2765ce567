"""Tests of targets that write an earlier refusal once more."""

import asyncio

import aiohttp
import pytest

from tests.wire import cuts
from tests.wire import raw_answers
from tests.wire import scenarios
from tests.wire import standins

COPY_DELAY_S = 0.01
RUN_S = 0.2
REPORT_PATH = "/api/report"
EVENT = standins.event(0)


class RefusingServer(raw_answers.RawServer):
    """Refuses the first request of each connection, and runs the others.

    Before the answer to the second one it writes the refusal once more,
    a moment after that request has come.  The refusals name the request
    that they are for only with ``names_request``.  ``runs`` has the ids of
    the requests that it has run, or was running when its caller left.
    """

    def __init__(self, names_request: bool) -> None:
        super().__init__()
        self.runs: list[str] = []
        self._names_request = names_request

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection."""
        refusal = b""
        while request := await raw_answers.read_request(reader):
            attempt = request.attempt
            if not refusal:
                refusal = _refusal(attempt if self._names_request else "")
                writer.write(refusal)
                continue
            if request.path != REPORT_PATH:
                self.runs.append(attempt)
            await asyncio.sleep(COPY_DELAY_S)
            writer.write(refusal)
            await asyncio.sleep(RUN_S)
            writer.write(_answer(attempt))


def _refusal(attempt: str) -> bytes:
    lines = ["Not-Executed: 1", "Content-Length: 0"]
    if attempt:
        lines.append(f"Attempt-Id: {attempt}")
    head = ["HTTP/1.1 503 Service Unavailable", *lines]
    return "".join(f"{line}\r\n" for line in head).encode() + b"\r\n"


def _answer(attempt: str) -> bytes:
    head = raw_answers.signed_head(
        attempt,
        raw_answers.OK,
        "Content-Type: text/event-stream",
        f"Content-Length: {len(EVENT)}",
    )
    return head + b"\r\n" + EVENT


async def _replace_targets(
    deployment: standins.Deployment, server: RefusingServer
) -> None:
    """Put the server in the place of all targets, at all gateways."""
    for replica in deployment.replicas:
        replica.port = server.port
        deployment.register(replica)
    await standins.wait_until(
        lambda: all(
            gateway.state.targets.by_id[replica.name].target.entry_sequence
            == replica.entry_sequence
            for gateway in deployment.gateways
            for replica in deployment.replicas
        )
    )


async def _assert_refusals_are_true(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    server: RefusingServer,
    path: str,
) -> None:
    """Check that no request has run that was refused as not run."""
    status_by_attempt = {}
    for attempt in ("a0", "a1", "a2"):
        status_by_attempt[attempt], _ = await scenarios.post(
            deployment, session, path, attempt
        )
    refused = {a for a, s in status_by_attempt.items() if s in (429, 503)}
    assert not refused & set(server.runs)
    assert len(server.runs) == len(set(server.runs))


@pytest.mark.parametrize("names_request", [True, False])
@pytest.mark.parametrize("path", ["/write/a", "/read/a", "/chat/a", "/once/a"])
class TestRepeatedRefusals:
    """Copies of refusals on connections that are kept."""

    def test_request_that_runs_is_not_called_refused(
        self, path: str, names_request: bool
    ) -> None:
        """Its caller was told that it hadn't run, and sent it again."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_limits(deployment)
            async with RefusingServer(names_request) as server:
                await _replace_targets(deployment, server)
                await _assert_refusals_are_true(
                    deployment, session, server, path
                )

        scenarios.run_scenario(scenario, plain=1, engines=1)

    def test_request_through_a_peer_is_not_called_refused(
        self, path: str, names_request: bool
    ) -> None:
        """The peer's connections to targets are kept, too."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            deployment = linked.deployment
            async with RefusingServer(names_request) as server:
                dead = cuts.Link(standins.HOST, server.port)
                await dead.start()
                linked.codecs[0].link_by_address[server.address] = dead
                await dead.cut(cuts.Cut.RESET)
                await _replace_targets(deployment, server)
                await _assert_refusals_are_true(
                    deployment, linked.session, server, path
                )
                await dead.stop()

        cuts.run_linked(scenario, plain=1, engines=1, gateways=2)
