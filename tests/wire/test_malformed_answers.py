"""Tests of answers whose heads aren't heads of HTTP/1 answers."""

import asyncio
import types
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import http_parser
from opentelemetry import trace
import pytest

from cardamom_ctl import client as ctl_client
from cardamom_daemon import plain_calls
from cardamom_gateway import interfaces
from cardamom_kernel import tables
from cardamom_platform import answer_bodies
from cardamom_platform import interfaces as platform_interfaces
from cardamom_platform import plugins
from cardamom_platform import pools
from cardamom_wire import plugin
from tests.daemon import test_plain_calls
from tests.wire import cuts
from tests.wire import raw_answers
from tests.wire import scenarios
from tests.wire import standins

Result = typing.TypeVar("Result")
LENGTH = f"Content-Length: {len(raw_answers.TEXT)}"
START_LINES = (
    "HTTP/1.1 000 Trouble",
    "HTTP/1.1 001 Trouble",
    "HTTP/1.1 099 Trouble",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Trouble",
    "HTTP/1.1 999 Trouble",
    "HTTP/2.0 200 OK",
    "HTTP/1.1 0 Trouble",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1",
    "ICY 200 OK",
)


async def _assert_failed_once(
    deployment: standins.Deployment, session: aiohttp.ClientSession, path: str
) -> None:
    """Check that a caller gets a 502 of the gateway, after one attempt."""
    async with session.post(
        deployment.url(path),
        headers=scenarios.headers("a1", **scenarios.model_headers("m1")),
    ) as answer:
        assert answer.status == 502
        assert "Response-Signature" not in answer.headers
        assert b"text of" not in await answer.read()
    requests = [r for replica in deployment.replicas for r in replica.requests]
    assert len(requests) == 1


def _assert_is_not_relayed(
    behaviour: standins.Behaviour, path: str = "/write/a"
) -> None:
    async def scenario(
        deployment: standins.Deployment, session: aiohttp.ClientSession
    ) -> None:
        for replica in deployment.replicas:
            replica.behaviour = behaviour
        await _assert_failed_once(deployment, session, path)

    scenarios.run_scenario(scenario, plain=1, engines=1)


class TestStartLines:
    """Answers whose first line has no status of a final answer."""

    @pytest.mark.parametrize("path", ["/write/a", "/once/a"])
    @pytest.mark.parametrize("start_line", START_LINES)
    def test_answer_without_a_status_is_not_relayed(
        self, start_line: str, path: str
    ) -> None:
        """Callers got it with the target's signature."""
        behaviour = raw_answers.RawAnswer(start_line, [LENGTH])
        _assert_is_not_relayed(behaviour, path)

    def test_status_after_an_interim_answer_is_checked(self) -> None:
        """The check could stop at the first head of an answer."""
        behaviour = raw_answers.RawAnswer(
            START_LINES[0], [LENGTH], prefix=b"HTTP/1.1 100 Continue\r\n\r\n"
        )
        _assert_is_not_relayed(behaviour)

    @pytest.mark.parametrize("path", ["/read/a", "/chat/a"])
    def test_call_that_may_be_repeated_is_served_by_another_target(
        self, path: str
    ) -> None:
        """The answer could be taken for one that ends the call."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            bad = raw_answers.RawAnswer(START_LINES[0], [LENGTH])
            for replica in deployment.replicas[::2]:
                replica.behaviour = bad
            for number in range(8):
                async with session.post(
                    deployment.url(path),
                    headers=scenarios.headers(
                        f"a{number}", **scenarios.model_headers("m1")
                    ),
                ) as answer:
                    assert answer.status == 200
                    assert b"text of" not in await answer.read()

        scenarios.run_scenario(scenario, plain=2, engines=2)

    @pytest.mark.parametrize("start_line", START_LINES)
    def test_answer_is_not_passed_on_by_a_relaying_peer(
        self, start_line: str
    ) -> None:
        """The check of one instance must not depend on that of its peer."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            (replica,) = linked.deployment.replicas
            replica.behaviour = raw_answers.RawAnswer(start_line, [LENGTH])
            await linked.cut({0}, cuts.Cut.RESET)
            status = await cuts.status_of(linked, 0, "/write/a", "a1")
            assert len(replica.requests) == 1
            assert status == 502

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)

    def test_broken_answer_is_not_a_promise_that_nothing_ran(self) -> None:
        """Its head could say that the request wasn't executed."""
        behaviour = raw_answers.RawAnswer(
            START_LINES[0], [LENGTH, "Not-Executed: 1"]
        )
        _assert_is_not_relayed(behaviour)


