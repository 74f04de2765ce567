"""The kernel is usable as a library: imports between packages and examples."""

import ast
import pathlib
import subprocess
import sys
import typing

import pytest

EXAMPLES = sorted(pathlib.Path("examples/library").glob("*.py"))
FORBIDDEN_IMPORTS = {
    "kernel": {
        "cardamom_config",
        "cardamom_platform",
        "cardamom_policy",
        "cardamom_daemon",
        "aiohttp",
    },
    "policy": {"cardamom_platform", "cardamom_daemon", "aiohttp"},
    "config": {"cardamom_platform", "cardamom_daemon", "aiohttp"},
    "daemon": {"cardamom_standins", "cardamom_ctl"},
}


def _imported_packages(file: pathlib.Path) -> typing.Iterator[str]:
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.partition(".")[0]


class TestLayers:
    """Packages must not import packages of higher layers."""

    @pytest.mark.parametrize("package", sorted(FORBIDDEN_IMPORTS))
    def test_package_has_no_forbidden_import(self, package: str) -> None:
        source = pathlib.Path(f"packages/cardamom-{package}/src")
        files = list(source.rglob("*.py"))
        assert files
        for file in files:
            assert not FORBIDDEN_IMPORTS[package] & set(
                _imported_packages(file)
            ), file


class TestExamples:
    """The library examples run without an error."""

    @pytest.mark.parametrize("example", EXAMPLES, ids=lambda p: p.stem)
    def test_example_runs(self, example: pathlib.Path) -> None:
        completed = subprocess.run(
            [sys.executable, str(example)],
            capture_output=True,
            text=True,
        )
        assert completed.returncode == 0, completed.stderr
        assert completed.stdout
