"""The story of a request from log lines alone."""

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


def log_line(second: float, event: str, **fields: typing.Any) -> str:
    """Return a line as an instance writes it."""
    at = START + datetime.timedelta(seconds=second)
    return json.dumps(fields | {"event": event, "timestamp": at.isoformat()})


REFUSED = log_line(
    20,
    "forward: refused",
    id="a1",
    model="m1",
    code="model_loading",
    not_run=True,
    reason="model m1 is on no target, 6300 ms to wait",
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


def story(texts: dict[str, list[str]], request: str) -> traces.Story:
    """Return a story that must be there."""
    told = traces.tell(traces.read_log(texts.items()), request)
    assert told is not None
    return told


class TestTrace:
    """Lines of several instances, gathered."""

    def test_orders_of_the_model_explain_its_absence(self) -> None:
        """Those of other models and long before are left out."""
        told = story({"n1": [REFUSED, IN_FORCE], "n2": ORDERS}, "a1")
        assert told.ending is traces.Ending.REFUSED
        assert "6300 ms" in told.reason
        shown = [(line.source, line.event) for line in told.context]
        assert shown == [
            ("n1", "gateway: configuration in force"),
            ("n2", "placing: order"),
        ]

    def test_a_prefix_names_the_source(self) -> None:
        """As collectors write it before each line."""
        told = story({"all": [f"20.1 entry-3 {REFUSED}"]}, "a1")
        assert told.lines[0].source == "entry-3"

    def test_unreadable_lines_are_counted(self) -> None:
        """A line that was cut at the end of a process hides no other."""
        log = traces.read_log([("n1", ['{"id": "a1', "text", REFUSED])])
        assert log.unreadable == 1
        assert len(log.lines) == 1


class TestCommand:
    """The command and its exit codes."""

    def test_a_story(self, tmp_path: pathlib.Path) -> None:
        """The end stands first, then the lines."""
        path = tmp_path / "n1.log"
        path.write_text("\n".join([REFUSED, *ORDERS]))
        result = RUNNER.invoke(cli.app, ["trace", "a1", str(path)])
        assert result.exit_code == cli.Exit.DONE
        first, reason, *_ = result.stdout.splitlines()
        assert first == "request a1: refused before it ran"
        assert reason == "reason: model m1 is on no target, 6300 ms to wait"

    def test_standard_input(self) -> None:
        """A dash reads it; JSON is for programs."""
        result = RUNNER.invoke(
            cli.app, ["trace", "a1", "-", "--json"], input=REFUSED
        )
        assert json.loads(result.stdout)["ending"] == "refused"

    def test_an_id_that_no_line_names(self, tmp_path: pathlib.Path) -> None:
        """The message says what to do."""
        path = tmp_path / "n1.log"
        path.write_text(REFUSED)
        result = RUNNER.invoke(cli.app, ["trace", "other", str(path)])
        assert result.exit_code == cli.Exit.NOT_FOUND
        assert "give the logs of all instances" in result.output

    def test_a_file_that_cannot_be_read(self) -> None:
        """It is named."""
        result = RUNNER.invoke(cli.app, ["trace", "a1", "/nowhere/n1.log"])
        assert result.exit_code == cli.Exit.INVALID
        assert "/nowhere/n1.log: cannot be read" in result.output


async def break_off(
    replica: standins.ReplicaStandIn, request: web.BaseRequest
) -> web.StreamResponse:
    """Send an event and reset the connection."""
    answer = await standins.begin_stream(request)
    await answer.write(standins.event(1))
    standins.reset(request)
    return answer


class TestDrivenFailures:
    """Failures on stand-ins, explained by the lines that they leave."""

    @pytest.mark.parametrize(
        ("path", "model", "tokens", "ending", "reason"),
        [
            ("/once/a", "m1", 100, traces.Ending.BROKEN_OFF, "Reset"),
            ("/chat/a", "m9", 100, traces.Ending.REFUSED, "no model 'm9'"),
            ("/chat/a", "m1", 90_000, traces.Ending.REFUSED, "asked"),
        ],
    )
    def test_the_story_names_the_cause(
        self,
        path: str,
        model: str,
        tokens: int,
        ending: traces.Ending,
        reason: str,
        log_entries: list[dict[str, typing.Any]],
    ) -> None:
        """Broken off, an unknown model, beyond the rate."""

        async def run() -> None:
            async with standins.running_bed(plain=0) as bed:
                bed.replicas[0].behaviour = break_off
                async with aiohttp.ClientSession() as session:
                    try:
                        async with session.post(
                            bed.url(path),
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
                        pass  # the stream was cut, as it must be

        asyncio.run(run())
        lines = [
            log_line(number / 1000, **dict(entry))
            for number, entry in enumerate(log_entries)
        ]
        told = story({"n1": lines}, "a1")
        assert told.ending is ending
        assert reason in told.reason
