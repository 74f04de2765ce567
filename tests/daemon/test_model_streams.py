"""Tests of the streams of engines as the daemon reads them."""

import asyncio
import itertools
import typing
from unittest import mock

import pytest

from cardamom_daemon import model_context
from cardamom_daemon import model_streams
from cardamom_daemon import sse

EVENT_STREAM = "text/event-stream"
REQUEST = "req-1"
STALL_TIMEOUT_S = 0.3
PERIOD_S = 0.05


class Body:
    """A body whose pieces arrive one by one, after a period each."""

    def __init__(self, pieces: typing.Iterable[bytes]) -> None:
        self._pieces = iter(pieces)
        self.content = self

    async def readany(self) -> bytes:
        """Return the next piece, empty at the end."""
        await asyncio.sleep(PERIOD_S)
        return next(self._pieces, b"")


def relay(pieces: typing.Iterable[bytes]) -> tuple[Exception | None, int]:
    """Return why a stream failed, and how many events came before."""
    streams = model_streams.ModelStreams(mock.Mock(), mock.Mock())
    splitter = sse.EventSplitter()

    async def run() -> Exception | None:
        with mock.patch.object(streams, "_write"):
            return await streams._relay(
                mock.Mock(), mock.Mock(), splitter, Body(pieces)
            )

    return asyncio.run(run()), splitter.events


class TestStalledStreams:
    """Engines that stop within a stream, or are merely slow."""

    @pytest.fixture(autouse=True)
    def _short_timeout(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(model_context, "STALL_TIMEOUT_S", STALL_TIMEOUT_S)

    def test_bytes_that_complete_no_event_do_not_keep_a_stream(self) -> None:
        """A stalled stream that sent a byte now and then never ended."""
        trickle = itertools.repeat(b":", 40)
        problem, events = relay([b"data: 1\n\n", *trickle])
        assert isinstance(problem, TimeoutError)
        assert events == 1

    def test_slow_stream_is_not_cut(self) -> None:
        """A stream that takes longer than the timeout, but goes on."""
        pieces = [b"data: ", b"1", b"\n\n"] * 5 + [b"data: [DONE]\n\n"]
        assert len(pieces) * PERIOD_S > 2 * STALL_TIMEOUT_S
        assert relay(pieces) == (None, 5)


class SecondAnswer(Body):
    """The answer of an engine that is asked for the rest of a stream."""

    def __init__(self, content_type: str, request: str, status: int) -> None:
        super().__init__([b"data: 2\n\n", b"data: [DONE]\n\n"])
        self.status = status
        self.content_type = content_type
        self.headers = {"Content-Type": content_type, "X-Request-Id": request}

    async def __aenter__(self) -> typing.Self:
        """Return this answer."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Do nothing."""


def resume(answer: SecondAnswer) -> tuple[Exception | None, int]:
    """Return why the rest of a stream failed, and its number of events."""
    registry = mock.Mock(handle_connection_failure=mock.AsyncMock())
    streams = model_streams.ModelStreams(mock.Mock(), registry)
    target = mock.Mock()
    target.spec.url = "http://engine"
    target.pool.session.get = mock.AsyncMock(return_value=answer)
    splitter = sse.EventSplitter()

    async def run() -> Exception | None:
        with (
            mock.patch.object(streams, "_write"),
            mock.patch.object(model_context, "headers"),
            mock.patch.object(model_context, "timeout"),
        ):
            return await streams._resume(
                mock.Mock(id=REQUEST),
                target,
                mock.Mock(),
                splitter,
                ConnectionError(),
            )

    return asyncio.run(run()), splitter.events


class TestResumedStreams:
    """What engines answer when they are asked for the rest of a stream."""

    def test_rest_of_the_stream_is_passed_on(self) -> None:
        """It ends with the event that says so."""
        assert resume(SecondAnswer(EVENT_STREAM, REQUEST, 200)) == (None, 1)

    @pytest.mark.parametrize(
        ("content_type", "request_id", "status"),
        [
            ("application/json", REQUEST, 200),
            ("text/plain", REQUEST, 200),
            (EVENT_STREAM, "req-of-somebody-else", 200),
            (EVENT_STREAM, REQUEST, 206),
            (EVENT_STREAM, REQUEST, 404),
        ],
    )
    def test_other_answers_are_not_joined_to_it(
        self, content_type: str, request_id: str, status: int
    ) -> None:
        """Callers read them as a part of their stream."""
        problem, events = resume(
            SecondAnswer(content_type, request_id, status)
        )
        assert isinstance(problem, ConnectionError)
        assert events == 0
