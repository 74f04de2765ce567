"""Tests of answers to callers' requests that aren't HTTP/1 answers."""

import typing

import aiohttp
import pytest

from tests.wire import cuts
from tests.wire import raw_answers
from tests.wire import scenarios
from tests.wire import standins


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
    @pytest.mark.parametrize("start_line", raw_answers.START_LINES)
    def test_answer_without_a_status_is_not_relayed(
        self, start_line: str, path: str
    ) -> None:
        """Callers got it with the target's signature."""
        behaviour = raw_answers.RawAnswer(start_line, [raw_answers.LENGTH])
        _assert_is_not_relayed(behaviour, path)

    def test_status_after_an_interim_answer_is_checked(self) -> None:
        """The check could stop at the first head of an answer."""
        behaviour = raw_answers.RawAnswer(
            raw_answers.START_LINES[0],
            [raw_answers.LENGTH],
            prefix=b"HTTP/1.1 100 Continue\r\n\r\n",
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
            bad = raw_answers.RawAnswer(
                raw_answers.START_LINES[0], [raw_answers.LENGTH]
            )
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

    @pytest.mark.parametrize("start_line", raw_answers.START_LINES)
    def test_answer_is_not_passed_on_by_a_relaying_peer(
        self, start_line: str
    ) -> None:
        """The check of one instance must not depend on that of its peer."""

        async def scenario(linked: cuts.LinkedDeployment) -> None:
            (replica,) = linked.deployment.replicas
            replica.behaviour = raw_answers.RawAnswer(
                start_line, [raw_answers.LENGTH]
            )
            await linked.cut({0}, cuts.Cut.RESET)
            status = await cuts.status_of(linked, 0, "/write/a", "a1")
            assert len(replica.requests) == 1
            assert status == 502

        cuts.run_linked(scenario, plain=1, engines=0, gateways=2)

    def test_broken_answer_is_not_a_promise_that_nothing_ran(self) -> None:
        """Its head could say that the request wasn't executed."""
        behaviour = raw_answers.RawAnswer(
            raw_answers.START_LINES[0], [raw_answers.LENGTH, "Not-Executed: 1"]
        )
        _assert_is_not_relayed(behaviour)


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


def _odd_fields() -> typing.Iterator[raw_answers.RawAnswer]:
    """Yield answers with an odd field at the beginning, or further on."""
    for field in (
        *(name + b": x" for name in NAMES),
        *(b"Odd: a" + byte + b"b" for byte in CONTROL_BYTES),
        b"Odd",
    ):
        yield raw_answers.RawAnswer(lines=[raw_answers.LENGTH, field])
        yield raw_answers.RawAnswer(lines=[field, raw_answers.LENGTH])
        first = raw_answers.OK.encode() + b"\r\n" + field
        yield raw_answers.RawAnswer(first, [raw_answers.LENGTH])


def _odd_lengths() -> typing.Iterator[raw_answers.RawAnswer]:
    """Yield answers whose odd field could end the body early."""
    for name in LENGTH_NAMES:
        is_chunked = name.startswith(b"Transfer")
        value, body = (
            (b"chunked", raw_answers.CHUNKS)
            if is_chunked
            else (b"4", raw_answers.SHORT)
        )
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
            await scenarios.lift_limits(deployment)
            relayed = []
            for number, answer in enumerate(answers()):
                answer.pause_s = pause_s
                for replica in deployment.replicas:
                    replica.behaviour = answer
                status, body = await scenarios.post(
                    deployment, session, path, f"a{number}"
                )
                if status != 502 or b"text of" in body:
                    relayed.append((answer.start_line, answer.lines, status))
            assert not relayed

        scenarios.run_scenario(scenario, plain=2, engines=2)


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


class TestFraming:
    """Answers that don't state in one way where their body ends."""

    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("path", ["/write/a", "/once/a"])
    @pytest.mark.parametrize("coding", raw_answers.CODINGS)
    def test_answer_in_another_coding_is_not_relayed(
        self, coding: str, path: str, is_reset: bool
    ) -> None:
        """Callers got the coded bytes, or half an answer as a whole one."""
        behaviour = raw_answers.RawAnswer(
            lines=[f"Transfer-Encoding: {coding}"],
            is_reset=is_reset,
        )
        _assert_is_not_relayed(behaviour, path)