def _answered(
    start_line: str,
    call: typing.Callable[[raw_answers.RawServer], typing.Awaitable[Result]],
    body: bytes = b"{}",
) -> Result:
    """Return what a call makes of an answer of a server."""

    async def run() -> Result:
        lines = (f"Content-Length: {len(body)}",)
        head = raw_answers.signed_head("a1", start_line, *lines)
        async with raw_answers.RawServer(head + b"\r\n" + body) as server:
            return await call(server)

    return asyncio.run(run())


NO_SUCCESS = (
    "HTTP/1.1 300 Multiple Choices",
    "HTTP/1.1 302 Found",
    "HTTP/1.1 304 Not Modified",
)


@pytest.mark.parametrize("start_line", (*START_LINES, *NO_SUCCESS))
class TestStores:
    """Answers without success to reads and writes of an instance's own."""

    def test_object_is_not_written(self, start_line: str) -> None:
        """A write that the store had not taken counted as done."""

        async def call(server: raw_answers.RawServer) -> None:
            pool = pools.Pool()
            objects = plugins.HttpObjectStore(pool, server.url)
            try:
                await objects.put("key", b"value")
            finally:
                await pool.close()

        with pytest.raises(platform_interfaces.ObjectsUnavailable):
            _answered(start_line, call)

    def test_object_is_not_read(self, start_line: str) -> None:
        """The bytes of a broken answer were taken for the object."""

        async def call(server: raw_answers.RawServer) -> bytes | None:
            pool = pools.Pool()
            objects = plugins.HttpObjectStore(pool, server.url)
            try:
                return await objects.get("key")
            finally:
                await pool.close()

        with pytest.raises(platform_interfaces.ObjectsUnavailable):
            _answered(start_line, call)

    def test_commit_is_unknown(self, start_line: str) -> None:
        """A commit that the table had not taken counted as committed."""

        async def call(server: raw_answers.RawServer) -> tables.CommitResult:
            pool = pools.Pool()
            table = plugins.HttpTable(pool, server.url)
            try:
                return await table.commit({}, {"key": {}})
            finally:
                await pool.close()

        result = _answered(start_line, call, b'{"committed":true,"rows":{}}')
        assert result.state is tables.CommitState.UNKNOWN

    def test_row_of_the_store_is_not_read(self, start_line: str) -> None:
        """An instance could take rows from a broken answer."""

        async def call(server: raw_answers.RawServer) -> None:
            store = plugin.ConsorcioPlatform().open_store(server.address)
            try:
                await store.read_all(interfaces.Topic.TARGETS)
            finally:
                await store.close()

        body = b'{"rows":[],"ver":1,"now_ms":1}'
        with pytest.raises(interfaces.StoreUnavailable):
            _answered(start_line, call, body)


@pytest.mark.parametrize("start_line", START_LINES)
class TestOwnCalls:
    """Broken answers to other calls of an instance or an operator."""

    def test_plain_call_of_the_daemon_fails(self, start_line: str) -> None:
        """Callers of the daemon got the broken answer as the service's."""

        async def call(
            server: raw_answers.RawServer,
        ) -> plain_calls.PlainAnswer:
            pool = pools.Pool()
            target = types.SimpleNamespace(
                id="app-1", spec=types.SimpleNamespace(url=server.url)
            )
            fleet = types.SimpleNamespace(tracer=trace.get_tracer("test"))
            try:
                return await plain_calls.send(
                    pool.session,
                    test_plain_calls.CALL,
                    typing.cast(typing.Any, target),
                    5.0,
                    typing.cast(typing.Any, fleet),
                )
            finally:
                await pool.close()

        with pytest.raises(pools.NETWORK_ERRORS):
            _answered(start_line, call)

    def test_operator_is_told_that_no_instance_answered(
        self, start_line: str
    ) -> None:
        """The command line took status 0 for none, and others for answers."""

        async def call(server: raw_answers.RawServer) -> ctl_client.Answer:
            client = ctl_client.OperatorClient([server.url], "key")
            return await asyncio.to_thread(client.call, "GET", "/v1/config")

        answer = _answered(start_line, call)
        assert answer.status == 0
        assert answer.body["error"]["code"] == "unreached"


