"""Test that the operations page names every log event and metric."""

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
    """Yield the event texts of the log calls in the gateway's modules."""
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
    """An undocumented event or metric would leave operators without help."""

    @pytest.mark.parametrize("event", sorted(set(logged_events())))
    def test_each_event_is_documented(self, event: str) -> None:
        """The page must quote the whole event text."""
        assert f"`{event}`" in PAGE

    def test_each_metric_is_documented(self) -> None:
        """The page must name it with the suffix under which it is served."""
        names = {
            family.name
            for family in metrics_module.Metrics().registry.collect()
        }
        assert names
        assert not [name for name in names if f"`{name}" not in PAGE]
