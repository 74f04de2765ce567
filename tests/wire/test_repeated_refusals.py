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
NO_ID = "-"  # of a request for a report
EVENT = standins.event(0)


class RefusingServer:
    """Refuses the first request of each connection, and runs the others.

    Before the answer to the second one it writes the refusal once more,
    a moment after that request has come.  The refusals name the request
    that they are for only with ``names_request``.  ``runs`` has the ids of
    the requests that it has run, or was running when its caller left.
    """

    def __init__(self, names_request: bool) -> None:
        self.runs: list[str] = []
        self.port = 0
        self._names_request = names_request
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"{standins.HOST}:{self.port}"

    async def __aenter__(self) -> "RefusingServer":
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, standins.HOST, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop to listen."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        refusal = b""
        try:
            while attempt := await _read_attempt(reader):
                if not refusal:
                    refusal = _refusal(attempt if self._names_request else "")
                    writer.write(refusal)
                    continue
                if attempt != NO_ID:
                    self.runs.append(attempt)
                await asyncio.sleep(COPY_DELAY_S)
                writer.write(refusal)
                await asyncio.sleep(RUN_S)
                writer.write(_answer(attempt))
        except OSError:
            pass
        writer.close()


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


async def _read_attempt(reader: asyncio.StreamReader) -> str:
    """Return the id of the next request, empty at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return ""
    header = {
        name.lower(): value.strip()
        for name, _, value in (
            line.partition(":") for line in head.decode().split("\r\n")[1:]
        )
    }
    await reader.readexactly(int(header.get("content-length", "0")))
    return header.get("attempt-id", NO_ID)


async def _replace_targets(
    deployment: standins.Deployment, server: RefusingServer
) -> None:
    """Put the server in the place of all targets."""
    for replica in deployment.replicas:
        replica.port = server.port
        deployment.register(replica)
    await standins.wait_until(
        lambda: all(
            record.target.address == server.address
            for gateway in deployment.gateways
            for record in gateway.state.targets.by_id.values()
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
        head = scenarios.headers(attempt, **scenarios.model_headers("m1"))
        async with session.post(deployment.url(path), headers=head) as answer:
            await answer.read()
            status_by_attempt[attempt] = answer.status
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
            await scenarios.lift_rate(deployment)
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
                for replica in deployment.replicas:
                    replica.port = server.port
                    deployment.register(replica)
                address_by_gateway = (dead.address, server.address)
                await standins.wait_until(
                    lambda: all(
                        record.target.address == address
                        for gateway, address in zip(
                            deployment.gateways,
                            address_by_gateway,
                            strict=True,
                        )
                        for record in gateway.state.targets.by_id.values()
                    )
                )
                await _assert_refusals_are_true(
                    deployment, linked.session, server, path
                )
                await dead.stop()

        cuts.run_linked(scenario, plain=1, engines=1, gateways=2)