CONTROL_BYTES = tuple(
    bytes([value]) for value in (0, 1, 8, 10, 11, 12, 13, 27, 31, 127)
)
NAMES: tuple[bytes, ...] = (
    b"Odd Name",
    b"Odd\tName",
    b"Odd ",
    b" Odd",
    b"\tOdd",
    b"",
    b"Odd(Name)",
    b"Odd\x80Name",
    b"\xffOdd",
    b"Connection ",
    b"Upgrade ",
    *(b"Odd" + byte + b"Name" for byte in CONTROL_BYTES),
    *(byte + b"Odd" for byte in CONTROL_BYTES),
    *(b"Odd" + byte for byte in CONTROL_BYTES),
)
LENGTH_NAMES: tuple[bytes, ...] = (
    b"Content-Length ",
    b"Content-Length  ",
    b"Content-Length\t",
    b" Content-Length",
    b"\tContent-Length",
    b"Transfer-Encoding ",
    *(byte + b"Content-Length" for byte in CONTROL_BYTES),
    *(b"Content-Length" + byte for byte in CONTROL_BYTES),
)
SHORT = b"id\n\n"  # a whole event of four bytes
CHUNKS = b"4\r\n" + SHORT + b"\r\n0\r\n\r\n"


def _odd_fields() -> typing.Iterator[raw_answers.RawAnswer]:
    """Yield answers with an odd field at the beginning, or further on."""
    for field in (
        *(name + b": x" for name in NAMES),
        *(b"Odd: a" + byte + b"b" for byte in CONTROL_BYTES),
        b"Odd",
    ):
        yield raw_answers.RawAnswer(lines=[LENGTH, field])
        yield raw_answers.RawAnswer(lines=[field, LENGTH])
        first = raw_answers.OK.encode() + b"\r\n" + field
        yield raw_answers.RawAnswer(first, [LENGTH])


def _odd_lengths() -> typing.Iterator[raw_answers.RawAnswer]:
    """Yield answers whose odd field could end the body early."""
    for name in LENGTH_NAMES:
        is_chunked = name.startswith(b"Transfer")
        value, body = (b"chunked", CHUNKS) if is_chunked else (b"4", SHORT)
        field = name + b": " + value
        first = raw_answers.OK.encode() + b"\r\n" + field
        for rest in (b"", raw_answers.TEXT):
            yield raw_answers.RawAnswer(lines=[field], body=body + rest)
            yield raw_answers.RawAnswer(first, body=body + rest)


class TestFields:
    """Answers with a line in the head that isn't a field."""

    @pytest.mark.parametrize("pause_s", [0.0, 0.01])
    @pytest.mark.parametrize("path", ["/write/a", "/once/a"])
    @pytest.mark.parametrize("answers", [_odd_fields, _odd_lengths])
    def test_answer_with_an_odd_field_is_not_relayed(
        self,
        answers: typing.Callable[[], typing.Iterator[raw_answers.RawAnswer]],
        path: str,
        pause_s: float,
    ) -> None:
        """Callers got the line, or a body that wasn't the target's."""

        async def scenario(
            deployment: standins.Deployment, session: aiohttp.ClientSession
        ) -> None:
            await scenarios.lift_rate(deployment)
            relayed = []
            for number, answer in enumerate(answers()):
                answer.pause_s = pause_s
                for replica in deployment.replicas:
                    replica.behaviour = answer
                status, body = await _post(
                    deployment, session, path, f"a{number}"
                )
                if status != 502 or b"text of" in body:
                    relayed.append((answer.start_line, answer.lines, status))
            assert not relayed

        scenarios.run_scenario(scenario, plain=2, engines=2)


PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)


