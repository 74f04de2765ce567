"""Tests of cardamomctl trace, which explains a request from log lines."""

import asyncio
import datetime
import json
import pathlib
import typing

import aiohttp
from aiohttp import web
import pytest
import typer.testing

from cardamom_ctl import cli
from cardamom_ctl import traces
from tests.wire import standins

RUNNER = typer.testing.CliRunner()
START = datetime.datetime(2026, 12, 4, 2, 0, tzinfo=datetime.UTC)


def log_line(offset_s: float, event: str, **fields: typing.Any) -> str:
    """Return a line in the format of an instance's log."""
    at = START + datetime.timedelta(seconds=offset_s)
    return json.dumps(fields | {"event": event, "timestamp": at.isoformat()})


REFUSED = log_line(
    20,
    "forward: refused",
    id="a1",
    model="m1",
    code="model_loading",
    not_run=True,
    reason="model m1 is not loaded on any target; expected wait 6300 ms",
    configuration=12,
)
ORDERS = [
    log_line(
        18,
        "placing: order",
        target="e0",
        kind="unload",
        model="m1",
        reason="m2: requests wait for it",
    ),
    log_line(1, "placing: order", target="e0", kind="load", model="m1"),
    log_line(19, "placing: order", target="e0", kind="load", model="m9"),
]
IN_FORCE = log_line(3, "gateway: configuration in force", version=12)


def trace_request(
    texts: dict[str, list[str]], request: str
) -> traces.RequestTrace:
    """Return the trace of a request that the texts must contain."""
    request_trace = traces.trace_request(
        traces.read_log(texts.items()), request
    )
    assert request_trace is not None
    return request_trace


class TestTrace:
    """Traces from the lines of several instances."""

    def test_context_has_only_recent_orders_of_the_model(self) -> None:
        """Orders of other models or long before would hide the cause."""
        request_trace = trace_request(
            {"n1": [REFUSED, IN_FORCE], "n2": ORDERS}, "a1"
        )
        assert request_trace.ending is traces.Ending.REFUSED
        assert "6300 ms" in request_trace.reason
        shown = [(line.source, line.event) for line in request_trace.context]
        assert shown == [
            ("n1", "gateway: configuration in force"),
            ("n2", "placing: order"),
        ]

    def test_prefix_of_a_line_is_its_source(self) -> None:
        """Lines of several instances in one file must not be mixed up."""
        request_trace = trace_request(
            {"all": [f"20.1 entry-3 {REFUSED}"]}, "a1"
        )
        assert request_trace.lines[0].source == "entry-3"

    def test_unreadable_lines_are_counted(self) -> None:
        """A line cut off when a process ended must not hide the others."""
        log = traces.read_log([("n1", ['{"id": "a1', "text", REFUSED])])
        assert log.unreadable_count == 1
        assert len(log.lines) == 1


class TestCommand:
    """Output and exit codes of the command."""

    def test_ending_and_reason_come_first(
        self, tmp_path: pathlib.Path
    ) -> None:
        """An operator reads the outcome first, before the log lines."""
        path = tmp_path / "n1.log"
        path.write_text("\n".join([REFUSED, *ORDERS]))
        result = RUNNER.invoke(cli.app, ["trace", "a1", str(path)])
        assert result.exit_code == cli.Exit.DONE
        first, reason, *_ = result.stdout.splitlines()
        assert first == "request a1: refused before it ran"
        assert reason == (
            "reason: model m1 is not loaded on any target; "
            "expected wait 6300 ms"
        )

    def test_dash_reads_standard_input(self) -> None:
        """Piped logs must work, with JSON output as well."""
        result = RUNNER.invoke(
            cli.app, ["trace", "a1", "-", "--json"], input=REFUSED
        )
        assert json.loads(result.stdout)["ending"] == "refused"

    def test_unknown_request_id(self, tmp_path: pathlib.Path) -> None:
        """The message must say what to do, with an exit code of its own."""
        path = tmp_path / "n1.log"
        path.write_text(REFUSED)
        result = RUNNER.invoke(cli.app, ["trace", "other", str(path)])
        assert result.exit_code == cli.Exit.NOT_FOUND
        assert "give the logs of all instances" in result.output

    def test_unreadable_file(self) -> None:
        """The message must name the file."""
        result = RUNNER.invoke(cli.app, ["trace", "a1", "/nowhere/n1.log"])
        assert result.exit_code == cli.Exit.INVALID
        assert "/nowhere/n1.log: cannot be read" in result.output


async def break_off(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Send one event, then reset the connection."""
    answer = await standins.begin_stream(request)
    await answer.write(standins.event(1))
    standins.reset(request)
    return answer


class TestProvokedFailures:
    """Failures provoked on stand-ins, traced from the real log entries."""

    @pytest.mark.parametrize(
        ("path", "model", "tokens", "ending", "reason"),
        [
            ("/once/a", "m1", 100, traces.Ending.BROKEN_OFF, "Reset"),
            ("/chat/a", "m9", 100, traces.Ending.REFUSED, "no model 'm9'"),
            ("/chat/a", "m1", 90_000, traces.Ending.REFUSED, "requested"),
        ],
    )
    def test_trace_gives_ending_and_reason(
        self,
        path: str,
        model: str,
        tokens: int,
        ending: traces.Ending,
        reason: str,
        log_entries: list[dict[str, typing.Any]],
    ) -> None:
        """Cases: connection reset, unknown model, rate exceeded."""

        async def run() -> None:
            async with standins.running_deployment(plain=0) as deployment:
                deployment.replicas[0].behaviour = break_off
                async with aiohttp.ClientSession() as session:
                    try:
                        async with session.post(
                            deployment.url(path),
                            headers={
                                "Host": "ficu95.example",
                                "Attempt-Id": "a1",
                                "X-Api-Key": standins.KEY,
                                "Deadline-Ms": "3000",
                                "Model": model,
                                "Token-Usage": f"{tokens},20",
                            },
                        ) as answer:
                            await answer.read()
                    except aiohttp.ClientError:
                        pass  # expected: the stream is cut

        asyncio.run(run())
        lines = [
            log_line(number / 1000, **dict(entry))
            for number, entry in enumerate(log_entries)
        ]
        request_trace = trace_request({"n1": lines}, "a1")
        assert request_trace.ending is ending
        assert reason in request_trace.reason
