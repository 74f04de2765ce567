"""Tests of the command that shows the evacuations of each instance."""

import contextlib
import http.server
import json
import threading
import typing

import pytest
from typer import testing

from cardamom_ctl import cli as ctl
from cardamom_ctl import evacuations
from cardamom_gateway import metrics as metrics_module

RUNNER = testing.CliRunner()
# A port of the system, on which no gateway listens.
UNREACHED = "127.0.0.1:9"


def metrics_text(**in_force: int) -> bytes:
    """Return a gateway's metrics; ``_`` in a data centre stands for ``-``."""
    metrics = metrics_module.Metrics()
    for data_centre, value in in_force.items():
        metrics.evacuations_in_force.labels(data_centre.replace("_", "-")).set(
            value
        )
    return metrics.text()


@contextlib.contextmanager
def serving(
    body: bytes, status: int = 200
) -> typing.Iterator[tuple[str, list[str]]]:
    """Serve metrics; yield the address and the paths that are asked for."""
    paths: list[str] = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            paths.append(self.path)
            self.send_response(status)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments: object) -> None:
            """Print nothing."""

    with http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            yield f"127.0.0.1:{server.server_address[1]}", paths
        finally:
            server.shutdown()


def run(*arguments: str) -> tuple[int, typing.Any]:
    """Run the command; return its exit code and its document."""
    result = RUNNER.invoke(ctl.app, ["evacuations", *arguments, "--json"])
    return result.exit_code, json.loads(result.stdout)


class TestEvacuationsCommand:
    """Instances that agree, differ or don't answer."""

    def test_instances_that_agree_are_in_order(self) -> None:
        """An ended evacuation has the value 0 and must not be shown."""
        body = metrics_text(bog_b=1, bog_c=0)
        with serving(body) as (one, paths), serving(body) as (other, _):
            code, document = run(one, other)
        assert code == ctl.Exit.DONE
        assert document == [
            {"instance": address, "evacuated": ["bog-b"], "error": ""}
            for address in (one, other)
        ]
        assert paths == ["/metrics"]

    def test_instance_that_has_not_heard_is_reported(self) -> None:
        """The operator would take the data centre for empty."""
        with (
            serving(metrics_text(bog_b=1)) as (one, _),
            serving(metrics_text()) as (other, _),
        ):
            code, document = run(one, other)
            shown = RUNNER.invoke(ctl.app, ["evacuations", one, other])
        assert code == ctl.Exit.NOT_YET_IN_FORCE
        assert [view["evacuated"] for view in document] == [["bog-b"], []]
        assert f"{one}: bog-b" in shown.output
        assert f"{other}: none" in shown.output
        assert "the instances differ" in shown.output

    def test_instance_without_an_answer_is_reported(self) -> None:
        """It may go on sending, and an empty list would hide that."""
        with serving(metrics_text()) as (one, _):
            code, document = run(one, UNREACHED)
        assert code == ctl.Exit.NOT_YET_IN_FORCE
        assert document[0]["evacuated"] == []
        assert document[1]["evacuated"] is None
        assert UNREACHED in document[1]["error"]

    def test_no_answer_at_all_has_its_exit_code(self) -> None:
        """Scripts tell it from instances that differ."""
        code, _ = run(UNREACHED)
        assert code == ctl.Exit.UNREACHED

    @pytest.mark.parametrize(
        ("body", "status"),
        [
            (b"", 200),
            (b"<html>not metrics</html>", 200),
            (b"up 1\n", 200),
            (metrics_text(bog_b=1), 500),
            (b"\xff\xfe", 200),
        ],
    )
    def test_other_servers_are_not_taken_for_gateways(
        self, body: bytes, status: int
    ) -> None:
        """A wrong address would look like an instance without evacuations."""
        with serving(body, status) as (address, _):
            code, document = run(address)
        assert code == ctl.Exit.UNREACHED
        assert document[0]["evacuated"] is None
        assert document[0]["error"]

    def test_malformed_address_is_reported(self) -> None:
        """It must not end the command with a traceback."""
        code, document = run("nowhere:port")
        assert code == ctl.Exit.UNREACHED
        assert document[0]["error"]

    def test_metrics_of_a_gateway_are_decoded(self) -> None:
        """The name of the gauge is fixed in both packages."""
        assert evacuations.decode(metrics_text().decode()) == frozenset()
        text = metrics_text(a=1, b=1, c=0).decode()
        assert evacuations.decode(text) == {"a", "b"}
