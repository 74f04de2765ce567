"""The kernel as a library: it stands alone, and its examples run."""

import ast
import pathlib
import subprocess
import sys
import typing

import pytest

EXAMPLES = sorted(pathlib.Path("examples/library").glob("*.py"))
FORBIDDEN = {
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


def _imports(file: pathlib.Path) -> typing.Iterator[str]:
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            yield from (name.name.partition(".")[0] for name in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.partition(".")[0]


class TestLayers:
    """Which package may import which."""

    @pytest.mark.parametrize("package", sorted(FORBIDDEN))
    def test_imports(self, package: str) -> None:
        source = pathlib.Path(f"packages/cardamom-{package}/src")
        files = list(source.rglob("*.py"))
        assert files
        for file in files:
            assert not FORBIDDEN[package] & set(_imports(file)), file


class TestExamples:
    """Each example runs to its end."""

    @pytest.mark.parametrize("example", EXAMPLES, ids=lambda p: p.stem)
    def test_runs(self, example: pathlib.Path) -> None:
        done = subprocess.run(
            [sys.executable, str(example)],
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stderr
        assert done.stdout
