"""Tests of broken answers to calls of an instance's or an operator's own."""

import asyncio
import types
import typing

from opentelemetry import trace
import pytest

from cardamom_ctl import client as ctl_client
from cardamom_daemon import plain_calls
from cardamom_gateway import interfaces
from cardamom_kernel import tables
from cardamom_platform import interfaces as platform_interfaces
from cardamom_platform import plugins
from cardamom_platform import pools
from cardamom_wire import plugin
from tests.daemon import test_plain_calls
from tests.wire import raw_answers

Result = typing.TypeVar("Result")


def _answered(
    start_line: str,
    call: typing.Callable[[raw_answers.RawServer], typing.Awaitable[Result]],
    body: bytes = b"{}",
) -> Result:
    """Return what a call makes of an answer of a server."""

    async def run() -> Result:
        lines = (f"Content-Length: {len(body)}",)
        head = raw_answers.signed_head("a1", start_line, *lines)
        async with raw_answers.FixedAnswerServer(
            head + b"\r\n", body
        ) as server:
            return await call(server)

    return asyncio.run(run())


NO_SUCCESS = (
    "HTTP/1.1 300 Multiple Choices",
    "HTTP/1.1 302 Found",
    "HTTP/1.1 304 Not Modified",
)


@pytest.mark.parametrize("start_line", (*raw_answers.START_LINES, *NO_SUCCESS))
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


@pytest.mark.parametrize("start_line", raw_answers.START_LINES)
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
