"""Tests of cardamomd's and cardamomctl's command lines."""

import json
import pathlib

import pytest
import typer
from typer import testing

from cardamom_ctl import cli as ctl
from cardamom_daemon import cli as daemon
from cardamom_daemon import settings as settings_module

RUNNER = testing.CliRunner()
FLAGS = {
    "--instance": "entry-1",
    "--data-centre": "a",
    "--operator-key": "o" * 16,
    "--fleet-secret": "f" * 16,
    "--table-url": "http://127.0.0.1:1",
}


def _invoke(app: typer.Typer, *arguments: str) -> testing.Result:
    return RUNNER.invoke(app, arguments)


def _settings(**changes: object) -> settings_module.Settings:
    values = {
        "instance": "entry-1",
        "data_centre": "a",
        "operator_key": "o" * 16,
        "fleet_secret": "f" * 16,
        "table_url": "http://127.0.0.1:1",
        **changes,
    }
    return settings_module.Settings(**values)  # type: ignore[arg-type]


class TestSettings:
    """Wrong settings of the daemon must be found before it starts."""

    def test_valid_settings_have_no_errors(self) -> None:
        assert not list(settings_module.find_errors(_settings()))

    @pytest.mark.parametrize(
        ("changes", "flag"),
        [
            ({"instance": ""}, "--instance"),
            ({"operator_key": "short"}, "--operator-key"),
            ({"fleet_secret": "o" * 16}, "--operator-key"),
            ({"table_url": "table"}, "--table-url"),
            ({"peers": ("ftp://x",)}, "--peer"),
            ({"host": "localhost"}, "--host"),
            ({"caller_port": 0}, "--caller-port"),
            ({"caller_port": 8082}, "--caller-port"),
            ({"trace_ratio": 2.0}, "--trace-ratio"),
            ({"freshness_ms": 600}, "--freshness-ms"),
            ({"max_connections": 0}, "--max-connections"),
        ],
    )
    def test_errors_name_their_flag(
        self,
        changes: dict[str, object],
        flag: str,
    ) -> None:
        errors = list(settings_module.find_errors(_settings(**changes)))
        assert any(error.startswith(flag) for error in errors), errors

    def test_invalid_settings_exit_with_2(self) -> None:
        arguments = [text for pair in FLAGS.items() for text in pair]
        result = _invoke(daemon.app, *arguments, "--host", "nowhere")
        assert result.exit_code == daemon.Exit.BAD_SETTINGS


class TestCardamomctl:
    """Commands that need no instance."""

    def test_check_accepts_an_example(self) -> None:
        result = _invoke(ctl.app, "check", "examples/bogota", "--json")
        assert result.exit_code == ctl.Exit.DONE
        document = json.loads(result.output)
        warnings = document.pop("warnings")
        assert document == {"ok": True, "problems": []}
        assert [(w["code"], w["field"]) for w in warnings] == [
            ("team-rates-above-engines", "teams")
        ]

    def test_check_reports_file_and_line_of_an_error(
        self, tmp_path: pathlib.Path
    ) -> None:
        (tmp_path / "a.yaml").write_text("teams:\n  A: {}\n")
        result = _invoke(ctl.app, "check", str(tmp_path), "--json")
        assert result.exit_code == ctl.Exit.INVALID
        assert '"file": "a.yaml", "line": 2' in result.output
        assert '"code": "invalid-name"' in result.output

    def test_missing_operator_key_is_wrong_usage(self) -> None:
        result = _invoke(ctl.app, "status")
        assert result.exit_code == ctl.Exit.USAGE

    def test_unreachable_instance_has_its_exit_code(self) -> None:
        result = _invoke(
            ctl.app,
            "status",
            "--operators",
            "http://127.0.0.1:9",
            "--operator-key",
            "x" * 16,
        )
        assert result.exit_code == ctl.Exit.UNREACHED