class TestBrokenBodies:
    """Bodies that the library can't parse."""

    @pytest.mark.parametrize("path", ["/write/a", "/once/a"])
    def test_bytes_of_a_broken_body_are_not_quoted(self, path: str) -> None:
        """They may be of the answer to another caller."""
        behaviour = raw_answers.RawAnswer(lines=["Transfer-Encoding: chunked"])
        _assert_is_not_relayed(behaviour, path)

    @pytest.mark.parametrize("path", ["/write/a", "/once/a"])
    def test_body_that_breaks_after_its_head_fails_at_once(
        self, path: str
    ) -> None:
        """Its caller waited for the rest until the deadline."""
        behaviour = raw_answers.RawAnswer(
            lines=["Transfer-Encoding: chunked"], pause_s=0.05
        )
        _assert_is_not_relayed(behaviour, path)

    @pytest.mark.parametrize("parser", PARSERS)
    @pytest.mark.parametrize("pause_s", [0.0, 0.02])
    @pytest.mark.parametrize(
        "body",
        [b"no chunk\r\n", b"+4\r\n", b"4\r\ntoo long\r\n", b"4;\x00\r\n"],
    )
    def test_both_parsers_of_the_library_fail_in_one_way(
        self,
        body: bytes,
        pause_s: float,
        parser: type,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """An error of another kind got a 500, or quoted the bytes."""
        monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
        lines = ["Transfer-Encoding: chunked"]
        with pytest.raises(pools.NETWORK_ERRORS) as raised:
            asyncio.run(_read_answer(lines, body, pause_s))
        description = pools.describe(raised.value)
        assert body.strip().decode() not in description


CODINGS = (
    "xchunked",
    "gzip",
    "identity",
    "chunked, gzip",
    "gzip, chunked",
    "chunked, chunked",
    "",
)


class TestFraming:
    """Answers that don't state in one way where their body ends."""

    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("path", ["/write/a", "/once/a"])
    @pytest.mark.parametrize("coding", CODINGS)
    def test_answer_in_another_coding_is_not_relayed(
        self, coding: str, path: str, is_reset: bool
    ) -> None:
        """Callers got the coded bytes, or half an answer as a whole one."""
        behaviour = raw_answers.RawAnswer(
            lines=[f"Transfer-Encoding: {coding}"],
            is_reset=is_reset,
        )
        _assert_is_not_relayed(behaviour, path)

    @pytest.mark.parametrize("parser", PARSERS)
    @pytest.mark.parametrize(
        "lines",
        [
            *([f"Transfer-Encoding: {coding}"] for coding in CODINGS),
            ["Transfer-Encoding: chunked", "Transfer-Encoding: chunked"],
            ["Transfer-Encoding: chunked", LENGTH],
            [LENGTH, "Transfer-Encoding: chunked"],
            [LENGTH, "Content-Length: 4"],
            ["Content-Length: 4", LENGTH],
            [LENGTH, LENGTH],
            ["Content-Length: 4, 18"],
            ["Content-Length: +18"],
            ["Content-Length: -18"],
            ["Content-Length: 0x12"],
            ["Content-Length: \u0661"],
            ["Content-Length: "],
        ],
    )
    def test_both_parsers_of_the_library_refuse_it(
        self,
        lines: list[str],
        parser: type,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Its parser in Python runs where no compiled one is installed."""
        monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
        with pytest.raises(pools.NETWORK_ERRORS):
            asyncio.run(_read_answer(lines, CHUNKS))

    @pytest.mark.parametrize("parser", PARSERS)
    @pytest.mark.parametrize(
        ("lines", "body"),
        [
            (["transfer-encoding: Chunked"], CHUNKS),
            (["Content-Length: 4"], SHORT),
            ([], SHORT),
        ],
    )
    def test_both_parsers_read_a_sound_answer(
        self,
        lines: list[str],
        body: bytes,
        parser: type,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A check could refuse answers that are well-formed."""
        monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
        assert asyncio.run(_read_answer(lines, body)) == SHORT


async def _read_answer(
    lines: list[str], body: bytes, pause_s: float = 0.0
) -> bytes:
    """Return the body of an answer, as an instance's own calls read it."""
    head = raw_answers.signed_head("a1", raw_answers.OK, *lines) + b"\r\n"
    async with raw_answers.RawServer(head, body, pause_s) as server:
        pool = pools.Pool()
        try:
            async with pool.session.get(server.url) as answer:
                return await answer_bodies.read(answer)
        finally:
            await pool.close()


async def _post(
    deployment: standins.Deployment,
    session: aiohttp.ClientSession,
    path: str,
    attempt: str,
) -> tuple[int, bytes]:
    """Return status and body, both empty for a broken answer."""
    head = scenarios.headers(attempt, **scenarios.model_headers("m1"))
    try:
        async with session.post(deployment.url(path), headers=head) as answer:
            return answer.status, await answer.read()
    except aiohttp.ClientError:
        return 0, b""
