"""The operations page names every event and every metric."""

import ast
import pathlib
import typing

import pytest

from cardamom_gateway import metrics as metrics_module

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = sorted((ROOT / "packages" / "cardamom-gateway").rglob("*.py"))
LEVELS = {"info", "warning", "error"}


def logged_events() -> typing.Iterator[str]:
    """Yield the events that the gateway's modules log."""
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LEVELS
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "LOG"
            ):
                event = node.args[0]
                assert isinstance(event, ast.Constant), path
                yield str(event.value)


class TestOperationsPage:
    """What an operator meets in logs and metrics."""

    @pytest.mark.parametrize("event", sorted(set(logged_events())))
    def test_each_event_is_there(self, event: str) -> None:
        """By its whole name."""
        assert f"`{event}`" in PAGE

    def test_each_metric_is_there(self) -> None:
        """With the suffix under which it is served."""
        names = {
            family.name
            for family in metrics_module.Metrics().registry.collect()
        }
        assert names
        assert not [name for name in names if f"`{name}" not in PAGE]
